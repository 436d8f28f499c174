#include <contract/job_spec.h>

namespace gooseberry {

namespace {

Error invalidField(const std::string &message)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Admit,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

} // namespace

std::string toString(JobClass jobClass)
{
    switch (jobClass) {
    case JobClass::Service:
        return "service";
    case JobClass::Batch:
        return "batch";
    case JobClass::Gang:
        return "gang";
    case JobClass::Urgent:
        return "urgent";
    }
    return "unknown";
}

Result<JobClass> parseJobClass(const std::string &text)
{
    for (const JobClass candidate :
         {JobClass::Service, JobClass::Batch, JobClass::Gang, JobClass::Urgent}) {
        if (toString(candidate) == text) {
            return candidate;
        }
    }
    return invalidField("class '" + text + "' is not one of service, batch, gang, urgent");
}

Status checkJobSpec(const JobSpec &spec)
{
    if (spec.taskCount == 0 || spec.taskCount > maxTasksPerJob) {
        return invalidField("tasks must be between 1 and " + std::to_string(maxTasksPerJob));
    }
    if (!isNonNegative(spec.perTask)) {
        return invalidField("a task's resources must not be negative");
    }
    if (spec.perTask == Resources{}) {
        return invalidField("a task must ask for at least one resource");
    }
    if (!multiply(spec.perTask, spec.taskCount)) {
        return invalidField("the job's total resources overflow");
    }
    if (spec.expectedRunTime < std::chrono::milliseconds::zero()) {
        return invalidField("the expected run time must not be negative");
    }
    if (spec.maxAttempts == 0) {
        return invalidField("maxAttempts must be at least 1");
    }
    if (static_cast<std::int64_t>(spec.payload.size()) > maxPayload.value) {
        return Error{.code = ErrorCode::TooLarge,
                     .step = Step::Admit,
                     .peer = {},
                     .message
                     = "the payload exceeds " + std::to_string(maxPayload.value) + " bytes",
                     .outcome = Outcome::NotRun};
    }
    return Done{};
}

} // namespace gooseberry
