#include "waiting_table.h"

#include <algorithm>

namespace gooseberry {

bool Shape::operator<(const Shape &other) const
{
    const auto key = [](const Shape &shape) {
        return std::tie(shape.amount.cpu, shape.amount.memory, shape.amount.accelerators,
                        shape.amount.slots, shape.concurrentTasks, shape.gang, shape.spread,
                        shape.service, shape.jobTemplate);
    };
    return key(*this) < key(other);
}

Shape shapeOf(const JobSpec &spec)
{
    return Shape{.amount = spec.perTask,
                 .concurrentTasks = spec.jobClass == JobClass::Gang ? spec.taskCount : 1,
                 .gang = {},
                 .spread = spec.jobClass == JobClass::Service,
                 .service = spec.service,
                 .jobTemplate = spec.jobTemplate};
}

void WaitingTable::add(const WaitingJob &job, const std::shared_ptr<const JobSpec> &spec,
                       std::uint32_t index, Attempt nextAttempt)
{
    JobShard &jobIndex = this->jobShard(job.id);
    const std::lock_guard indexLock(jobIndex.mutex);
    jobIndex.teams[job.id] = job.team;
    TeamShard &shard = this->teamShard(job.team);
    const std::lock_guard lock(shard.mutex);
    TeamQueue &queue = shard.teams[job.team];
    Entry &entry = queue.jobs[job.id];
    entry.waiting = job;
    entry.spec = spec;
    if (entry.tasks.insert_or_assign(index, nextAttempt).second) {
        countPending(shard, entry, 1);
    }
    refresh(queue, entry);
}

void WaitingTable::remove(const JobId &job)
{
    JobShard &jobIndex = this->jobShard(job);
    const std::lock_guard indexLock(jobIndex.mutex);
    const auto team = jobIndex.teams.find(job);
    if (team == jobIndex.teams.end()) {
        return;
    }
    TeamShard &shard = this->teamShard(team->second);
    const std::lock_guard lock(shard.mutex);
    TeamQueue &queue = shard.teams[team->second];
    jobIndex.teams.erase(team);
    const auto found = queue.jobs.find(job);
    if (found == queue.jobs.end()) {
        return;
    }
    Entry &entry = found->second;
    countPending(shard, entry, -static_cast<std::int64_t>(entry.tasks.size()));
    entry.tasks.clear();
    refresh(queue, entry);
    if (entry.delayedUntil) {
        queue.delays.erase({*entry.delayedUntil, job});
    }
    queue.jobs.erase(found);
}

void WaitingTable::clear()
{
    for (TeamShard &shard : this->teamShards) {
        const std::lock_guard lock(shard.mutex);
        shard.teams.clear();
        shard.pending.clear();
    }
    for (JobShard &shard : this->jobShards) {
        const std::lock_guard lock(shard.mutex);
        shard.teams.clear();
    }
}

std::uint32_t WaitingTable::pendingTasks(const QueueId &queue) const
{
    std::uint32_t count = 0;
    for (const TeamShard &shard : this->teamShards) {
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.pending.find(queue);
        count += found == shard.pending.end() ? 0 : found->second;
    }
    return count;
}

std::uint32_t WaitingTable::pendingTasks() const
{
    std::uint32_t count = 0;
    for (const TeamShard &shard : this->teamShards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[queue, tasks] : shard.pending) {
            count += tasks;
        }
    }
    return count;
}

std::vector<TeamId> WaitingTable::teams() const
{
    std::vector<TeamId> all;
    for (const TeamShard &shard : this->teamShards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[team, queue] : shard.teams) {
            if (!queue.jobs.empty()) {
                all.push_back(team);
            }
        }
    }
    std::sort(all.begin(), all.end());
    return all;
}

bool WaitingTable::contains(const JobId &job) const
{
    return this->teamOf(job).has_value();
}

