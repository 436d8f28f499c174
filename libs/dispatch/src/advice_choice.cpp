#include <dispatch/advice_choice.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** The most workers that one question may name. */
constexpr std::size_t maxNamed = 100;
/**
 * Others may take seats before the answer is there, a gang needs all of its seats at once, and a
 * further question costs the adviser's whole decision time again, which is many times that of a
 * worker.
 */
constexpr double spareSeats = 8.0;
/** With fewer, the answer is too often that none is allowed. */
constexpr std::size_t minNamed = 12;

} // namespace

std::vector<std::size_t> workersForSeats(std::vector<SeatsOfWorker> workers, std::uint64_t wanted,
                                         double share)
{
    std::stable_sort(workers.begin(), workers.end(),
                     [](const SeatsOfWorker &left, const SeatsOfWorker &right) {
                         return left.seats > right.seats;
                     });
    std::vector<std::size_t> named;
    double expected = 0.0;
    for (const SeatsOfWorker &worker : workers) {
        const bool enough = expected >= spareSeats * static_cast<double>(wanted);
        if (named.size() >= maxNamed || (enough && named.size() >= minNamed)) {
            break;
        }
        named.push_back(worker.worker);
        expected += share * static_cast<double>(worker.seats);
    }
    return named;
}

} // namespace gooseberry
