#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** A worker that may run tasks of the step to be placed. */
struct PlacementCandidate
{
    std::size_t worker = 0; ///< The caller's index of the worker.
    Resources free;
    /** Tasks of the step that the worker has already. */
    std::uint32_t tasksOfStep = 0;
    RackId rack;
    /** Penalty for recent failures; candidates with a lower one are preferred. */
    double penalty = 0.0;
};

/** The tasks of one step to be placed, and the constraints on their placement. */
struct TaskPlacementRequest
{
    Resources size;
    std::uint32_t count = 1;
    /** Place all tasks or none. */
    bool allOrNone = false;
    /** Prefer a single rack, since the tasks slow down when they communicate across racks. */
    bool preferOneRack = false;
    /** Prefer this rack, which holds the data; empty for no preference. */
    RackId dataRack;
    /** Maximum number of tasks of the step on one worker; 0 for no limit. */
    std::uint32_t maxPerWorker = 0;
};

/** Returns how many of the tasks fit on the candidate, within the maximum per worker. */
std::uint32_t tasksThatFit(const PlacementCandidate &candidate,
                           const TaskPlacementRequest &request);
/** The same for a worker with this free capacity and none of the step's tasks. */
std::uint32_t tasksThatFit(const Resources &free, const TaskPlacementRequest &request);

/**
 * Returns the worker of each task that can be placed now. Uses best fit, so that large tasks find
 * free capacity later. With allOrNone, places either all tasks or none.
 */
std::vector<std::size_t> chooseWorkers(const TaskPlacementRequest &request,
                                       std::vector<PlacementCandidate> candidates);

} // namespace gooseberry
