#pragma once

#include <string>

namespace gooseberry {

/** Why a decision was made, or why a task waits. */
enum class Reason {
    Accepted,
    UnknownQueue,
    WrongTeam,
    ClassNotAllowed,
    ShapeImpossible,
    QueueFull,
    LoadShed, ///< Too many tasks wait in the cell to admit jobs of this class.
    BestFit,
    NoCapacity,
    TeamAtLimit,
    TeamNotDeclared,
    DomainOutOfService,
    NoInstanceForService,
    GangIncomplete, ///< Not all tasks of the gang have been added yet.
    RoomReserved, ///< The free capacity is reserved for a gang.
    JobBackOff, ///< The job failed on several instances and waits before the next attempt.
    JobFailsEverywhere, ///< Parked: the job kept failing on several instances after back-offs.
    RetryBudgetSpent, ///< The team's retries wait so that they don't displace first attempts.
    InstanceQuarantined, ///< Attempts of several jobs failed on the instance.
    InstanceDeparting,
    PreemptedForUrgent,
    NothingToPreempt,
    UsageAboveSize, ///< The task exceeds its size while its instance is near capacity.
};

/** Returns the hyphenated form used in logs and responses, such as "team-at-limit". */
std::string toString(Reason reason);

} // namespace gooseberry
