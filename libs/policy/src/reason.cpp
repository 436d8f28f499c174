#include <policy/reason.h>

namespace gooseberry {

std::string toString(Reason reason)
{
    switch (reason) {
    case Reason::Accepted:
        return "accepted";
    case Reason::UnknownQueue:
        return "unknown-queue";
    case Reason::WrongTeam:
        return "wrong-team";
    case Reason::ClassNotAllowed:
        return "class-not-allowed";
    case Reason::ShapeImpossible:
        return "shape-impossible";
    case Reason::QueueFull:
        return "queue-full";
    case Reason::BestFit:
        return "best-fit";
    case Reason::NoCapacity:
        return "no-capacity";
    case Reason::TeamAtLimit:
        return "team-at-limit";
    case Reason::DomainOutOfService:
        return "domain-out-of-service";
    case Reason::NoInstanceForService:
        return "no-instance-for-service";
    }
    return "unknown";
}

} // namespace gooseberry
