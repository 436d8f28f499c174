#pragma once

#include <cstdint>

#include <base/base.h>

namespace gooseberry {

/** What decides when a step's tasks get their turn. */
struct StepUrgency
{
    /** The queue's priority; 0 goes first. */
    std::uint32_t priority = 0;
    /** By when the workflow should have completed. */
    SteadyTime objective;
    /** What is left of the workflow's longest criticalPath, from this step on. */
    Duration remaining{};
    SteadyTime acceptedAt;
    /** The customer's held share over its weight; lower goes first among late work. */
    double shareUsed = 0.0;
};

/** Returns by when the step must start so that the workflow ends in time. */
SteadyTime latestStart(const StepUrgency &urgency);

/** Returns whether the workflow can't end in time any more. */
bool isLate(const StepUrgency &urgency, SteadyTime now);

/**
 * Returns whether left gets its turn before right. Work that can still end in time goes before work
 * that can't; among that, urgent queues first and then the least slack. When all is full, this
 * spends the capacity on work that callers still wait for.
 */
bool hasPriorityOver(const StepUrgency &left, const StepUrgency &right, SteadyTime now);

} // namespace gooseberry
