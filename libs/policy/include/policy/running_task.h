#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <base/base.h>
#include <contract/contract.h>

namespace gooseberry {

/** One running attempt, as far as decisions about it need to know. */
struct RunningTask
{
    AttemptId attempt;
    InstanceId instance;
    TeamId team;
    JobClass jobClass = JobClass::Batch;
    Resources amount;
    /** Whether the task may be run again; one that may not is never preempted nor moved. */
    bool repeatable = true;
    /** Whether the worker can checkpoint the task, so that stopping it loses little. */
    bool checkpointable = false;
    /** Jobs with the same template are expected to behave alike. */
    std::string jobTemplate;
    SteadyTime startedAt;
    /** The corrected estimate of the run time; nothing for services and unknown templates. */
    std::optional<std::chrono::milliseconds> estimatedRunTime;
};

/** Returns when the task ends by its estimate, or nothing when that is not known. */
inline std::optional<SteadyTime> expectedEnd(const RunningTask &task)
{
    return task.estimatedRunTime ? std::optional(task.startedAt + *task.estimatedRunTime)
                                 : std::nullopt;
}

} // namespace gooseberry
