#include <base/identifiers.h>

namespace gooseberry {

std::string toString(const TaskId &task)
{
    return std::to_string(task.job.value) + '.' + std::to_string(task.index);
}

} // namespace gooseberry
