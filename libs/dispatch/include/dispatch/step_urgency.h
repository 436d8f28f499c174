#pragma once

#include <compare>
#include <cstdint>

#include <base/base.h>

namespace gooseberry {

/** The properties of a step that determine its scheduling order. */
struct StepUrgency
{
    /** The queue's priority; 0 goes first. */
    std::uint32_t priority = 0;
    /** Time by which the workflow should complete. */
    SteadyTime objective;
    /** Estimated remaining time of the workflow, from this step on. */
    Duration remaining{};
    SteadyTime acceptedAt;
};

/**
 * The place of a step in the scheduling order at one time; lower goes first. Sorting by it costs
 * less than comparing urgencies, which matters with a thousand waiting steps.
 */
struct SchedulingRank
{
    /** 0 for steps that can still meet their objective, 1 for late ones, 2 for expired ones. */
    std::uint32_t group = 0;
    /** 0 for urgent queues, 1 for all others. */
    std::uint32_t urgentLast = 0;
    SteadyTime latestStart;

    auto operator<=>(const SchedulingRank &other) const = default;
};

SchedulingRank schedulingRank(const StepUrgency &urgency, SteadyTime now);

/** Returns the latest time at which the step can start without missing the objective. */
SteadyTime latestStart(const StepUrgency &urgency);

/**
 * Returns the priority of the step's requests to the adviser, 0 being the most urgent. Late and
 * expired steps come after all others, as in placement: after an outage, the answers for steps that
 * are late already would otherwise delay those for new urgent ones until these are late too.
 */
std::uint32_t advicePriority(const StepUrgency &urgency, SteadyTime now);

/** Returns whether the workflow can no longer meet its objective. */
bool isLate(const StepUrgency &urgency, SteadyTime now);

/**
 * Returns whether the workflow would end later than three times its objective, when its caller has
 * no more use for the result.
 */
bool isExpired(const StepUrgency &urgency, SteadyTime now);

/**
 * Returns whether left is scheduled before right. Steps that can still meet their objective go
 * first, then late ones, then expired ones; within each group, urgent queues go first, then the
 * least slack. It answers a burst, or an outage after which all callers return at once: the
 * capacity goes to work whose callers are still waiting, not to what has waited longest.
 */
bool hasPriorityOver(const StepUrgency &left, const StepUrgency &right, SteadyTime now);

} // namespace gooseberry
