#include <dispatch/advice_candidates.h>

#include <algorithm>

namespace gooseberry {

namespace {

/**
 * How many times the wanted task capacity the listed workers should provide. Other steps may use
 * that capacity before the answer arrives, a gang needs all of it at once, and a further request
 * costs the adviser's whole base decision time again, which is many times the time for one more
 * worker.
 */
constexpr double capacityFactor = 8.0;
/** With fewer workers in a request, the adviser too often allows none of them. */
constexpr std::size_t minCandidates = 12;

} // namespace

std::vector<std::size_t> chooseAdviceCandidates(std::vector<AdviceCandidate> workers,
                                                std::uint64_t wanted, double share)
{
    std::stable_sort(workers.begin(), workers.end(),
                     [](const AdviceCandidate &left, const AdviceCandidate &right) {
                         return left.taskCapacity > right.taskCapacity;
                     });
    std::vector<std::size_t> chosen;
    double expected = 0.0;
    for (const AdviceCandidate &worker : workers) {
        const bool enough = expected >= capacityFactor * static_cast<double>(wanted);
        if (chosen.size() >= maxAdviceCandidates || (enough && chosen.size() >= minCandidates)) {
            break;
        }
        chosen.push_back(worker.worker);
        expected += share * static_cast<double>(worker.taskCapacity);
    }
    return chosen;
}

} // namespace gooseberry
