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
    BestFit,
    NoCapacity,
    TeamAtLimit,
    DomainOutOfService,
    NoInstanceForService,
};

/** Returns the hyphenated form used in logs and answers, such as "team-at-limit". */
std::string toString(Reason reason);

} // namespace gooseberry
