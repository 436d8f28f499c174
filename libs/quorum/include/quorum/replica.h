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
 * Times and sizes of a replica.
 *
 * A new cell: give all first voters the same initialMembership and bootstrap. The first of them by
 * name creates the cell once all the others have answered that they have no log, so all must run
 * once at the same time. Bootstrap has no effect on a data folder that is in use. If the first
 * voter loses its disk before any command was committed, the others may wait without a leader;
 * then empty all data folders and begin again.
 *
 * A voter that has lost its disk: start it with an empty data folder. It neither votes nor counts
 * in a quorum, also with bootstrap, since the membership names the data folder that it had, and no
 * new cell is created while any first voter answers that it has a log. The
 * operator calls, on the leader and each after the one before is done, remove(), addLearner() and,
 * when it has caught up, promoteLearner(). Until then one more voter fewer can be lost. A removed
 * replica is not told so; stop it.
 */
struct ReplicaSettings
{
    InstanceId self;
    /** Where the log lives; without one nothing survives and the replica must be alone. */
    std::optional<std::filesystem::path> dataFolder;
    /** Where the data folder is; the machine's file system unless a test injects faults. */
    std::shared_ptr<FileSystem> fileSystem = std::make_shared<PosixFileSystem>();
    /** The voters of a new cell. Used only with bootstrap and an empty data folder. */
    Membership initialMembership;
    /** Without it, an empty data folder waits to be added as a learner. */
    bool bootstrap = false;
    std::chrono::milliseconds heartbeatInterval{200};
    std::chrono::milliseconds leaderLease{1000};
    std::chrono::milliseconds minElectionTimeout{1000};
    std::chrono::milliseconds maxElectionTimeout{2000};
    /** A snapshot is taken and the log truncated when the log has grown by this. */
    Bytes snapshotInterval{64LL * 1024 * 1024};
    /** Seed of the election timeout's jitter. */
    std::uint64_t seed = 0;
    /** Proposals that one append with one sync may hold; 1 turns group commit off. */
    std::size_t maxBatch = 4096;
};

/**
 * What the committed entries are applied to. All calls come from one thread of the replica, except
 * that start() restores the snapshot on its caller's thread before that thread runs.
 */
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /** Applies a committed entry of kind Command. */
    virtual void apply(const LogEntry &entry) = 0;
    /** Returns the whole state as bytes. */
    virtual std::string snapshot() = 0;
    virtual Status restore(const std::string &bytes) = 0;
    /** This replica leads; all committed entries of earlier terms have been applied. */
    virtual void leadershipBegan(Term term) = 0;
    virtual void leadershipEnded() = 0;
};

/** Carries messages to other replicas. Loss, delay and reordering are tolerated. */
class ReplicaTransport
{
public:
    virtual ~ReplicaTransport() = default;

    virtual void send(const InstanceId &to, QuorumMessage message) = 0;
};

/** What a leader knows of another replica. */
struct PeerStatus
{
    /** When its latest answer came. */
    SteadyTime heardAt;
    /** It has stored all that is committed. */
    bool caughtUp = false;

    bool operator==(const PeerStatus &other) const = default;
};

struct ReplicaStatus
{
    bool leads = false;
    Term term;
    std::optional<InstanceId> leader;
    /** When the leader was last heard; on the leader itself, when a quorum last answered. */
    SteadyTime leaderHeardAt;
    LogIndex committed;
    LogIndex applied;
    Membership membership;
    /** The data folder of this replica. */
    DiskId disk;
    /** The other replicas; empty on a replica that does not lead. */
    std::map<InstanceId, PeerStatus> peers;
    /** Set while the disk can't take another record. */
    bool storageFull = false;
    /** Set after a failed sync or damaged data; the replica takes no part until a restart. */
    std::optional<Error> failure;
};

/** One replica of the log, with threads of its own that sleep while nothing happens. */
class Replica
{
public:
    Replica(ReplicaSettings settings, StateMachine &machine, ReplicaTransport &transport,
            const Clock &clock);
    ~Replica();

    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    /** Recovers the log and starts. Fails with Corrupt, naming file and offset, or StorageFull. */
    Status start();
    /** Stops without handing over; see transferLeadership(). */
    void stop();

    /** Takes a message from another replica. */
    void receive(const InstanceId &from, QuorumMessage message);

    /**
     * Appends a command. On success the state machine applies it; failed is not called then.
     * Otherwise failed is called once: outcome NotRun when the command can't be committed any
     * more, Unknown when a later leader may still commit it. It is called on a thread of the
     * replica, or by propose() itself once the replica has stopped.
     */
    void propose(std::string payload, std::function<void(const Error &)> failed);

    /**
     * Returns whether this replica leads, leadershipBegan() has been called and the lease is
     * running as of now.
     */
    bool holdsLease() const;
    ReplicaStatus status() const;

    /**
     * Adds a learner, or turns a learner that has caught up into a voter, or removes either. Done
     * is called when the change is committed, or with Conflict while another change is under way,
     * Unavailable while the learner has not caught up, NotLeader, or outcome Unknown.
     */
    void addLearner(const InstanceId &id, std::function<void(const Status &)> done);
    void promoteLearner(const InstanceId &id, std::function<void(const Status &)> done);
    void remove(const InstanceId &id, std::function<void(const Status &)> done);

    /**
     * Hands leadership to the voter that has most of the log. Done is called once another replica
     * leads, or with Unavailable. From the call on, proposals are refused with NotRun; the lease
     * ends when the chosen voter is told to take over.
     */
    void transferLeadership(std::function<void(const Status &)> done);

    struct Impl;

private:
    std::unique_ptr<Impl> impl;
};

} // namespace gooseberry
