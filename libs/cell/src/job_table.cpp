#include <cell/job_table.h>

#include <algorithm>

namespace gooseberry {

std::string toString(TaskState state)
{
    switch (state) {
    case TaskState::Pending:
        return "pending";
    case TaskState::Running:
        return "running";
    case TaskState::Succeeded:
        return "succeeded";
    case TaskState::Failed:
        return "failed";
    case TaskState::Cancelled:
        return "cancelled";
    case TaskState::Unknown:
        return "unknown";
    }
    return "invalid";
}

bool isEnded(TaskState state)
{
    return state != TaskState::Pending && state != TaskState::Running;
}

bool isCurrentAttempt(const TaskRecord &task, const Placement &placement)
{
    return task.state == TaskState::Running && task.attempt == placement.attempt.attempt
        && task.instance == placement.instance;
}

bool isCurrentAttempt(const JobRecord &job, const Placement &placement)
{
    const std::uint32_t index = placement.attempt.task.index;
    return index < job.tasks.size() && isCurrentAttempt(job.tasks[index], placement);
}

TaskState overallState(const JobRecord &job)
{
    TaskState worst = TaskState::Pending;
    bool running = false;
    for (const TaskRecord &task : job.tasks) {
        running = running || task.state == TaskState::Running || isEnded(task.state);
        worst = std::max(worst, task.state);
    }
    if (!job.ended()) {
        return running ? TaskState::Running : TaskState::Pending;
    }
    return worst;
}

void JobTable::insert(JobRecord record)
{
    Shard &shard = this->shardOf(record.id);
    const std::lock_guard lock(shard.mutex);
    const JobId id = record.id;
    shard.jobs.insert_or_assign(id, std::move(record));
}

std::optional<JobRecord> JobTable::find(const JobId &id) const
{
    const Shard &shard = this->shards.at(id.value % shardCount);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.jobs.find(id);
    return found == shard.jobs.end() ? std::nullopt : std::optional(found->second);
}

std::optional<TaskView> JobTable::findTask(const TaskId &id) const
{
    const Shard &shard = this->shards.at(id.job.value % shardCount);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.jobs.find(id.job);
    if (found == shard.jobs.end() || id.index >= found->second.tasks.size()) {
        return std::nullopt;
    }
    const JobRecord &job = found->second;
    return TaskView{.task = job.tasks[id.index],
                    .team = job.team,
                    .spec = job.spec,
                    .submittedAt = job.submittedAt,
                    .cancelRequested = job.cancelRequested};
}

std::vector<JobRecord> JobTable::all() const
{
    std::vector<JobRecord> jobs;
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, job] : shard.jobs) {
            jobs.push_back(job);
        }
    }
    return jobs;
}

bool JobTable::anyEndedBy(CellTime endedBefore) const
{
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, job] : shard.jobs) {
            if (job.ended() && job.endedAt <= endedBefore) {
                return true;
            }
        }
    }
    return false;
}

std::vector<JobRecord> JobTable::removeEnded(CellTime endedBefore)
{
    std::vector<JobRecord> removed;
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto it = shard.jobs.begin(); it != shard.jobs.end();) {
            if (it->second.ended() && it->second.endedAt <= endedBefore) {
                removed.push_back(std::move(it->second));
                it = shard.jobs.erase(it);
            } else {
                ++it;
            }
        }
    }
    return removed;
}

void JobTable::clear()
{
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        shard.jobs.clear();
    }
}

JobTable::Shard &JobTable::shardOf(const JobId &id)
{
    return this->shards.at(id.value % shardCount);
}

std::optional<JobId> RequestTable::insert(const TeamId &team, const RequestId &request,
                                          const JobId &job)
{
    Shard &shard = this->shardOf(request);
    const std::lock_guard lock(shard.mutex);
    const auto [entry, added] = shard.jobs.try_emplace(RequestKey(team, request), job);
    return added ? std::nullopt : std::optional(entry->second);
}

std::optional<JobId> RequestTable::find(const TeamId &team, const RequestId &request) const
{
    const Shard &shard = this->shardOf(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.jobs.find(RequestKey(team, request));
    return found == shard.jobs.end() ? std::nullopt : std::optional(found->second);
}

void RequestTable::remove(const TeamId &team, const RequestId &request)
{
    Shard &shard = this->shardOf(request);
    const std::lock_guard lock(shard.mutex);
    shard.jobs.erase(RequestKey(team, request));
}

void RequestTable::clear()
{
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        shard.jobs.clear();
    }
}

RequestTable::Shard &RequestTable::shardOf(const RequestId &request)
{
    return this->shards.at(std::hash<RequestId>{}(request) % shardCount);
}

const RequestTable::Shard &RequestTable::shardOf(const RequestId &request) const
{
    return this->shards.at(std::hash<RequestId>{}(request) % shardCount);
}

} // namespace gooseberry
