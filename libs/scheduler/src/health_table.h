#pragma once

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include <base/base.h>
#include <policy/policy.h>

namespace gooseberry {

/** Why and until when a job's tasks are delayed; without a time until the job is removed. */
struct JobDelay
{
    std::optional<SteadyTime> until;
    Reason reason = Reason::JobBackOff;
};

/**
 * Failure records of jobs and instances, in shards that each have their own lock. A thread that
 * needs both locks takes the job's first.
 */
class HealthTable
{
public:
    explicit HealthTable(const QuarantineSettings &initialSettings);

    /** Records a failed attempt. Its consequences are visible in delayOf() and quarantined(). */
    FaultDecision failed(const TaskId &task, const InstanceId &instance, SteadyTime now);
    void succeeded(const TaskId &task, const InstanceId &instance);
    void forgetJob(const JobId &job);
    void clear();

    /** Returns whether the task's latest attempt failed, and clears that flag. */
    bool consumeFailure(const TaskId &task);
    std::optional<JobDelay> delayOf(const JobId &job) const;
    std::set<InstanceId> quarantined(SteadyTime now) const;

private:
    struct JobRecord
    {
        JobHealth health;
        std::optional<JobDelay> delay;
        std::set<std::uint32_t> failedTasks;
    };
    struct JobShard
    {
        mutable std::mutex mutex;
        std::map<JobId, JobRecord> jobs;
    };
    struct InstanceShard
    {
        mutable std::mutex mutex;
        std::map<InstanceId, InstanceHealth> instances;
    };
    static constexpr std::size_t shardCount = 16;

    JobShard &jobShard(const JobId &job);
    const JobShard &jobShard(const JobId &job) const;
    InstanceShard &instanceShard(const InstanceId &instance);

    QuarantineSettings settings;
    std::array<JobShard, shardCount> jobShards;
    std::array<InstanceShard, shardCount> instanceShards;
};

} // namespace gooseberry
