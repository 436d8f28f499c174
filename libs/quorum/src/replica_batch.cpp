#include <algorithm>

#include "leader_lease.h"
#include "leadership_transfer.h"
#include "membership.h"
#include "protocol.h"
#include "replica_impl.h"
#include "replication.h"
#include "snapshot_transfer.h"

namespace gooseberry {

namespace {

/** Maximum payload bytes in one Append message, so that heartbeats are not delayed for long. */
constexpr std::size_t maxAppendBytes = std::size_t{512} * 1024;
/** Maximum number of uncommitted entries; more are rejected to bound memory use. */
constexpr std::size_t maxPending = 65536;

} // namespace

void Replica::Impl::run()
{
    std::vector<ReplicaEvent> events;
    while (this->takeEvents(events)) {
        this->processBatch(events);
        events.clear();
    }
    this->publishedLeaseEnd = 0;
    for (ReplicaEvent &event : events) {
        this->reject(event, this->unavailable("the replica is stopping", Outcome::NotRun));
    }
    for (auto &[index, entry] : this->pending) {
        entry.completed(this->unavailable("the replica is stopping", Outcome::Unknown));
    }
    this->pending.clear();
    if (this->transferDone) {
        this->transferDone(this->unavailable("the replica is stopping", Outcome::Unknown));
    }
}

bool Replica::Impl::takeEvents(std::vector<ReplicaEvent> &events)
{
    std::unique_lock lock(this->inboxMutex);
    const auto ready = [this] { return !this->running || !this->inbox.empty(); };
    if (this->failure) {
        this->inboxChanged.wait(lock, ready);
    } else {
        // While the disk is full, waits at least until the next retry; an overdue deadline would
        // otherwise make the thread spin.
        const SteadyTime wake = std::max(nextTick(this->state), this->storageRetryAt);
        this->inboxChanged.wait_for(lock, wake - this->clock.steadyNow(), ready);
    }
    std::size_t proposals = 0;
    while (!this->inbox.empty()) {
        const bool proposal = std::holds_alternative<Proposal>(this->inbox.front());
        if (proposal && this->running && ++proposals > this->settings.maxBatch) {
            break;
        }
        events.push_back(std::move(this->inbox.front()));
        this->inbox.pop_front();
    }
    return this->running;
}

void Replica::Impl::processBatch(std::vector<ReplicaEvent> &events)
{
    if (this->failure) {
        Error rejection = *this->failure;
        rejection.outcome = Outcome::NotRun;
        for (ReplicaEvent &event : events) {
            this->reject(event, rejection);
        }
        return;
    }
    // Read after the events were taken, so that the time of contact is not before a message
    // arrived.
    this->now = this->clock.steadyNow();
    this->effects = {};
    // A snapshot that is being received may be large, so it is not copied for the roll back. If the
    // batch is rolled back, the sender starts over.
    IncomingSnapshot incoming = std::move(this->state.incoming);
    this->state.incoming = {};
    ReplicaState before = this->state;
    this->state.incoming = std::move(incoming);
    for (ReplicaEvent &event : events) {
        std::visit([this](auto &content) { this->processEvent(content); }, event);
    }
    tick(this->state, this->now, this->effects);
    finishBatch(this->state, this->now, this->effects);
    if (const Status stored = this->persist(before); !ok(stored)) {
        this->rollBackBatch(std::move(before), errorOf(stored));
        return;
    }
    for (auto &[index, entry] : this->batchPending) {
        this->pending.insert_or_assign(index, std::move(entry));
    }
    this->batchPending.clear();
    entriesStored(this->state);
    this->compact();
    this->publish();
    this->updateApplyLoop();
    this->sendMessages();
    this->completePending();
    this->completeTransfer();
}

void Replica::Impl::processEvent(ReceivedMessage &event)
{
    gooseberry::receive(this->state, this->now, event.from, event.message, this->effects);
}

void Replica::Impl::processEvent(Proposal &event)
{
    Error error = this->unavailable("this replica does not lead", Outcome::NotRun);
    error.code = ErrorCode::NotLeader;
    const bool leads = this->state.role == Role::Leader;
    if (leads && this->state.leadership.transfer) {
        error = this->unavailable("a leadership transfer is in progress", Outcome::NotRun);
    } else if (leads && this->storageFull && this->now < this->storageRetryAt) {
        error = this->unavailable("the disk is full", Outcome::NotRun);
        error.code = ErrorCode::StorageFull;
    } else if (leads && this->pending.size() + this->batchPending.size() >= maxPending) {
        error = this->unavailable("too many uncommitted entries", Outcome::NotRun);
        error.code = ErrorCode::Overloaded;
    } else if (leads) {
        const LogIndex index = appendOnLeader(this->state,
                                              LogEntry{.index = {},
                                                       .term = {},
                                                       .kind = EntryKind::Command,
                                                       .payload = std::move(event.payload),
                                                       .membership = {}},
                                              this->effects);
        auto completed = [failed = std::move(event.failed)](const Status &status) {
            if (!ok(status)) {
                failed(errorOf(status));
            }
        };
        this->batchPending.emplace_back(
            index, PendingEntry{.term = this->state.term, .completed = std::move(completed)});
        return;
    }
    event.failed(error);
}

void Replica::Impl::processEvent(MembershipChange &event)
{
    if (const Status status = checkMembershipChange(this->state); !ok(status)) {
        event.done(status);
        return;
    }
    auto changed = event.change(this->state);
    if (!ok(changed)) {
        event.done(errorOf(changed));
        return;
    }
    const LogIndex index = appendOnLeader(this->state,
                                          LogEntry{.index = {},
                                                   .term = {},
                                                   .kind = EntryKind::Membership,
                                                   .payload = {},
                                                   .membership = std::move(valueOf(changed))},
                                          this->effects);
    this->batchPending.emplace_back(
        index, PendingEntry{.term = this->state.term, .completed = std::move(event.done)});
}

void Replica::Impl::processEvent(TransferRequest &event)
{
    const Status status = this->transferDone
        ? Status(this->unavailable("a leadership transfer is already in progress", Outcome::NotRun))
        : beginLeadershipTransfer(this->state, this->now);
    if (!ok(status)) {
        event.done(status);
        return;
    }
    this->transferDone = std::move(event.done);
    this->transferDeadline = this->now + 2 * this->settings.maxElectionTimeout;
}

void Replica::Impl::processEvent(SnapshotTaken &event)
{
    this->takenSnapshot = std::move(event.info);
}

void Replica::Impl::compact()
{
    if (!this->takenSnapshot) {
        return;
    }
    const SnapshotInfo taken = std::move(*this->takenSnapshot);
    this->takenSnapshot.reset();
    if (taken.lastIndex <= this->state.snapshot.lastIndex) {
        return;
    }
    this->state.snapshot = taken;
    const LogIndex target = compactionIndex(this->state, this->now);
    compactLog(this->state.log, target);
    if (const Status status = this->storage.truncatePrefix(target); !ok(status)) {
        this->failure = errorOf(status);
    }
}

void Replica::Impl::processEvent(ApplyFailed &event)
{
    this->failure = event.error;
}

Status Replica::Impl::persist(const ReplicaState &before)
{
    if (this->failure) {
        return *this->failure;
    }
    Status status = Done{};
    if (this->state.term != before.term || this->state.votedFor != before.votedFor) {
        status = this->storage.saveVote(StoredVote{.term = this->state.term,
                                                   .votedFor = this->state.votedFor,
                                                   .disk = this->state.settings.disk});
    }
    if (ok(status) && this->effects.install) {
        auto content
            = decodeSnapshot(this->effects.install->lastIndex, this->effects.install->bytes);
        if (!ok(content)) {
            return errorOf(content);
        }
        // Before the log is replaced, since the apply thread may then fail to read its next entry
        // and must find the snapshot pending.
        this->applyLoop.restore(valueOf(content).info, std::move(valueOf(content).state));
        status = this->storage.install(*this->effects.install);
    }
    if (ok(status) && !this->effects.entries.empty()) {
        status = this->storage.append(this->effects.entries);
        this->storageFull = this->storageFull && !ok(status);
        if (!ok(status) && this->effects.install) {
            // The previous log was replaced, so the batch can't be rolled back.
            Error final = errorOf(status);
            final.code = ErrorCode::Internal;
            return final;
        }
    }
    return status;
}

void Replica::Impl::rollBackBatch(ReplicaState &&before, const Error &error)
{
    if (error.code == ErrorCode::StorageFull) {
        this->state = std::move(before);
        this->storageFull = true;
        this->storageRetryAt = this->now + this->settings.heartbeatInterval;
    } else {
        this->failure = error;
        this->state.role = Role::Follower;
        for (auto &[index, entry] : this->pending) {
            Error lost = error;
            lost.outcome = Outcome::Unknown;
            entry.completed(lost);
        }
        this->pending.clear();
    }
    this->publish();
    this->updateApplyLoop();
    Error rejection = error;
    // After a failed sync, recovery may still find the entries.
    rejection.outcome = error.code == ErrorCode::StorageFull ? Outcome::NotRun : Outcome::Unknown;
    for (auto &[index, entry] : this->batchPending) {
        entry.completed(rejection);
    }
    this->batchPending.clear();
    this->completeTransfer();
}

void Replica::Impl::completePending()
{
    const bool leads = this->state.role == Role::Leader;
    while (!this->pending.empty()) {
        auto first = this->pending.begin();
        const LogIndex index = first->first;
        PendingEntry entry = std::move(first->second);
        if (index <= this->state.commit && termAt(this->state.log, index) == entry.term) {
            this->pending.erase(first);
            entry.completed(Done{});
        } else if (!leads || entry.term != this->state.term) {
            this->pending.erase(first);
            entry.completed(this->unavailable("leadership was lost before the entry was committed",
                                              Outcome::Unknown));
        } else {
            first->second = std::move(entry);
            return;
        }
    }
}

void Replica::Impl::completeTransfer()
{
    if (!this->transferDone) {
        return;
    }
    const bool leads = this->state.role == Role::Leader;
    const bool otherLeads
        = !leads && this->state.leader && *this->state.leader != this->settings.self;
    const bool given = leads && this->state.leadership.transfer.has_value();
    if (!otherLeads && !this->failure
        && (given || (!leads && this->now < this->transferDeadline))) {
        return;
    }
    const auto done = std::move(this->transferDone);
    this->transferDone = nullptr;
    if (otherLeads) {
        done(Done{});
    } else {
        done(this->unavailable("no other replica became leader in time", Outcome::NotRun));
    }
}

void Replica::Impl::updateApplyLoop()
{
    const bool leads = this->state.role == Role::Leader;
    const auto leaderTerm = leads
        ? std::optional(
            LeaderTerm{.term = this->state.term, .noOpIndex = this->state.leadership.noOpIndex})
        : std::nullopt;
    this->applyLoop.update(this->state.commit, leaderTerm);
}

void Replica::Impl::sendMessages()
{
    bool sendsSnapshot = false;
    for (OutgoingMessage &outgoing : this->effects.messages) {
        bool complete = true;
        if (auto *const append = std::get_if<Append>(&outgoing.message)) {
            complete = this->fillEntries(outgoing, *append);
        } else if (auto *const part = std::get_if<InstallSnapshot>(&outgoing.message)) {
            complete = this->fillChunk(*part);
            sendsSnapshot = true;
        }
        if (complete) {
            this->transport.send(outgoing.to, std::move(outgoing.message));
        }
    }
    const auto &peers = this->state.leadership.peers;
    if (!sendsSnapshot && std::none_of(peers.begin(), peers.end(), [](const auto &peer) {
            return peer.second.snapshotIndex != LogIndex(0);
        })) {
        this->storage.releaseSnapshotBytes();
    }
}

bool Replica::Impl::fillEntries(OutgoingMessage &outgoing, Append &message)
{
    std::size_t bytes = 0;
    for (LogIndex index(message.prevIndex.value + 1); index <= outgoing.lastEntry;
         index = LogIndex(index.value + 1)) {
        if (bytes >= maxAppendBytes) {
            setLastSentIndex(this->state, outgoing.to, LogIndex(index.value - 1));
            return true;
        }
        auto entry = this->storage.read(index);
        if (!ok(entry)) {
            return false;
        }
        bytes += valueOf(entry).payload.size();
        message.entries.push_back(std::move(valueOf(entry)));
    }
    return true;
}

bool Replica::Impl::fillChunk(InstallSnapshot &message)
{
    const auto bytes = this->storage.snapshotBytes(message.lastIndex);
    if (!bytes || message.offset > bytes->size()) {
        return false;
    }
    message.chunk = bytes->substr(message.offset, maxSnapshotChunk);
    message.last = message.offset + message.chunk.size() == bytes->size();
    return true;
}

} // namespace gooseberry
