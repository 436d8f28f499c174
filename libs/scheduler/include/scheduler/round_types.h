#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <policy/policy.h>

namespace gooseberry {

/** A decision to start one attempt on one instance. Its resources are reserved. */
struct StartDecision
{
    AttemptId attempt;
    InstanceId instance;
    TeamId team;
    Resources amount;
    PlacementChoice choice;
};

/** The decisions that are committed together; for a gang, all of its tasks. */
struct StartGroup
{
    JobId job;
    bool allOrNone = false;
    std::vector<StartDecision> starts;
};

/** What a round needs to know besides what waits and what is in use. */
struct RoundInput
{
    SteadyTime now;
    CellTime cellNow;
    const CellConfig *config = nullptr;
    std::set<FailureDomainId> domainsOut;
};

/** How an attempt ended. */
enum class EndCause {
    Succeeded,
    Failed, ///< The worker ran the attempt and reports that it failed.
    Stopped, ///< Cancelled, preempted, moved or lost with its worker; nobody's fault.
};

/** The end of an attempt that taskStarted() was called for. */
struct TaskEnd
{
    AttemptId attempt;
    InstanceId instance;
    EndCause cause = EndCause::Succeeded;
    SteadyTime at;
};

/**
 * Rules that a test switches off to prove that its checks notice. Nothing else sets them.
 */
struct FaultInjection
{
    bool ignoreInstanceSize = false;
    bool ignoreTeamLimit = false;
    bool ignoreDomainsOut = false;
    bool splitGangs = false;
    bool requeueStartedTasks = false;
    bool leakReservations = false;
};

/** How a scheduler works; the defaults suit one decision thread and repeatable rounds. */
struct SchedulerSettings
{
    /** Threads that decide in a round, the caller's included. */
    unsigned decisionThreads = 1;
    /** Equal seeds and equal calls lead to equal decisions with one decision thread. */
    std::uint64_t seed = 1;
    CorrectionSettings correction;
    QuarantineSettings quarantine;
    RetrySettings retry;
    ReservationSettings reservation;
    EvacuationSettings evacuation;
    /** After this, a task that was named for stopping and still runs may be named again. */
    std::chrono::milliseconds stopTimeout{std::chrono::seconds(10)};
    /** The most urgent tasks for which one call of preemptions() makes room. */
    std::uint32_t maxPreemptionsPerCall = 16;
    FaultInjection faults;
};

} // namespace gooseberry
