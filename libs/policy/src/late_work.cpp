#include <policy/late_work.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** With passes every 12 ms, this is above the highest rate of starts that a leader can send. */
constexpr std::size_t fullBudget = 64;
/** Allows one step of usual size. */
constexpr std::size_t minBudget = 4;
/** Passes begin within a few milliseconds while the leader keeps up with its work. */
constexpr std::chrono::milliseconds calmLateness{3};
/**
 * From its acceptance to its result, urgent work waits some ten times for its turn in this process;
 * with more than this each time, it loses a third of the shortest objectives of half a second.
 */
constexpr std::chrono::milliseconds overloadedLateness{15};
/** Weight of one pass, so that the budget follows within a few passes. */
constexpr int passesPerMean = 4;
/** A request and its reply take the leader about as long as the starts of a step of usual size. */
constexpr std::size_t tasksPerAdviceRequest = 4;

} // namespace

std::size_t lateTaskBudget(Duration lateness)
{
    const auto clamped
        = std::clamp<Duration>(lateness, calmLateness, overloadedLateness) - calmLateness;
    const std::chrono::duration<double> excess = clamped;
    const std::chrono::duration<double> range = overloadedLateness - calmLateness;
    const double share = 1.0 - excess / range;
    return minBudget
        + static_cast<std::size_t>(share * static_cast<double>(fullBudget - minBudget));
}

std::size_t lateAdviceCost(std::size_t waitingTasks)
{
    return std::max(waitingTasks, tasksPerAdviceRequest);
}

Duration smoothLateness(Duration smoothed, Duration latest)
{
    return smoothed + (latest - smoothed) / passesPerMean;
}

} // namespace gooseberry
