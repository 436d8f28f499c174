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
    Running, ///< A start is committed; the worker may not have it yet.
    Succeeded,
    Failed,
    Cancelled,
    Unknown, ///< Must not be repeated and may have run; never placed again.
};

std::string toString(TaskState state);

/** Returns whether the state is final. */
bool isEnded(TaskState state);

struct TaskRecord
{
    TaskState state = TaskState::Pending;
    /** The latest attempt; 0 before the first start. */
    Attempt attempt;
    /** How many attempts the worker reported as failed. */
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

/** One task together with what its job says of it. */
struct TaskView
{
    TaskRecord task;
    TeamId team;
    std::shared_ptr<const JobSpec> spec;
    CellTime submittedAt;
    bool cancelRequested = false;
};

/** Returns whether the attempt is the one that the task has running, and on this instance. */
bool isCurrentAttempt(const TaskRecord &task, const Placement &placement);
bool isCurrentAttempt(const JobRecord &job, const Placement &placement);

/** Returns the state of a whole job: the worst of its tasks' states once all have ended. */
TaskState summarise(const JobRecord &job);

/** All jobs in shards that each have their own lock. */
class JobTable
{
public:
    /** Calls use with the record under its shard's lock; returns false for an unknown job. */
    template<typename Use>
    bool withJob(const JobId &id, Use use)
    {
        Shard &shard = this->shardOf(id);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.jobs.find(id);
        if (found == shard.jobs.end()) {
            return false;
        }
        use(found->second);
        return true;
    }

    void insert(JobRecord record);
    /** Returns a copy of the job, with all its tasks. */
    std::optional<JobRecord> find(const JobId &id) const;
    /** Returns a copy of one task, which is cheap for jobs of any size. */
    std::optional<TaskView> findTask(const TaskId &id) const;
    /** Returns copies of all jobs; answers are shared, not copied. */
    std::vector<JobRecord> all() const;
    /** Returns whether some job ended at or before the time. */
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

/** Which job each request id led to, per team, in shards that each have their own lock. */
class RequestTable
{
public:
    /** Remembers the job for the request; returns the earlier job if there is one. */
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
