#include <policy/order_failure.h>

namespace gooseberry {

namespace {

/**
 * Share of the workers that fails together only for a shared cause: a failure domain holds a fifth
 * or more of the workers, and its loss shows at each of them.
 */
constexpr double sharedFailureShare = 0.5;
/** With fewer failed workers, their share of a small fleet shows nothing. */
constexpr std::size_t minSharedFailures = 8;

} // namespace

OrderFailure attributeOrderFailure(const Error &error, const RecentOrders &recent)
{
    if (error.outcome == Outcome::NotRun
        && (error.code == ErrorCode::Overloaded || error.code == ErrorCode::NotLeader)) {
        return OrderFailure::Sender;
    }
    const double share = recent.workersUsable == 0
        ? 0.0
        : static_cast<double>(recent.workersFailed) / static_cast<double>(recent.workersUsable);
    return recent.workersFailed >= minSharedFailures && share >= sharedFailureShare
        ? OrderFailure::Shared
        : OrderFailure::Worker;
}

} // namespace gooseberry
