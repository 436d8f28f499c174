#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include <base/base.h>
#include <fleet/fleet.h>
#include <policy/reason.h>
#include <policy/running_task.h>

namespace gooseberry {

/** How fast work is moved and room is taken up again. */
struct EvacuationSettings
{
    /** Moves that may be under way at the same time, so that no surge hits the rest of the cell. */
    std::size_t maxConcurrentMoves = 50;
    /** A failure domain that returns gets its full share of new work after this. */
    std::chrono::milliseconds rampUp{std::chrono::seconds(60)};
    /** The fraction of a returning domain's instances that take new work at once. */
    double initialFraction = 0.1;
};

/** A task to stop here and place elsewhere. The caller stops it and requeues it. */
struct MoveDecision
{
    AttemptId attempt;
    InstanceId from;
    bool checkpoint = false;
    Reason reason = Reason::DomainOutOfService;
};

/**
 * Names the tasks to move off instances in failure domains taken out and off departing ones:
 * urgent work and services first, then gangs, then batch work, and within a class what runs
 * longest. Tasks that must not be repeated stay until they end. At most maxConcurrentMoves moves
 * are under way, counting the given number of earlier ones.
 */
std::vector<MoveDecision> chooseMoves(const std::vector<RunningTask> &running,
                                      const std::vector<Instance> &instances,
                                      const std::set<FailureDomainId> &domainsOut,
                                      std::size_t movesInProgress,
                                      const EvacuationSettings &settings);

/** Returns the fraction of a domain's instances that take new work this long after its return. */
double rampFraction(std::chrono::milliseconds sinceReturn, const EvacuationSettings &settings);

/**
 * Returns whether the instance takes new work yet at the fraction of the ramp. An instance that
 * does keeps doing so as the fraction grows.
 */
bool isIncludedInRamp(const InstanceId &instance, double fraction);

} // namespace gooseberry
