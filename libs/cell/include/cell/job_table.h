#pragma once

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>
#include <cell/command.h>
#include <contract/contract.h>

namespace gooseberry {

enum class TaskState {
    Pending,
    Running, ///< A start is committed; the worker may not have received it yet.
    Succeeded,
    Failed,
    Cancelled,
    Unknown, ///< May have run and is not repeatable, so it is never placed again.
};

std::string toString(TaskState state);

/** Returns whether the state is final. */
bool isEnded(TaskState state);

struct TaskRecord
{
    TaskState state = TaskState::Pending;
    /** The latest attempt; 0 before the first start. */
    Attempt attempt;
    /** The number of attempts that workers reported as failed. */
    std::uint32_t failures = 0;
    InstanceId instance;
    CellTime startedAt;
    CellTime endedAt;
    std::shared_ptr<const std::string> answer;
};

struct JobRecord
{
    JobId id;
    RequestId request;
    TeamId team;
    std::shared_ptr<const JobSpec> spec;
    std::vector<TaskRecord> tasks;
    CellTime submittedAt;
    CellTime endedAt;
    bool cancelRequested = false;
    std::uint32_t endedTasks = 0;

    bool ended() const
    {
        return this->endedTasks == this->tasks.size();
    }
};

/** One task together with the properties of its job that apply to it. */
struct TaskView
{
    TaskRecord task;
    TeamId team;
    std::shared_ptr<const JobSpec> spec;
    CellTime submittedAt;
    bool cancelRequested = false;
};

/** Returns whether the task is running as this attempt on this instance. */
bool isCurrentAttempt(const TaskRecord &task, const Placement &placement);
bool isCurrentAttempt(const JobRecord &job, const Placement &placement);

/**
 * Returns the state of a job: once all tasks have ended, the worst of their states, which is the
 * last one in the order of TaskState; before that, Running if any task runs or has ended.
 */
TaskState overallState(const JobRecord &job);

/** All jobs, in shards with a lock each. */
class JobTable
{
public:
    /** Calls visit with the record under its shard's lock; returns false for an unknown job. */
    template<typename Visit>
    bool withJob(const JobId &id, Visit visit)
    {
        Shard &shard = this->shardOf(id);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.jobs.find(id);
        if (found == shard.jobs.end()) {
            return false;
        }
        visit(found->second);
        return true;
    }

    void insert(JobRecord record);
    /** Returns a copy of the job, with all its tasks. */
    std::optional<JobRecord> find(const JobId &id) const;
    /** Returns a copy of one task; its cost does not depend on the size of the job. */
    std::optional<TaskView> findTask(const TaskId &id) const;
    /** Returns copies of all jobs; specs and answers are shared, not copied. */
    std::vector<JobRecord> all() const;
    /** Returns whether any job ended at or before the time. */
    bool anyEndedBy(CellTime endedBefore) const;
    /** Removes jobs that ended at or before the time and returns them. */
    std::vector<JobRecord> removeEnded(CellTime endedBefore);
    void clear();

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<JobId, JobRecord> jobs;
    };
    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const JobId &id);

    std::array<Shard, shardCount> shards;
};

/** Maps each team's request ids to the jobs they created, in shards with a lock each. */
class RequestTable
{
public:
    /** Stores the job of a request, or returns the job that the request already created. */
    std::optional<JobId> insert(const TeamId &team, const RequestId &request, const JobId &job);
    std::optional<JobId> find(const TeamId &team, const RequestId &request) const;
    void remove(const TeamId &team, const RequestId &request);
    void clear();

private:
    using RequestKey = std::pair<TeamId, RequestId>;
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<RequestKey, JobId> jobs;
    };
    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const RequestId &request);
    const Shard &shardOf(const RequestId &request) const;

    std::array<Shard, shardCount> shards;
};

} // namespace gooseberry
