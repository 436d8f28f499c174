#include <policy/reason.h>

#include <array>
#include <utility>

namespace gooseberry {

namespace {

constexpr std::array<std::pair<Reason, const char *>, 23> reasonNames{{
    {Reason::Accepted, "accepted"},
    {Reason::UnknownQueue, "unknown-queue"},
    {Reason::WrongTeam, "wrong-team"},
    {Reason::ClassNotAllowed, "class-not-allowed"},
    {Reason::ShapeImpossible, "shape-impossible"},
    {Reason::QueueFull, "queue-full"},
    {Reason::LoadShed, "load-shed"},
    {Reason::BestFit, "best-fit"},
    {Reason::NoCapacity, "no-capacity"},
    {Reason::TeamAtLimit, "team-at-limit"},
    {Reason::TeamNotDeclared, "team-not-declared"},
    {Reason::DomainOutOfService, "domain-out-of-service"},
    {Reason::NoInstanceForService, "no-instance-for-service"},
    {Reason::GangIncomplete, "gang-incomplete"},
    {Reason::RoomReserved, "room-reserved"},
    {Reason::JobBackOff, "job-back-off"},
    {Reason::JobFailsEverywhere, "job-fails-everywhere"},
    {Reason::RetryBudgetSpent, "retry-budget-spent"},
    {Reason::InstanceQuarantined, "instance-quarantined"},
    {Reason::InstanceDeparting, "instance-departing"},
    {Reason::PreemptedForUrgent, "preempted-for-urgent"},
    {Reason::NothingToPreempt, "nothing-to-preempt"},
    {Reason::UsageAboveSize, "usage-above-size"},
}};

} // namespace

std::string toString(Reason reason)
{
    for (const auto &[candidate, name] : reasonNames) {
        if (candidate == reason) {
            return name;
        }
    }
    return "unknown";
}

} // namespace gooseberry
