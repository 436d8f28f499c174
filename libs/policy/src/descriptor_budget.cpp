#include <policy/descriptor_budget.h>

#include <algorithm>
#include <string>

namespace gooseberry {

namespace {

/** Log and settings files, timers and standard streams, and spare ones for operators. */
constexpr std::size_t reserved = 224;
/** The most links that a node has with others, and some that are being replaced. */
constexpr std::size_t links = 288;
constexpr std::size_t monitoringConnections = 16;
/** HTTP servers that are always there: readiness and metrics. */
constexpr std::size_t monitoringServers = 2;
constexpr std::size_t adviceConnections = 32;
/** Above this, more connections only cost memory. */
constexpr std::size_t maxPerUse = 8192;
/** Below this, a use can't do its work. */
constexpr std::size_t minPerUse = 32;
/**
 * The parts of the remaining descriptors that the servers get; orders get the rest. Workers spread
 * their reports over all nodes that serve control and go on to another one if one is full.
 */
constexpr std::size_t callersDivisor = 2;
constexpr std::size_t controlDivisor = 5;

} // namespace

Result<DescriptorBudget> splitDescriptors(std::size_t limit, const DescriptorDemand &demand)
{
    const std::size_t fixed
        = reserved + links + adviceConnections + monitoringServers * monitoringConnections;
    const std::size_t available = limit - std::min(limit, fixed);
    DescriptorBudget budget;
    budget.monitoring = monitoringConnections;
    budget.advice = adviceConnections;
    budget.callers = demand.servesCallers ? std::min(available / callersDivisor, maxPerUse) : 0;
    budget.control = demand.servesControl ? std::min(available / controlDivisor, maxPerUse) : 0;
    budget.orders = std::min(available - budget.callers - budget.control, maxPerUse);
    const std::size_t smallest
        = std::min({budget.orders, demand.servesCallers ? budget.callers : budget.orders,
                    demand.servesControl ? budget.control : budget.orders});
    if (smallest < minPerUse) {
        return Error{.code = ErrorCode::InvalidArgument,
                     .step = Step::Settings,
                     .peer = {},
                     .message = "the limit of " + std::to_string(limit)
                         + " open descriptors is too low: links, files and monitoring take "
                         + std::to_string(fixed) + ", and each use needs "
                         + std::to_string(minPerUse) + " more",
                     .outcome = Outcome::NotRun};
    }
    return budget;
}

} // namespace gooseberry
