#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include <quorum/replica.h>

#include "replica_state.h"
#include "replica_storage.h"

namespace gooseberry {

/** A term in which this replica is the leader, and the index of the no-op entry that began it. */
struct LeaderTerm
{
    Term term;
    LogIndex noOpIndex;

    bool operator==(const LeaderTerm &other) const = default;
};

/** Runs the apply thread of a replica, which makes all calls to the state machine. */
class ApplyLoop
{
public:
    struct Callbacks
    {
        std::function<void(const SnapshotInfo &)> snapshotTaken;
        std::function<void(const Error &)> failed;
    };

    ApplyLoop(StateMachine &stateMachine, ReplicaStorage &replicaStorage, Bytes interval);

    /** Starts applying after the entries that the snapshot covers. */
    void start(const SnapshotInfo &snapshot, Callbacks initialCallbacks);
    void stop();

    /** Sets the commit index and, if this replica is the leader, its term. */
    void update(LogIndex commit, const std::optional<LeaderTerm> &leaderTerm);
    /** Schedules a received snapshot to be restored before any later entry is applied. */
    void restore(SnapshotInfo info, std::string state);

    LogIndex appliedIndex() const;
    /** The term for which leadershipBegan() was called but not leadershipEnded(), or 0. */
    Term announcedTerm() const;

private:
    struct Target
    {
        LogIndex commit;
        std::optional<LeaderTerm> leaderTerm;
        std::optional<SnapshotContent> snapshot;
        bool stopping = false;
    };

    void run();
    bool waitForWork(Target &work);
    void updateLeadership(const std::optional<LeaderTerm> &leaderTerm);
    /**
     * Applies entries up to the index; stops early when a received snapshot has replaced the log.
     * Returns false after a failure.
     */
    bool applyUpTo(std::uint64_t last, const std::optional<LeaderTerm> &leaderTerm);
    void applyEntry(const LogEntry &entry);
    bool snapshotPending();
    bool restoreSnapshot(const SnapshotContent &content);
    void takeSnapshotWhenDue();

    StateMachine &machine;
    ReplicaStorage &storage;
    const Bytes snapshotInterval;
    Callbacks callbacks;

    std::mutex mutex; ///< Guards target.
    std::condition_variable changed;
    Target target;

    // Owned by the apply thread.
    SnapshotInfo lastApplied; ///< Index, term and membership of the last applied entry.
    Bytes bytesSinceSnapshot;
    std::atomic<std::uint64_t> applied{0};
    std::atomic<std::uint64_t> announced{0};
    std::thread thread;
};

} // namespace gooseberry
