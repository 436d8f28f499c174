#include <base/identifiers.h>

namespace gooseberry {

std::string toString(const TaskId &task)
{
    return std::to_string(task.job.value) + '.' + std::to_string(task.index);
}

std::string toString(const AttemptId &attempt)
{
    return toString(attempt.task) + '.' + std::to_string(attempt.attempt.value);
}

} // namespace gooseberry
