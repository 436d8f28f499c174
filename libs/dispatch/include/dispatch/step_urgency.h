#pragma once

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
    /**
     * The customer's reserved share divided by its weight; lower is meant to go first among late
     * steps.
     */
    double shareUsed = 0.0;
};

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
