#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <policy/policy.h>

namespace gooseberry {

/** A failed task that waits for its team's retry budget. */
struct RetryTask
{
    WaitingJob waiting;
    std::shared_ptr<const JobSpec> spec;
    std::uint32_t index = 0;
    Attempt nextAttempt;
};

/** Failed tasks that wait for a retry, in shards by team that each have their own lock. */
class RetryQueue
{
public:
    explicit RetryQueue(const RetrySettings &initialSettings);

    void add(RetryTask task);
    void creditFirstAttempts(const TeamId &team, std::uint32_t tasks);
    /** Removes and returns the retries that the budgets allow, oldest first within each team. */
    std::vector<RetryTask> takeAllowed(SteadyTime now);
    void removeJob(const JobId &job);
    void clear();
    std::uint32_t count(const QueueId &queue) const;
    bool contains(const JobId &job) const;

private:
    struct TeamRetries
    {
        RetryBudget budget;
        std::deque<RetryTask> tasks;
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<TeamId, TeamRetries> teams;
    };
    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const TeamId &team);

    RetrySettings settings;
    std::array<Shard, shardCount> shards;
};

} // namespace gooseberry
