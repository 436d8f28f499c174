#include <policy/advice_budget.h>

#include <cstdint>

namespace gooseberry {

namespace {

/** Answers that come later than this are too late for the shortest tickets in use, of 1.5 s. */
constexpr std::chrono::milliseconds maxBacklogPerNode{1000};
/** Bounds the leader's own work for requests that cost the adviser little. */
constexpr std::size_t maxRequestsPerNode = 4;

} // namespace

bool mayRequestAdvice(const AdviceBacklog &backlog, std::size_t nodes)
{
    return backlog.requests < nodes
        || (backlog.requests < maxRequestsPerNode * nodes
            && backlog.cost < maxBacklogPerNode * static_cast<std::int64_t>(nodes));
}

} // namespace gooseberry
