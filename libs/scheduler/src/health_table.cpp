#include "health_table.h"

namespace gooseberry {

HealthTable::HealthTable(const QuarantineSettings &initialSettings)
    : settings(initialSettings)
{
}

FaultDecision HealthTable::failed(const TaskId &task, const InstanceId &instance, SteadyTime now)
{
    FaultDecision decision;
    std::vector<JobId> otherJobs;
    {
        JobShard &jobs = this->jobShard(task.job);
        const std::lock_guard jobLock(jobs.mutex);
        JobRecord &job = jobs.jobs[task.job];
        job.failedTasks.insert(task.index);
        InstanceShard &shard = this->instanceShard(instance);
        const std::lock_guard lock(shard.mutex);
        InstanceHealth &health = shard.instances[instance];
        decision = recordFailure(health, job.health, task.job, instance, now, this->settings);
        if (decision.jobBackOffUntil || decision.jobParked) {
            job.delay = JobDelay{.until = decision.jobBackOffUntil, .reason = decision.reason};
        }
        if (decision.quarantineUntil) {
            for (const auto &[id, time] : health.failures) {
                otherJobs.push_back(id);
            }
            // Only failures after the quarantine may lead to the next one.
            health.failures.clear();
        }
    }
    for (const JobId &id : otherJobs) {
        JobShard &jobs = this->jobShard(id);
        const std::lock_guard jobLock(jobs.mutex);
        if (const auto found = jobs.jobs.find(id); found != jobs.jobs.end()) {
            removeInstanceFailures(found->second.health, instance);
        }
    }
    return decision;
}

void HealthTable::succeeded(const TaskId &task, const InstanceId &instance)
{
    JobShard &jobs = this->jobShard(task.job);
    const std::lock_guard jobLock(jobs.mutex);
    const auto job = jobs.jobs.find(task.job);
    InstanceShard &shard = this->instanceShard(instance);
    const std::lock_guard lock(shard.mutex);
    shard.instances.erase(instance);
    if (job != jobs.jobs.end()) {
        job->second.health = JobHealth{};
        job->second.delay.reset();
        job->second.failedTasks.erase(task.index);
        if (job->second.failedTasks.empty()) {
            jobs.jobs.erase(job);
        }
    }
}

void HealthTable::forgetJob(const JobId &job)
{
    JobShard &shard = this->jobShard(job);
    const std::lock_guard lock(shard.mutex);
    shard.jobs.erase(job);
}

void HealthTable::clear()
{
    for (JobShard &shard : this->jobShards) {
        const std::lock_guard lock(shard.mutex);
        shard.jobs.clear();
    }
    for (InstanceShard &shard : this->instanceShards) {
        const std::lock_guard lock(shard.mutex);
        shard.instances.clear();
    }
}

bool HealthTable::consumeFailure(const TaskId &task)
{
    JobShard &shard = this->jobShard(task.job);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.jobs.find(task.job);
    return found != shard.jobs.end() && found->second.failedTasks.erase(task.index) > 0;
}

std::optional<JobDelay> HealthTable::delayOf(const JobId &job) const
{
    const JobShard &shard = this->jobShard(job);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.jobs.find(job);
    return found == shard.jobs.end() ? std::nullopt : found->second.delay;
}

std::set<InstanceId> HealthTable::quarantined(SteadyTime now) const
{
    std::set<InstanceId> all;
    for (const InstanceShard &shard : this->instanceShards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, health] : shard.instances) {
            if (isQuarantined(health, now)) {
                all.insert(id);
            }
        }
    }
    return all;
}

HealthTable::JobShard &HealthTable::jobShard(const JobId &job)
{
    return this->jobShards.at(job.value % shardCount);
}

const HealthTable::JobShard &HealthTable::jobShard(const JobId &job) const
{
    return this->jobShards.at(job.value % shardCount);
}

HealthTable::InstanceShard &HealthTable::instanceShard(const InstanceId &instance)
{
    return this->instanceShards.at(std::hash<InstanceId>{}(instance) % shardCount);
}

} // namespace gooseberry