std::vector<UrgentRequest> WaitingTable::urgentWithoutCapacity(std::size_t maxCount) const
{
    std::vector<UrgentRequest> requests;
    for (const TeamShard &shard : this->teamShards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[team, queue] : shard.teams) {
            for (const BucketKey &key : queue.blocked) {
                const Bucket &bucket = queue.buckets.at(key);
                if (key.first != PriorityTier::Urgent || bucket.blocked != Reason::NoCapacity) {
                    continue;
                }
                for (const auto &[submitted, job] : bucket.jobs) {
                    const Entry &entry = queue.jobs.at(job);
                    for (const auto &[index, attempt] : entry.tasks) {
                        if (requests.size() >= maxCount) {
                            return requests;
                        }
                        requests.push_back(UrgentRequest{.task = TaskId{.job = job, .index = index},
                                                         .team = team,
                                                         .amount = entry.spec->perTask,
                                                         .service = entry.spec->service,
                                                         .remainingLimit = {}});
                    }
                }
            }
        }
    }
    return requests;
}

std::optional<Reason> WaitingTable::whyWaiting(const JobId &job) const
{
    const auto team = this->teamOf(job);
    if (!team) {
        return std::nullopt;
    }
    const TeamShard &shard = this->teamShard(*team);
    const std::lock_guard lock(shard.mutex);
    const auto queue = shard.teams.find(*team);
    if (queue == shard.teams.end()) {
        return std::nullopt;
    }
    const auto found = queue->second.jobs.find(job);
    if (found == queue->second.jobs.end()) {
        return std::nullopt;
    }
    const Entry &entry = found->second;
    if (entry.delayed) {
        return entry.delayed;
    }
    if (!isOffered(entry)) {
        return Reason::GangIncomplete;
    }
    const auto bucket = queue->second.buckets.find(bucketKey(entry));
    return bucket == queue->second.buckets.end() ? std::nullopt : bucket->second.blocked;
}

void WaitingTable::beginRound(const TeamId &team, const BlockContext &context, SteadyTime now)
{
    TeamShard &shard = this->teamShard(team);
    const std::lock_guard lock(shard.mutex);
    TeamQueue &queue = shard.teams[team];
    while (!queue.delays.empty() && queue.delays.begin()->first <= now) {
        Entry &entry = queue.jobs.at(queue.delays.begin()->second);
        queue.delays.erase(queue.delays.begin());
        entry.delayed.reset();
        entry.delayedUntil.reset();
        refresh(queue, entry);
    }
    for (auto it = queue.blocked.begin(); it != queue.blocked.end();) {
        Bucket &bucket = queue.buckets.at(*it);
        const BlockContext &blockedAt = bucket.blockedAt;
        const bool impossible = bucket.blocked == Reason::ShapeImpossible
            || bucket.blocked == Reason::NoInstanceForService;
        const bool stillBlocked
            = (impossible && blockedAt.capacityVersion == context.capacityVersion)
            || (bucket.blocked == Reason::TeamAtLimit && blockedAt.limit == context.limit
                && !firstShortage(blockedAt.allocated, context.allocated));
        if (stillBlocked) {
            ++it;
            continue;
        }
        bucket.blocked.reset();
        addHead(queue, *it, bucket);
        it = queue.blocked.erase(it);
    }
}

std::optional<CellTime> WaitingTable::oldestSubmission(const TeamId &team, PriorityTier tier) const
{
    const TeamShard &shard = this->teamShard(team);
    const std::lock_guard lock(shard.mutex);
    const auto queue = shard.teams.find(team);
    if (queue == shard.teams.end()) {
        return std::nullopt;
    }
    const auto &heads = queue->second.heads.at(static_cast<std::size_t>(tier));
    return heads.empty() ? std::nullopt : std::optional(heads.begin()->first.first);
}

