#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** A worker that may take tasks of the step in question. */
struct PlacementCandidate
{
    std::size_t worker = 0; ///< The caller's number for the worker.
    Resources free;
    /** Tasks of the same step that it has already. */
    std::uint32_t tasksOfStep = 0;
    RackId rack;
    /** Higher is worse: recent failures and slow answers. */
    double penalty = 0.0;
};

/** What has to be placed. */
struct PlacementRequest
{
    Resources size;
    std::uint32_t count = 1;
    /** All tasks or none. */
    bool allOrNone = false;
    /** Prefers a single rack, since the tasks are slow across racks. */
    bool preferOneRack = false;
    /** Prefers this rack, where the data is; empty for none. */
    RackId dataRack;
    /** The most tasks of the step on one worker; 0 for no bound. */
    std::uint32_t maxPerWorker = 0;
};

/** Returns how many tasks of this size fit, as far as the candidate's bound allows. */
std::uint32_t tasksThatFit(const PlacementCandidate &candidate, const PlacementRequest &request);
/** The same for a worker that has so much left and none of the step's tasks. */
std::uint32_t tasksThatFit(const Resources &free, const PlacementRequest &request);

/**
 * Returns the worker of each task that can be placed now: best fit, so that large tasks find room
 * later. With together, either all tasks or none.
 */
std::vector<std::size_t> chooseWorkers(const PlacementRequest &request,
                                       std::vector<PlacementCandidate> candidates);

} // namespace gooseberry
