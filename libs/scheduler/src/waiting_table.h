#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <policy/policy.h>

namespace gooseberry {

/**
 * What makes two jobs of one team equal for placement: when one finds no place, neither does the
 * other, so both are blocked together and cost nothing until something changes.
 */
struct Shape
{
    Resources amount;
    /** The number of tasks that must start at once; 1 for anything but a gang. */
    std::uint32_t concurrentTasks = 1;
    /** The job itself for a gang, since a reservation makes room for one gang only. */
    JobId gang;
    bool spread = false;
    std::string service;
    /** Run-time estimates belong to templates, and they decide what may run beside a reservation.
     */
    std::string jobTemplate;

    bool operator<(const Shape &other) const;
};

Shape shapeOf(const JobSpec &spec);

/** Tasks of one job that were taken out of the table to be placed. */
struct TakenWork
{
    WaitingJob waiting;
    std::shared_ptr<const JobSpec> spec;
    std::vector<std::pair<std::uint32_t, Attempt>> tasks;
};

/** What blocked shapes are compared with at the start of a round. */
struct BlockContext
{
    /** Grows whenever a shape that fitted nowhere could fit somewhere. */
    std::uint64_t capacityVersion = 0;
    Resources allocated;
    Limit limit;
};

/**
 * The waiting tasks, in shards by team that each have their own lock. Jobs of one shape share a
 * bucket, ordered by age. An index by job finds the team; a thread that needs both locks takes the
 * index's lock first.
 */
class WaitingTable
{
public:
    void add(const WaitingJob &job, const std::shared_ptr<const JobSpec> &spec, std::uint32_t index,
             Attempt nextAttempt);
    void remove(const JobId &job);
    void clear();
    std::uint32_t pendingTasks(const QueueId &queue) const;
    std::uint32_t pendingTasks() const;
    /** Returns teams that have jobs waiting, ordered by id. */
    std::vector<TeamId> teams() const;
    bool contains(const JobId &job) const;
    /** Returns urgent tasks that found no room, oldest first within each team, at most so many. */
    std::vector<UrgentRequest> urgentWithoutCapacity(std::size_t maxCount) const;
    std::optional<Reason> whyWaiting(const JobId &job) const;

    /** Offers again what was blocked and may now succeed, and jobs whose delay is over. */
    void beginRound(const TeamId &team, const BlockContext &context, SteadyTime now);
    /** Returns when the oldest job was submitted that the team can offer in the step. */
    std::optional<CellTime> oldestSubmission(const TeamId &team, PriorityTier tier) const;
    /**
     * Returns one more task (or gang) of the team's oldest job. Shapes that are known to find no
     * room in this round are blocked on the way, except for the one exempt job.
     */
    std::optional<TakenWork> take(const TeamId &team, PriorityTier tier,
                                  const std::map<Shape, Reason> &failures, const JobId &exempt,
                                  const BlockContext &context);
    /** Puts tasks back that found no place and blocks their shape until the next round. */
    void requeue(const TakenWork &work, Reason reason, const BlockContext &context);
    /** Forgets tasks that found a place. */
    void removePlaced(const TakenWork &work);
    /** Keeps the job from being offered until the time; nothing means until it is removed. */
    void delay(const JobId &job, std::optional<SteadyTime> until, Reason reason);

private:
    using AgeKey = std::pair<CellTime, JobId>;
    struct Bucket
    {
        PriorityTier tier = PriorityTier::Batch;
        std::set<AgeKey> jobs;
        /** Set while the shape is not offered. */
        std::optional<Reason> blocked;
        BlockContext blockedAt;
    };
    using BucketKey = std::pair<PriorityTier, Shape>;
    struct Entry
    {
        WaitingJob waiting;
        std::shared_ptr<const JobSpec> spec;
        std::map<std::uint32_t, Attempt> tasks;
        std::uint32_t taken = 0;
        std::optional<Reason> delayed;
        std::optional<SteadyTime> delayedUntil;
    };
    struct TeamQueue
    {
        std::map<JobId, Entry> jobs;
        std::map<BucketKey, Bucket> buckets;
        /** The oldest job of each bucket that is offered. */
        std::array<std::map<AgeKey, BucketKey>, priorityTierCount> heads;
        std::set<BucketKey> blocked;
        std::set<std::pair<SteadyTime, JobId>> delays;
    };
    struct TeamShard
    {
        mutable std::mutex mutex;
        std::map<TeamId, TeamQueue> teams;
        std::map<QueueId, std::uint32_t> pending;
    };
    struct JobShard
    {
        mutable std::mutex mutex;
        std::map<JobId, TeamId> teams;
    };
    static constexpr std::size_t shardCount = 16;

    TeamShard &teamShard(const TeamId &team);
    const TeamShard &teamShard(const TeamId &team) const;
    JobShard &jobShard(const JobId &job);
    const JobShard &jobShard(const JobId &job) const;
    std::optional<TeamId> teamOf(const JobId &job) const;

    static BucketKey bucketKey(const Entry &entry);
    static bool isOffered(const Entry &entry);
    /** Puts the job into its bucket or takes it out, whichever its state asks for. */
    static void refresh(TeamQueue &queue, const Entry &entry);
    static void block(TeamQueue &queue, const BucketKey &key, Reason reason,
                      const BlockContext &context);
    /** Blocks the oldest shapes of the step for as long as they are known to fail. */
    static void blockFailedShapes(TeamQueue &queue, PriorityTier tier,
                                  const std::map<Shape, Reason> &failures, const JobId &exempt,
                                  const BlockContext &context);
    static void dropHead(TeamQueue &queue, const Bucket &bucket);
    static void addHead(TeamQueue &queue, const BucketKey &key, const Bucket &bucket);
    static void countPending(TeamShard &shard, const Entry &entry, std::int64_t change);

    std::array<TeamShard, shardCount> teamShards;
    std::array<JobShard, shardCount> jobShards;
};

} // namespace gooseberry