std::optional<TakenWork> WaitingTable::take(const TeamId &team, PriorityTier tier,
                                            const std::map<Shape, Reason> &failures,
                                            const JobId &exempt, const BlockContext &context)
{
    TeamShard &shard = this->teamShard(team);
    const std::lock_guard lock(shard.mutex);
    TeamQueue &queue = shard.teams[team];
    blockFailedShapes(queue, tier, failures, exempt, context);
    const auto &heads = queue.heads.at(static_cast<std::size_t>(tier));
    if (heads.empty()) {
        return std::nullopt;
    }
    Entry &entry = queue.jobs.at(heads.begin()->first.second);
    TakenWork work{.waiting = entry.waiting, .spec = entry.spec, .tasks = {}};
    const bool whole = entry.spec->jobClass == JobClass::Gang;
    while (!entry.tasks.empty() && (whole || work.tasks.empty())) {
        work.tasks.push_back(*entry.tasks.begin());
        entry.tasks.erase(entry.tasks.begin());
    }
    entry.taken += static_cast<std::uint32_t>(work.tasks.size());
    countPending(shard, entry, -static_cast<std::int64_t>(work.tasks.size()));
    refresh(queue, entry);
    return work;
}

void WaitingTable::requeue(const TakenWork &work, Reason reason, const BlockContext &context)
{
    TeamShard &shard = this->teamShard(work.waiting.team);
    const std::lock_guard lock(shard.mutex);
    TeamQueue &queue = shard.teams[work.waiting.team];
    const auto found = queue.jobs.find(work.waiting.id);
    if (found == queue.jobs.end()) {
        return;
    }
    Entry &entry = found->second;
    for (const auto &[index, attempt] : work.tasks) {
        if (entry.tasks.emplace(index, attempt).second) {
            countPending(shard, entry, 1);
        }
    }
    entry.taken -= std::min(entry.taken, static_cast<std::uint32_t>(work.tasks.size()));
    refresh(queue, entry);
    block(queue, bucketKey(entry), reason, context);
}

void WaitingTable::removePlaced(const TakenWork &work)
{
    JobShard &jobIndex = this->jobShard(work.waiting.id);
    const std::lock_guard indexLock(jobIndex.mutex);
    TeamShard &shard = this->teamShard(work.waiting.team);
    const std::lock_guard lock(shard.mutex);
    TeamQueue &queue = shard.teams[work.waiting.team];
    const auto found = queue.jobs.find(work.waiting.id);
    if (found == queue.jobs.end()) {
        return;
    }
    Entry &entry = found->second;
    entry.taken -= std::min(entry.taken, static_cast<std::uint32_t>(work.tasks.size()));
    if (entry.taken > 0 || !entry.tasks.empty()) {
        return;
    }
    if (entry.delayedUntil) {
        queue.delays.erase({*entry.delayedUntil, work.waiting.id});
    }
    queue.jobs.erase(found);
    jobIndex.teams.erase(work.waiting.id);
}

void WaitingTable::delay(const JobId &job, std::optional<SteadyTime> until, Reason reason)
{
    const auto team = this->teamOf(job);
    if (!team) {
        return;
    }
    TeamShard &shard = this->teamShard(*team);
    const std::lock_guard lock(shard.mutex);
    TeamQueue &queue = shard.teams[*team];
    const auto found = queue.jobs.find(job);
    if (found == queue.jobs.end()) {
        return;
    }
    Entry &entry = found->second;
    if (entry.delayedUntil) {
        queue.delays.erase({*entry.delayedUntil, job});
    }
    entry.delayed = reason;
    entry.delayedUntil = until;
    if (until) {
        queue.delays.emplace(*until, job);
    }
    refresh(queue, entry);
}

WaitingTable::TeamShard &WaitingTable::teamShard(const TeamId &team)
{
    return this->teamShards.at(std::hash<TeamId>{}(team) % shardCount);
}

const WaitingTable::TeamShard &WaitingTable::teamShard(const TeamId &team) const
{
    return this->teamShards.at(std::hash<TeamId>{}(team) % shardCount);
}

WaitingTable::JobShard &WaitingTable::jobShard(const JobId &job)
{
    return this->jobShards.at(job.value % shardCount);
}

