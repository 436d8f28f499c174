#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <base/base.h>
#include <contract/contract.h>

namespace gooseberry {

/** The properties of a running attempt that scheduling decisions depend on. */
struct RunningTask
{
    AttemptId attempt;
    InstanceId instance;
    TeamId team;
    JobClass jobClass = JobClass::Batch;
    Resources amount;
    /** Whether the task may run again; if not, it is never preempted or moved. */
    bool repeatable = true;
    /** Whether the worker can checkpoint the task, so that stopping it loses no progress. */
    bool checkpointable = false;
    /** Jobs with the same template share run-time and usage estimates. */
    std::string jobTemplate;
    SteadyTime startedAt;
    /** The corrected run-time estimate; empty for services and unknown templates. */
    std::optional<std::chrono::milliseconds> estimatedRunTime;
};

/** Returns when the task ends according to its estimate, or nothing without an estimate. */
inline std::optional<SteadyTime> expectedEnd(const RunningTask &task)
{
    return task.estimatedRunTime ? std::optional(task.startedAt + *task.estimatedRunTime)
                                 : std::nullopt;
}

} // namespace gooseberry
