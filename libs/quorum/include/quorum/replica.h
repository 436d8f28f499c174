#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>

#include <base/base.h>
#include <journal/journal.h>
#include <quorum/messages.h>

namespace gooseberry {

/**
 * Settings of a replica.
 *
 * To create a new cell, start all initial voters with the same initialMembership and with bootstrap
 * set. The voter with the lowest id creates the cell once all others have replied that they have no
 * log, so all of them must be running at the same time. bootstrap has no effect on a data folder
 * that is in use. If the voter that creates the cell loses its disk before any command was
 * committed, the others may remain without a leader; then empty all data folders and start over.
 *
 * To repair a voter that has lost its disk, start it with an empty data folder. It neither votes
 * nor is counted in a quorum, even with bootstrap set, since the membership lists its previous data
 * folder, and no new cell is created while any initial voter replies that it has a log. Then call
 * on the leader remove(), addLearner() and, when the replica has caught up, promoteLearner(),
 * waiting for each change to complete before the next. Until then the cell tolerates the loss of
 * one voter fewer. A removed replica is not notified and must be stopped.
 */
struct ReplicaSettings
{
    InstanceId self;
    /** Without a data folder all data is kept in memory and the replica must be the only voter. */
    std::optional<std::filesystem::path> dataFolder;
    /** The file system of the data folder. Tests replace it to inject faults. */
    std::shared_ptr<FileSystem> fileSystem = std::make_shared<PosixFileSystem>();
    /** The voters of a new cell. Used only with bootstrap and an empty data folder. */
    Membership initialMembership;
    /** If not set, a replica with an empty data folder waits until it is added as a learner. */
    bool bootstrap = false;
    std::chrono::milliseconds heartbeatInterval{200};
    std::chrono::milliseconds leaderLease{1000};
    std::chrono::milliseconds minElectionTimeout{1000};
    std::chrono::milliseconds maxElectionTimeout{2000};
    /** A snapshot is taken and the log truncated each time the log has grown by this size. */
    Bytes snapshotInterval{64LL * 1024 * 1024};
    /** Seed for the randomized election timeouts. */
    std::uint64_t seed = 0;
    /** Maximum number of proposals per append and sync; 1 disables group commit. */
    std::size_t maxBatch = 4096;
};

/**
 * The state machine to which committed entries are applied. All calls are made by the apply thread
 * of the replica, except that Replica::start() calls restore() on the caller's thread before the
 * apply thread is started.
 */
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /** Applies a committed entry of kind Command. */
    virtual void apply(const LogEntry &entry) = 0;
    /** Returns the serialized state. */
    virtual std::string snapshot() = 0;
    /** Replaces the state by the result of an earlier snapshot(). */
    virtual Status restore(const std::string &bytes) = 0;
    /**
     * Called when this replica has become the leader and all committed entries of earlier terms
     * have been applied.
     */
    virtual void leadershipBegan(Term term) = 0;
    virtual void leadershipEnded() = 0;
};

/** Sends messages to other replicas. Messages may be lost, delayed and reordered. */
class ReplicaTransport
{
public:
    virtual ~ReplicaTransport() = default;

    virtual void send(const InstanceId &to, QuorumMessage message) = 0;
};

/** The leader's view of another replica. */
struct PeerStatus
{
    /** When the latest reply was received from it. */
    SteadyTime lastContact;
    /** It has stored all committed entries. */
    bool caughtUp = false;

    bool operator==(const PeerStatus &other) const = default;
};

/** The state of a replica after its latest batch of events. */
struct ReplicaStatus
{
    bool leads = false;
    Term term;
    std::optional<InstanceId> leader;
    /**
     * The last contact with the leader. On the leader itself, when the latest round was sent that a
     * quorum has acknowledged.
     */
    SteadyTime leaderLastContact;
    LogIndex committed;
    LogIndex applied;
    Membership membership;
    /** The data folder of this replica. */
    DiskId disk;
    /** The other replicas; empty unless this replica is the leader. */
    std::map<InstanceId, PeerStatus> peers;
    /** Set while the disk is full. */
    bool storageFull = false;
    /**
     * Set after a failed sync or corrupt data; the replica then does not participate until it is
     * restarted.
     */
    std::optional<Error> failure;
};

/** A replica of the log. It runs a protocol thread and an apply thread, which block when idle. */
class Replica
{
public:
    Replica(ReplicaSettings settings, StateMachine &machine, ReplicaTransport &transport,
            const Clock &clock);
    ~Replica();

    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    /**
     * Recovers the log and starts the threads. Fails with InvalidArgument, Corrupt (stating file
     * and offset) or StorageFull.
     */
    Status start();
    /** Stops without transferring leadership; see transferLeadership(). */
    void stop();

    /** Handles a message from another replica. */
    void receive(const InstanceId &from, QuorumMessage message);

    /**
     * Appends a command to the log. On success the state machine applies it and failed is not
     * called. Otherwise failed is called once, with outcome NotRun if the command will never be
     * committed, or Unknown if a later leader may still commit it. It is called on a thread of the
     * replica, or by propose() itself if the replica is stopped.
     */
    void propose(std::string payload, std::function<void(const Error &)> failed);

    /**
     * Returns whether this replica is the leader, leadershipBegan() has been called and the leader
     * lease is valid now.
     */
    bool holdsLease() const;
    ReplicaStatus status() const;

    /**
     * Add a learner, promote a learner that has caught up to a voter, or remove a member. done is
     * called when the change is committed, or with Conflict while another change is in progress,
     * with Unavailable if the learner has not caught up, with NotLeader, or with outcome Unknown.
     */
    void addLearner(const InstanceId &id, std::function<void(const Status &)> done);
    void promoteLearner(const InstanceId &id, std::function<void(const Status &)> done);
    void remove(const InstanceId &id, std::function<void(const Status &)> done);

    /**
     * Transfers leadership to the voter with the most complete log. done is called when another
     * replica has become the leader, or with Unavailable. During the transfer proposals are
     * rejected with NotRun; the lease ends when TimeoutNow is sent to the chosen voter.
     */
    void transferLeadership(std::function<void(const Status &)> done);

    struct Impl;

private:
    std::unique_ptr<Impl> impl;
};

} // namespace gooseberry
