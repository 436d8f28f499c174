#include <policy/admission.h>

namespace gooseberry {

namespace {

Error refuse(ErrorCode code, Step step, Reason reason, const std::string &message)
{
    return Error{.code = code,
                 .step = step,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun,
                 .reason = toString(reason)};
}

Status checkCaller(const Queue &queue, const std::optional<TeamId> &caller)
{
    if (queue.openToAll) {
        return Done{};
    }
    if (!caller) {
        return refuse(ErrorCode::Unauthenticated, Step::Authenticate, Reason::WrongTeam,
                      "queue " + queue.id.value + " needs a key of team " + queue.team.value);
    }
    if (*caller != queue.team) {
        return refuse(ErrorCode::PermissionDenied, Step::Authenticate, Reason::WrongTeam,
                      "queue " + queue.id.value + " belongs to another team");
    }
    return Done{};
}

} // namespace

std::uint64_t shedThreshold(JobClass jobClass, std::uint32_t shedAbove)
{
    // Batch jobs are shed first, then gangs, then services, and urgent jobs only at four times the
    // threshold.
    constexpr std::uint64_t quarters = 4;
    const std::uint64_t threshold = shedAbove;
    switch (jobClass) {
    case JobClass::Batch:
        return threshold;
    case JobClass::Gang:
        return threshold + threshold / quarters;
    case JobClass::Service:
        return threshold * 2;
    case JobClass::Urgent:
        return threshold * quarters;
    }
    return threshold;
}

Status checkAdmission(const JobSpec &spec, const AdmissionInput &input)
{
    if (input.queue == nullptr) {
        return refuse(ErrorCode::InvalidArgument, Step::Admit, Reason::UnknownQueue,
                      "queue " + spec.queue.value + " does not exist");
    }
    const Queue &queue = *input.queue;
    if (Status caller = checkCaller(queue, input.caller); !ok(caller)) {
        return caller;
    }
    if (!queue.classes.contains(spec.jobClass)) {
        return refuse(ErrorCode::InvalidArgument, Step::Admit, Reason::ClassNotAllowed,
                      "queue " + queue.id.value + " takes no jobs of class "
                          + toString(spec.jobClass));
    }
    const std::uint32_t concurrentTasks = spec.jobClass == JobClass::Gang ? spec.taskCount : 1;
    const Resources concurrentAmount
        = multiply(spec.perTask, concurrentTasks).value_or(input.limit.maximum);
    if (const auto dimension = firstShortage(concurrentAmount, input.limit.maximum)) {
        return refuse(ErrorCode::Impossible, Step::Admit, Reason::ShapeImpossible,
                      "the team's limit of " + toString(*dimension)
                          + " is below what must run at once");
    }
    if (!input.couldEverFit) {
        const std::string missing
            = input.shortage ? " in dimension " + toString(*input.shortage) : "";
        return refuse(ErrorCode::Impossible, Step::Admit, Reason::ShapeImpossible,
                      "no instance could ever hold a task of this shape" + missing);
    }
    if (input.shedAbove > 0
        && input.cellPendingTasks >= shedThreshold(spec.jobClass, input.shedAbove)) {
        return refuse(ErrorCode::Overloaded, Step::Admit, Reason::LoadShed,
                      std::to_string(input.cellPendingTasks) + " tasks wait in the cell; class "
                          + toString(spec.jobClass) + " is not admitted until fewer do");
    }
    if (input.pendingTasks + spec.taskCount > queue.maxPendingTasks) {
        return refuse(ErrorCode::LimitExceeded, Step::Admit, Reason::QueueFull,
                      "queue " + queue.id.value + " holds " + std::to_string(input.pendingTasks)
                          + " of " + std::to_string(queue.maxPendingTasks) + " waiting tasks");
    }
    return Done{};
}

} // namespace gooseberry
