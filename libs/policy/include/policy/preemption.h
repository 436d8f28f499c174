#pragma once

#include <optional>
#include <string>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <fleet/fleet.h>
#include <policy/reason.h>
#include <policy/running_task.h>

namespace gooseberry {

/** Urgent work that found no room. */
struct UrgentRequest
{
    TaskId task;
    TeamId team;
    Resources amount;
    std::string service;
    /** What the urgent team may still start within its limit. */
    Resources remainingLimit;
};

/** A task to stop; the caller takes a checkpoint first where the worker can. */
struct Victim
{
    AttemptId attempt;
    InstanceId instance;
    bool checkpoint = false;
};

/** What to stop so that the urgent task fits on the instance, or why nothing is stopped. */
struct PreemptionDecision
{
    TaskId urgent;
    std::optional<InstanceId> instance;
    std::vector<Victim> victims;
    Reason reason = Reason::NothingToPreempt;
};

/**
 * Chooses the instance whose victims lose least: no services if possible, then least progress,
 * where progress that a checkpoint keeps does not count. Urgent tasks and tasks that must not be
 * repeated are never victims; a gang is stopped whole, and not at all if one of its tasks must not
 * be repeated. Nothing is stopped for a team whose limit would refuse the urgent task anyway.
 *
 * Running holds all running tasks. Tasks named by an earlier decision must be left out by the
 * caller and their room counted as free.
 */
PreemptionDecision choosePreemption(const UrgentRequest &urgent,
                                    const std::vector<Instance> &instances,
                                    const std::vector<RunningTask> &running, SteadyTime now);

} // namespace gooseberry
