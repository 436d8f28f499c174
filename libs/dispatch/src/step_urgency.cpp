#include <dispatch/step_urgency.h>

namespace gooseberry {

namespace {

/** Distance between the groups of steps; more than the highest priority of a queue. */
constexpr std::uint32_t groupOffset = 1'000'000;
/** A result is of no use after this many times its objective. */
constexpr int expiryFactor = 3;

/** Returns 0 for steps that can meet their objective, 1 for late ones and 2 for expired ones. */
std::uint32_t groupOf(const StepUrgency &urgency, SteadyTime now)
{
    if (!isLate(urgency, now)) {
        return 0;
    }
    return isExpired(urgency, now) ? 2 : 1;
}

} // namespace

SteadyTime latestStart(const StepUrgency &urgency)
{
    return urgency.objective - urgency.remaining;
}

bool isLate(const StepUrgency &urgency, SteadyTime now)
{
    return latestStart(urgency) < now;
}

bool isExpired(const StepUrgency &urgency, SteadyTime now)
{
    const Duration allowed = (urgency.objective - urgency.acceptedAt) * expiryFactor;
    return now + urgency.remaining > urgency.acceptedAt + allowed;
}

std::uint32_t advicePriority(const StepUrgency &urgency, SteadyTime now)
{
    return urgency.priority + groupOf(urgency, now) * groupOffset;
}

SchedulingRank schedulingRank(const StepUrgency &urgency, SteadyTime now)
{
    return SchedulingRank{.group = groupOf(urgency, now),
                          .urgentLast = urgency.priority == 0 ? 0U : 1U,
                          .latestStart = latestStart(urgency)};
}

bool hasPriorityOver(const StepUrgency &left, const StepUrgency &right, SteadyTime now)
{
    return schedulingRank(left, now) < schedulingRank(right, now);
}

} // namespace gooseberry
