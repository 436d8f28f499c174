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

/** Returns whether the workflow can no longer meet its objective. */
bool isLate(const StepUrgency &urgency, SteadyTime now);

/**
 * Returns whether left is scheduled before right. Steps that can still meet their objective go
 * before those that can't; within each group, urgent queues go first, then the least slack. Under
 * overload, this spends the capacity on work whose callers are still waiting.
 */
bool hasPriorityOver(const StepUrgency &left, const StepUrgency &right, SteadyTime now);

} // namespace gooseberry
