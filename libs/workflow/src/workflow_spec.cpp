#include <workflow/workflow_spec.h>

#include <algorithm>

namespace gooseberry {

namespace {

// Limits on the memory that one workflow can occupy on a control instance.
constexpr std::size_t maxSteps = 256;
constexpr std::size_t maxTasks = 20'000;
constexpr std::size_t maxPayload = std::size_t{16} * 1024;

Error invalid(const std::string &message)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Parse,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

Status checkStep(const WorkflowSpec &spec, std::size_t number)
{
    const StepSpec &step = spec.steps[number];
    const std::string name = "step " + std::to_string(number);
    if (step.count == 0) {
        return invalid(name + " has no tasks");
    }
    if (!isNonNegative(step.size) || step.estimate < std::chrono::milliseconds(0)) {
        return invalid(name + " has a negative size or estimate");
    }
    for (const std::uint32_t earlier : step.dependsOn) {
        if (earlier >= number) {
            return invalid(name + " depends on step " + std::to_string(earlier)
                           + ", which is not an earlier one");
        }
    }
    return Done{};
}

} // namespace

std::string toString(const TaskKey &task)
{
    return task.workflow.value + '/' + std::to_string(task.occurrence) + '/'
        + std::to_string(task.step) + '/' + std::to_string(task.index);
}

Status checkSpec(const WorkflowSpec &spec)
{
    if (spec.steps.empty() || spec.steps.size() > maxSteps) {
        return invalid("a workflow must have 1 to " + std::to_string(maxSteps) + " steps");
    }
    if (spec.payload.size() > maxPayload) {
        return invalid("the payload is larger than " + std::to_string(maxPayload) + " bytes");
    }
    std::size_t tasks = 0;
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        if (Status checked = checkStep(spec, number); !ok(checked)) {
            return checked;
        }
        tasks += spec.steps[number].count;
    }
    if (tasks > maxTasks) {
        return invalid("a workflow must have at most " + std::to_string(maxTasks) + " tasks");
    }
    return Done{};
}

std::uint32_t occurrenceCount(const WorkflowSpec &spec)
{
    return std::max(spec.timetable.occurrences, std::uint32_t{1});
}

std::chrono::milliseconds criticalPathLength(const WorkflowSpec &spec)
{
    std::vector<std::chrono::milliseconds> ends;
    std::chrono::milliseconds longest{0};
    for (const StepSpec &step : spec.steps) {
        std::chrono::milliseconds begin{0};
        for (const std::uint32_t earlier : step.dependsOn) {
            begin = std::max(begin, ends[earlier]);
        }
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace gooseberry
