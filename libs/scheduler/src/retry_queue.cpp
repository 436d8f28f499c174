#include "retry_queue.h"

#include <algorithm>

namespace gooseberry {

RetryQueue::RetryQueue(const RetrySettings &initialSettings)
    : settings(initialSettings)
{
}

void RetryQueue::add(RetryTask task)
{
    Shard &shard = this->shardOf(task.waiting.team);
    const std::lock_guard lock(shard.mutex);
    std::deque<RetryTask> &tasks = shard.teams[task.waiting.team].tasks;
    const auto same = std::find_if(tasks.begin(), tasks.end(), [&task](const RetryTask &other) {
        return other.waiting.id == task.waiting.id && other.index == task.index;
    });
    if (same == tasks.end()) {
        tasks.push_back(std::move(task));
    } else {
        *same = std::move(task);
    }
}

void RetryQueue::creditFirstAttempts(const TeamId &team, std::uint32_t tasks)
{
    Shard &shard = this->shardOf(team);
    const std::lock_guard lock(shard.mutex);
    RetryBudget &budget = shard.teams[team].budget;
    for (std::uint32_t task = 0; task < tasks; ++task) {
        creditFirstAttempt(budget, this->settings);
    }
}

std::vector<RetryTask> RetryQueue::takeAllowed(SteadyTime now)
{
    std::vector<RetryTask> allowed;
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto &[team, retries] : shard.teams) {
            while (!retries.tasks.empty() && takeRetry(retries.budget, now, this->settings)) {
                allowed.push_back(std::move(retries.tasks.front()));
                retries.tasks.pop_front();
            }
        }
    }
    return allowed;
}

void RetryQueue::removeJob(const JobId &job)
{
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto &[team, retries] : shard.teams) {
            std::erase_if(retries.tasks,
                          [&job](const RetryTask &task) { return task.waiting.id == job; });
        }
    }
}

void RetryQueue::clear()
{
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        shard.teams.clear();
    }
}

std::uint32_t RetryQueue::count(const QueueId &queue) const
{
    std::uint32_t count = 0;
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[team, retries] : shard.teams) {
            count += static_cast<std::uint32_t>(std::count_if(
                retries.tasks.begin(), retries.tasks.end(),
                [&queue](const RetryTask &task) { return task.spec->queue == queue; }));
        }
    }
    return count;
}

bool RetryQueue::contains(const JobId &job) const
{
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[team, retries] : shard.teams) {
            if (std::any_of(retries.tasks.begin(), retries.tasks.end(),
                            [&job](const RetryTask &task) { return task.waiting.id == job; })) {
                return true;
            }
        }
    }
    return false;
}

RetryQueue::Shard &RetryQueue::shardOf(const TeamId &team)
{
    return this->shards.at(std::hash<TeamId>{}(team) % shardCount);
}

} // namespace gooseberry