const WaitingTable::JobShard &WaitingTable::jobShard(const JobId &job) const
{
    return this->jobShards.at(job.value % shardCount);
}

std::optional<TeamId> WaitingTable::teamOf(const JobId &job) const
{
    const JobShard &shard = this->jobShard(job);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.teams.find(job);
    return found == shard.teams.end() ? std::nullopt : std::optional(found->second);
}

WaitingTable::BucketKey WaitingTable::bucketKey(const Entry &entry)
{
    Shape shape = shapeOf(*entry.spec);
    if (entry.spec->jobClass == JobClass::Gang) {
        shape.gang = entry.waiting.id;
    }
    return {priorityTierOf(entry.spec->jobClass), std::move(shape)};
}

bool WaitingTable::isOffered(const Entry &entry)
{
    if (entry.tasks.empty() || entry.delayed) {
        return false;
    }
    if (entry.spec->jobClass != JobClass::Gang || entry.tasks.size() >= entry.spec->taskCount) {
        return true;
    }
    // Tasks are added one by one, so a gang that has never started waits until it is complete.
    // After that, single tasks that were lost are started again as later attempts.
    return std::any_of(entry.tasks.begin(), entry.tasks.end(),
                       [](const auto &task) { return task.second > Attempt(1); });
}

void WaitingTable::refresh(TeamQueue &queue, const Entry &entry)
{
    const BucketKey key = bucketKey(entry);
    const AgeKey age{entry.waiting.submittedAt, entry.waiting.id};
    const auto found = queue.buckets.find(key);
    const bool present = found != queue.buckets.end() && found->second.jobs.contains(age);
    if (present == isOffered(entry)) {
        return;
    }
    Bucket &bucket = queue.buckets[key];
    bucket.tier = key.first;
    dropHead(queue, bucket);
    if (present) {
        bucket.jobs.erase(age);
    } else {
        bucket.jobs.insert(age);
    }
    if (bucket.jobs.empty()) {
        queue.blocked.erase(key);
        queue.buckets.erase(key);
    } else {
        addHead(queue, key, bucket);
    }
}

void WaitingTable::block(TeamQueue &queue, const BucketKey &key, Reason reason,
                         const BlockContext &context)
{
    const auto bucket = queue.buckets.find(key);
    if (bucket != queue.buckets.end()) {
        dropHead(queue, bucket->second);
        bucket->second.blocked = reason;
        bucket->second.blockedAt = context;
        queue.blocked.insert(key);
    }
}

void WaitingTable::blockFailedShapes(TeamQueue &queue, PriorityTier tier,
                                     const std::map<Shape, Reason> &failures, const JobId &exempt,
                                     const BlockContext &context)
{
    const auto &heads = queue.heads.at(static_cast<std::size_t>(tier));
    while (!failures.empty() && !heads.empty() && heads.begin()->first.second != exempt) {
        const BucketKey key = heads.begin()->second;
        Shape shape = key.second;
        shape.gang = JobId{};
        const auto found = failures.find(shape);
        if (found == failures.end()) {
            return;
        }
        block(queue, key, found->second, context);
    }
}

void WaitingTable::dropHead(TeamQueue &queue, const Bucket &bucket)
{
    if (!bucket.jobs.empty()) {
        queue.heads.at(static_cast<std::size_t>(bucket.tier)).erase(*bucket.jobs.begin());
    }
}

void WaitingTable::addHead(TeamQueue &queue, const BucketKey &key, const Bucket &bucket)
{
    if (!bucket.blocked && !bucket.jobs.empty()) {
        queue.heads.at(static_cast<std::size_t>(bucket.tier)).emplace(*bucket.jobs.begin(), key);
    }
}

void WaitingTable::countPending(TeamShard &shard, const Entry &entry, std::int64_t change)
{
    std::uint32_t &count = shard.pending[entry.spec->queue];
    count = static_cast<std::uint32_t>(static_cast<std::int64_t>(count) + change);
}

} // namespace gooseberry
