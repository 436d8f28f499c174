#include <dispatch/advice_candidates.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** The most workers that one question may name. */
constexpr std::size_t maxCandidates = 100;
/**
 * Others may take candidates before the answer is there, a gang needs all of its candidates at
 * once, and a further question costs the adviser's whole decision time again, which is many times
 * that of a worker.
 */
constexpr double capacityFactor = 8.0;
/** With fewer, the answer is too often that none is allowed. */
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
        if (chosen.size() >= maxCandidates || (enough && chosen.size() >= minCandidates)) {
            break;
        }
        chosen.push_back(worker.worker);
        expected += share * static_cast<double>(worker.taskCapacity);
    }
    return chosen;
}

} // namespace gooseberry
