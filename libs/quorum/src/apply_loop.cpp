#include "apply_loop.h"

#include <algorithm>

namespace gooseberry {

namespace {

/** Added to the payload size of each entry, so that empty entries count as log growth too. */
constexpr std::int64_t entryOverhead = 32;

} // namespace

ApplyLoop::ApplyLoop(StateMachine &stateMachine, ReplicaStorage &replicaStorage, Bytes interval)
    : machine(stateMachine)
    , storage(replicaStorage)
    , snapshotInterval(interval)
{
}

void ApplyLoop::start(const SnapshotInfo &snapshot, Callbacks initialCallbacks)
{
    this->callbacks = std::move(initialCallbacks);
    this->lastApplied = snapshot;
    this->applied = snapshot.lastIndex.value;
    this->target = Target{.commit = snapshot.lastIndex, .leaderTerm = {}, .snapshot = {}};
    this->thread = std::thread([this] { this->run(); });
}

void ApplyLoop::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->target.stopping = true;
    }
    this->changed.notify_one();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void ApplyLoop::update(LogIndex commit, const std::optional<LeaderTerm> &leaderTerm)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->target.commit == commit && this->target.leaderTerm == leaderTerm) {
            return;
        }
        this->target.commit = commit;
        this->target.leaderTerm = leaderTerm;
    }
    this->changed.notify_one();
}

void ApplyLoop::restore(SnapshotInfo info, std::string state)
{
    const std::lock_guard lock(this->mutex);
    this->target.snapshot = SnapshotContent{.info = std::move(info), .state = std::move(state)};
    this->changed.notify_one();
}

LogIndex ApplyLoop::appliedIndex() const
{
    return LogIndex(this->applied);
}

Term ApplyLoop::announcedTerm() const
{
    return Term(this->announced);
}

bool ApplyLoop::waitForWork(Target &work)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] {
        const std::uint64_t leaderTermValue
            = this->target.leaderTerm ? this->target.leaderTerm->term.value : 0;
        return this->target.stopping || this->target.snapshot
            || this->target.commit.value > this->applied
            || (this->announced != leaderTermValue
                && (this->announced != 0
                    || this->target.leaderTerm->noOpIndex.value <= this->applied));
    });
    work.commit = this->target.commit;
    work.leaderTerm = this->target.leaderTerm;
    work.snapshot = std::move(this->target.snapshot);
    this->target.snapshot.reset();
    return !this->target.stopping;
}

void ApplyLoop::run()
{
    // Limits the entries applied between two checks of the target, so that a loss of leadership is
    // noticed promptly.
    constexpr std::uint64_t entriesPerRound = 64;
    Target work;
    bool healthy = true;
    while (healthy && this->waitForWork(work)) {
        this->updateLeadership(work.leaderTerm);
        if (work.snapshot) {
            healthy = this->restoreSnapshot(*work.snapshot);
        }
        healthy = healthy
            && this->applyUpTo(std::min(work.commit.value, this->applied + entriesPerRound),
                               work.leaderTerm);
        this->takeSnapshotWhenDue();
    }
    this->updateLeadership(std::nullopt);
}

void ApplyLoop::updateLeadership(const std::optional<LeaderTerm> &leaderTerm)
{
    if (this->announced != 0 && (!leaderTerm || leaderTerm->term.value != this->announced)) {
        this->announced = 0;
        this->machine.leadershipEnded();
    }
    if (leaderTerm && this->announced == 0 && this->applied >= leaderTerm->noOpIndex.value) {
        this->machine.leadershipBegan(leaderTerm->term);
        this->announced = leaderTerm->term.value;
    }
}

bool ApplyLoop::applyUpTo(std::uint64_t last, const std::optional<LeaderTerm> &leaderTerm)
{
    while (this->applied < last) {
        const auto entry = this->storage.read(LogIndex(this->applied + 1));
        if (!ok(entry)) {
            if (this->snapshotPending()) {
                return true;
            }
            this->callbacks.failed(errorOf(entry));
            return false;
        }
        this->applyEntry(valueOf(entry));
        this->updateLeadership(leaderTerm);
    }
    return true;
}

bool ApplyLoop::snapshotPending()
{
    const std::lock_guard lock(this->mutex);
    return this->target.snapshot.has_value();
}

void ApplyLoop::applyEntry(const LogEntry &entry)
{
    if (entry.kind == EntryKind::Command) {
        this->machine.apply(entry);
    } else if (entry.kind == EntryKind::Membership) {
        this->lastApplied.membership = entry.membership;
    }
    this->lastApplied.lastIndex = entry.index;
    this->lastApplied.lastTerm = entry.term;
    this->bytesSinceSnapshot.value
        += static_cast<std::int64_t>(entry.payload.size()) + entryOverhead;
    this->applied = entry.index.value;
}

bool ApplyLoop::restoreSnapshot(const SnapshotContent &content)
{
    if (content.info.lastIndex.value <= this->applied) {
        return true;
    }
    if (const Status status = this->machine.restore(content.state); !ok(status)) {
        this->callbacks.failed(errorOf(status));
        return false;
    }
    this->lastApplied = content.info;
    this->applied = content.info.lastIndex.value;
    this->bytesSinceSnapshot = Bytes(0);
    return true;
}

void ApplyLoop::takeSnapshotWhenDue()
{
    if (this->bytesSinceSnapshot < this->snapshotInterval) {
        return;
    }
    // If the snapshot can't be stored, the log is not truncated; the next attempt follows after
    // another interval.
    this->bytesSinceSnapshot = Bytes(0);
    if (ok(this->storage.saveSnapshot(this->lastApplied, this->machine.snapshot()))) {
        this->callbacks.snapshotTaken(this->lastApplied);
    }
}

} // namespace gooseberry
