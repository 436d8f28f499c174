#include "running_table.h"

#include <algorithm>

namespace gooseberry {

namespace {

Resources elementwiseMax(const Resources &left, const Resources &right)
{
    return Resources{.cpu = std::max(left.cpu, right.cpu),
                     .memory = std::max(left.memory, right.memory),
                     .accelerators = std::max(left.accelerators, right.accelerators),
                     .slots = std::max(left.slots, right.slots)};
}

} // namespace

RunningTable::RunningTable(CorrectionSettings initialSettings)
    : settings(initialSettings)
{
}

void RunningTable::started(const RunningTask &task)
{
    {
        InstanceShard &shard = this->instanceShard(task.instance);
        const std::lock_guard lock(shard.mutex);
        shard.instances[task.instance][task.attempt]
            = Running{.latest = TaskUsage{.task = task, .actual = {}}, .peak = {}};
    }
    JobShard &shard = this->jobShards.at(task.attempt.task.job.value % shardCount);
    const std::lock_guard lock(shard.mutex);
    shard.jobs[task.attempt.task.job][task.attempt] = task.instance;
}

std::optional<TaskUsage> RunningTable::ended(const AttemptId &attempt, const InstanceId &instance)
{
    {
        JobShard &shard = this->jobShards.at(attempt.task.job.value % shardCount);
        const std::lock_guard lock(shard.mutex);
        const auto job = shard.jobs.find(attempt.task.job);
        if (job != shard.jobs.end()) {
            job->second.erase(attempt);
            if (job->second.empty()) {
                shard.jobs.erase(job);
            }
        }
    }
    InstanceShard &shard = this->instanceShard(instance);
    const std::lock_guard lock(shard.mutex);
    const auto tasks = shard.instances.find(instance);
    if (tasks == shard.instances.end()) {
        return std::nullopt;
    }
    const auto found = tasks->second.find(attempt);
    if (found == tasks->second.end()) {
        return std::nullopt;
    }
    TaskUsage usage{.task = found->second.latest.task, .actual = found->second.peak};
    tasks->second.erase(found);
    if (tasks->second.empty()) {
        shard.instances.erase(tasks);
    }
    return usage;
}

void RunningTable::reported(const AttemptId &attempt, const InstanceId &instance,
                            const Resources &actual)
{
    InstanceShard &shard = this->instanceShard(instance);
    const std::lock_guard lock(shard.mutex);
    const auto tasks = shard.instances.find(instance);
    if (tasks == shard.instances.end()) {
        return;
    }
    const auto found = tasks->second.find(attempt);
    if (found != tasks->second.end()) {
        found->second.latest.actual = actual;
        found->second.peak = elementwiseMax(found->second.peak, actual);
    }
}

void RunningTable::clear()
{
    for (InstanceShard &shard : this->instanceShards) {
        const std::lock_guard lock(shard.mutex);
        shard.instances.clear();
    }
    for (JobShard &shard : this->jobShards) {
        const std::lock_guard lock(shard.mutex);
        shard.jobs.clear();
    }
}

std::vector<RunningTask> RunningTable::all() const
{
    std::vector<RunningTask> tasks;
    for (const InstanceShard &shard : this->instanceShards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[instance, attempts] : shard.instances) {
            for (const auto &[attempt, running] : attempts) {
                tasks.push_back(running.latest.task);
            }
        }
    }
    return tasks;
}

std::vector<TaskUsage> RunningTable::on(const InstanceId &instance) const
{
    std::vector<TaskUsage> tasks;
    const InstanceShard &shard = this->instanceShard(instance);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.instances.find(instance);
    if (found != shard.instances.end()) {
        for (const auto &[attempt, running] : found->second) {
            tasks.push_back(running.latest);
        }
    }
    return tasks;
}

std::vector<InstanceId> RunningTable::instancesOf(const JobId &job) const
{
    std::vector<InstanceId> instances;
    const JobShard &shard = this->jobShards.at(job.value % shardCount);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.jobs.find(job);
    if (found != shard.jobs.end()) {
        for (const auto &[attempt, instance] : found->second) {
            instances.push_back(instance);
        }
    }
    return instances;
}

void RunningTable::learn(const TeamId &team, const std::string &jobTemplate,
                         const RunSample &sample)
{
    // Jobs without a template are unrelated, so their samples say nothing about each other.
    if (jobTemplate.empty()) {
        return;
    }
    TemplateShard &shard = this->templateShards.at(templateShard(team, jobTemplate));
    const std::lock_guard lock(shard.mutex);
    Learned &learned = shard.learned[{team, jobTemplate}];
    addSample(learned.history, sample, this->settings);
    learned.estimate = estimateOf(learned.history, this->settings);
}

std::optional<TemplateEstimate> RunningTable::estimate(const TeamId &team,
                                                       const std::string &jobTemplate) const
{
    const TemplateShard &shard = this->templateShards.at(templateShard(team, jobTemplate));
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.learned.find({team, jobTemplate});
    return found == shard.learned.end() ? std::nullopt : found->second.estimate;
}

RunningTable::InstanceShard &RunningTable::instanceShard(const InstanceId &instance)
{
    return this->instanceShards.at(std::hash<InstanceId>{}(instance) % shardCount);
}

const RunningTable::InstanceShard &RunningTable::instanceShard(const InstanceId &instance) const
{
    return this->instanceShards.at(std::hash<InstanceId>{}(instance) % shardCount);
}

std::size_t RunningTable::templateShard(const TeamId &team, const std::string &jobTemplate)
{
    return (std::hash<TeamId>{}(team) ^ std::hash<std::string>{}(jobTemplate)) % shardCount;
}

} // namespace gooseberry
