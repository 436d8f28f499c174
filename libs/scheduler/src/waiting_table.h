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
 * The properties of a job that determine whether it can be placed. When one job of a team can't be
 * placed, no other job of the same shape can, so that all of them are blocked together and cost
 * nothing until something changes.
 */
struct Shape
{
    Resources amount;
    /** The number of tasks that must start together; 1 for anything but a gang. */
    std::uint32_t concurrentTasks = 1;
    /** The job's id for a gang, since a reservation applies to one gang only. */
    JobId gang;
    bool spread = false;
    std::string service;
    /** Part of the shape, since its run-time estimate decides whether the job may be backfilled. */
    std::string jobTemplate;

    bool operator<(const Shape &other) const;
};

Shape shapeOf(const JobSpec &spec);

/** Tasks of one job that were removed from the table to be placed. */
struct TakenWork
{
    WaitingJob waiting;
    std::shared_ptr<const JobSpec> spec;
    std::vector<std::pair<std::uint32_t, Attempt>> tasks;
};

/** State that decides whether a blocked shape is unblocked at the start of a round. */
struct BlockContext
{
    /** Incremented whenever a shape that fitted on no instance might fit now. */
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
    /** Returns the teams that have waiting jobs, ordered by id. */
    std::vector<TeamId> teams() const;
    bool contains(const JobId &job) const;
    /** Returns up to maxCount urgent tasks that did not fit, oldest first within each shape. */
    std::vector<UrgentRequest> urgentWithoutCapacity(std::size_t maxCount) const;
    std::optional<Reason> whyWaiting(const JobId &job) const;

    /** Unblocks shapes that may fit now and jobs whose delay is over. */
    void beginRound(const TeamId &team, const BlockContext &context, SteadyTime now);
    /** Returns the submission time of the team's oldest schedulable job in the tier. */
    std::optional<CellTime> oldestSubmission(const TeamId &team, PriorityTier tier) const;
    /**
     * Removes and returns the next task, or the whole gang, of the team's oldest job. Blocks the
     * shapes before it that already failed in this round, except for the exempt job.
     */
    std::optional<TakenWork> take(const TeamId &team, PriorityTier tier,
                                  const std::map<Shape, Reason> &failures, const JobId &exempt,
                                  const BlockContext &context);
    /** Adds tasks again that could not be placed and blocks their shape until the next round. */
    void requeue(const TakenWork &work, Reason reason, const BlockContext &context);
    /** Completes the removal of tasks that were placed. */
    void removePlaced(const TakenWork &work);
    /** Makes the job unschedulable until the given time, or until it is removed without a time. */
    void delay(const JobId &job, std::optional<SteadyTime> until, Reason reason);

private:
    using AgeKey = std::pair<CellTime, JobId>;
    struct Bucket
    {
        PriorityTier tier = PriorityTier::Batch;
        std::set<AgeKey> jobs;
        /** Set while the shape is not schedulable. */
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
        /** The oldest job of each bucket that is not blocked, by tier. */
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
    /** Adds the job to its bucket or removes it, depending on whether it is schedulable. */
    static void refresh(TeamQueue &queue, const Entry &entry);
    static void block(TeamQueue &queue, const BucketKey &key, Reason reason,
                      const BlockContext &context);
    /** Blocks the oldest shapes of the tier up to the first one without a known failure. */
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
