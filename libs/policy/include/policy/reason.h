#pragma once

#include <string>

namespace gooseberry {

/** Why a decision was taken, or why a task waits. */
enum class Reason {
    Accepted,
    UnknownQueue,
    WrongTeam,
    ClassNotAllowed,
    ShapeImpossible,
    QueueFull,
    LoadShed, ///< The cell has more waiting work than it admits of this class.
    BestFit,
    NoCapacity,
    TeamAtLimit,
    TeamNotDeclared,
    DomainOutOfService,
    NoInstanceForService,
    GangIncomplete, ///< Not all tasks of the gang wait yet.
    RoomReserved, ///< The room that is left is kept for a gang.
    JobBackOff, ///< The job failed on several instances and waits before the next try.
    JobFailsEverywhere, ///< Parked: the job failed on several instances, again and again.
    RetryBudgetSpent, ///< The team's retries wait so that first tries are not crowded out.
    InstanceQuarantined, ///< Attempts of several jobs failed on the instance.
    InstanceDeparting,
    PreemptedForUrgent,
    NothingToPreempt,
    UsageAboveSize, ///< Actual usage comes close to the size of the instance.
};

/** Returns the hyphenated form used in logs and answers, such as "team-at-limit". */
std::string toString(Reason reason);

} // namespace gooseberry
