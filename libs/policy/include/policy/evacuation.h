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

/** Rate limits for moving tasks off instances and for refilling returned failure domains. */
struct EvacuationSettings
{
    /** Limit on concurrent moves, so that a surge does not overload the rest of the cell. */
    std::size_t maxConcurrentMoves = 50;
    /** Time until all instances of a failure domain that returned take new tasks. */
    std::chrono::milliseconds rampUp{std::chrono::seconds(60)};
    /** Fraction of a returned domain's instances that take new tasks immediately. */
    double initialFraction = 0.1;
};

/** A task to move to another instance: the caller stops it and adds it to the queue again. */
struct MoveDecision
{
    AttemptId attempt;
    InstanceId from;
    bool checkpoint = false;
    Reason reason = Reason::DomainOutOfService;
};

/**
 * Chooses the tasks to move off departing instances and off failure domains that are out of
 * service: urgent tasks first, then services, gangs and batch tasks, and within a class the longest
 * running first. Tasks that must not be repeated stay until they end. The result and the
 * movesInProgress earlier moves together do not exceed maxConcurrentMoves.
 */
std::vector<MoveDecision> chooseMoves(const std::vector<RunningTask> &running,
                                      const std::vector<Instance> &instances,
                                      const std::set<FailureDomainId> &domainsOut,
                                      std::size_t movesInProgress,
                                      const EvacuationSettings &settings);

/** Returns the fraction of a domain's instances that take new tasks this long after its return. */
double rampFraction(std::chrono::milliseconds sinceReturn, const EvacuationSettings &settings);

/**
 * Returns whether the instance is among this fraction of instances. An instance that is included
 * stays included as the fraction grows.
 */
bool isIncludedInRamp(const InstanceId &instance, double fraction);

} // namespace gooseberry
