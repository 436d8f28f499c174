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
    const std::uint32_t together = spec.jobClass == JobClass::Gang ? spec.taskCount : 1;
    const Resources atOnce = multiply(spec.perTask, together).value_or(input.limit.maximum);
    if (const auto dimension = firstShortage(atOnce, input.limit.maximum)) {
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
    if (input.pendingTasks + spec.taskCount > queue.maxPendingTasks) {
        return refuse(ErrorCode::LimitExceeded, Step::Admit, Reason::QueueFull,
                      "queue " + queue.id.value + " holds " + std::to_string(input.pendingTasks)
                          + " of " + std::to_string(queue.maxPendingTasks) + " waiting tasks");
    }
    return Done{};
}

} // namespace gooseberry
