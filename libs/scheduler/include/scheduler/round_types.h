#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <policy/policy.h>

namespace gooseberry {

/** A decision to start an attempt on an instance, whose resources are reserved for it. */
struct StartDecision
{
    AttemptId attempt;
    InstanceId instance;
    TeamId team;
    Resources amount;
    PlacementChoice choice;
};

/** Start decisions of one job; with allOrNone they are committed together or not at all. */
struct StartGroup
{
    JobId job;
    bool allOrNone = false;
    std::vector<StartDecision> starts;
};

/** The inputs of a scheduling round, besides the waiting tasks and the resources in use. */
struct RoundInput
{
    SteadyTime now;
    CellTime cellNow;
    const CellConfig *config = nullptr;
    std::set<FailureDomainId> domainsOut;
};

/** Why an attempt ended. */
enum class EndCause {
    Succeeded,
    Failed, ///< The worker ran the attempt and reported a failure.
    Stopped, ///< Cancelled, preempted, moved or lost with its worker; not counted as a failure.
};

/** The end of an attempt that was passed to taskStarted(). */
struct TaskEnd
{
    AttemptId attempt;
    InstanceId instance;
    EndCause cause = EndCause::Succeeded;
    SteadyTime at;
};

/**
 * Faults that tests inject to verify that their checks detect a broken rule. Never set elsewhere.
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

/** Settings of a scheduler. By default one thread decides and rounds are deterministic. */
struct SchedulerSettings
{
    /** Number of threads that decide in a round, including the caller's. */
    unsigned decisionThreads = 1;
    /** With one decision thread, equal seeds and equal calls lead to equal decisions. */
    std::uint64_t seed = 1;
    CorrectionSettings correction;
    QuarantineSettings quarantine;
    RetrySettings retry;
    ReservationSettings reservation;
    EvacuationSettings evacuation;
    /** Time after which a task that was chosen to be stopped and still runs may be chosen again. */
    std::chrono::milliseconds stopTimeout{std::chrono::seconds(10)};
    /** Maximum number of urgent tasks that one call of preemptions() handles. */
    std::uint32_t maxPreemptionsPerCall = 16;
    FaultInjection faults;
};

} // namespace gooseberry
