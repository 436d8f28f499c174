#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <variant>

#include <quorum/replica.h>

#include "apply_loop.h"
#include "replica_state.h"
#include "replica_storage.h"

namespace gooseberry {

// Events that other threads post to the protocol thread.

struct ReceivedMessage
{
    InstanceId from;
    QuorumMessage message;
};
struct Proposal
{
    std::string payload;
    std::function<void(const Error &)> failed;
};
struct MembershipChange
{
    std::function<Result<Membership>(const ReplicaState &)> change;
    std::function<void(const Status &)> done;
};
struct TransferRequest
{
    std::function<void(const Status &)> done;
};
struct SnapshotTaken
{
    SnapshotInfo info;
};
struct ApplyFailed
{
    Error error;
};
using ReplicaEvent = std::variant<ReceivedMessage, Proposal, MembershipChange, TransferRequest,
                                  SnapshotTaken, ApplyFailed>;

/** An appended entry whose outcome is not yet known. */
struct PendingEntry
{
    Term term;
    std::function<void(const Status &)> completed;
};

/**
 * Runs the protocol thread of a replica. It processes all queued events as one batch, stores the
 * results with one append and one sync, and then sends the messages.
 */
struct Replica::Impl
{
    Impl(ReplicaSettings initialSettings, StateMachine &initialMachine,
         ReplicaTransport &initialTransport, const Clock &initialClock);

    Status start();
    void stop();
    void post(ReplicaEvent event);
    bool holdsLease() const;
    ReplicaStatus status() const;

    const ReplicaSettings settings;
    StateMachine &machine;
    ReplicaTransport &transport;
    const Clock &clock;

private:
    Status checkSettings() const;
    Status recover();
    void run();
    /** Waits for events or the next deadline. Returns false when the replica is stopping. */
    bool takeEvents(std::vector<ReplicaEvent> &events);
    void processBatch(std::vector<ReplicaEvent> &events);

    void processEvent(ReceivedMessage &event);
    void processEvent(Proposal &event);
    void processEvent(MembershipChange &event);
    void processEvent(TransferRequest &event);
    void processEvent(SnapshotTaken &event);
    void processEvent(ApplyFailed &event);

    Status persist(const ReplicaState &before);
    void rollBackBatch(ReplicaState &&before, const Error &error);
    /** Truncates the log after a snapshot. Must not run in a batch that may be rolled back. */
    void compact();
    void completePending();
    void completeTransfer();
    void publish();
    void sendMessages();
    // Add the stored bytes to a message. Return false if the message must not be sent.
    bool fillEntries(OutgoingMessage &outgoing, Append &message);
    bool fillChunk(InstallSnapshot &message);
    void updateApplyLoop();
    void reject(ReplicaEvent &event, const Error &error);
    Error unavailable(const std::string &message, Outcome outcome) const;

    // Owned by the protocol thread.
    ReplicaState state;
    ReplicaStorage storage;
    ApplyLoop applyLoop;
    Effects effects;
    SteadyTime now;
    std::vector<std::pair<LogIndex, PendingEntry>> batchPending;
    std::map<LogIndex, PendingEntry> pending;
    std::function<void(const Status &)> transferDone;
    SteadyTime transferDeadline;
    SteadyTime storageRetryAt = SteadyTime::min();
    bool storageFull = false;
    std::optional<Error> failure;
    std::optional<SnapshotInfo> takenSnapshot;

    mutable std::mutex inboxMutex; ///< Guards inbox and running.
    std::condition_variable inboxChanged;
    std::deque<ReplicaEvent> inbox;
    bool running = false;

    std::atomic<SteadyTime::rep> publishedLeaseEnd{0};
    std::atomic<std::uint64_t> publishedLeaseTerm{0};
    mutable std::mutex statusMutex; ///< Guards published.
    ReplicaStatus published;
    std::thread thread;
};

} // namespace gooseberry
