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

/** An urgent task that does not fit into the free capacity. */
struct UrgentRequest
{
    TaskId task;
    TeamId team;
    Resources amount;
    std::string service;
    /** What the task's team may still start within its limit. */
    Resources remainingLimit;
};

/** A task to stop. With checkpoint set, the caller takes a checkpoint first. */
struct Victim
{
    AttemptId attempt;
    InstanceId instance;
    bool checkpoint = false;
};

/** The tasks to stop so that the urgent task fits on the instance, or why none are stopped. */
struct PreemptionDecision
{
    TaskId urgent;
    std::optional<InstanceId> instance;
    std::vector<Victim> victims;
    Reason reason = Reason::NothingToPreempt;
};

/**
 * Chooses the instance where preemption costs least: as few services as possible, then the least
 * lost progress. Progress that a checkpoint preserves is not lost. Urgent tasks and tasks that must
 * not be repeated are never victims. A gang is stopped as a whole, and not at all if one of its
 * tasks must not be repeated. Nothing is stopped when the team's limit does not allow the urgent
 * task.
 *
 * Running contains all running tasks except the victims of earlier decisions, which the caller
 * removes and whose resources it counts as free.
 */
PreemptionDecision choosePreemption(const UrgentRequest &urgent,
                                    const std::vector<Instance> &instances,
                                    const std::vector<RunningTask> &running, SteadyTime now);

} // namespace gooseberry
