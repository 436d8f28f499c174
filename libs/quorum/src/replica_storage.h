#pragma once

#include <memory>
#include <mutex>
#include <optional>

#include <journal/journal.h>
#include <quorum/replica.h>

#include "entry_codec.h"
#include "replica_state.h"

namespace gooseberry {

/** The persistent state that a replica recovers when it starts. */
struct RecoveredState
{
    StoredVote vote;
    LogSummary log;
    SnapshotInfo snapshot;
    /** The state machine's bytes from the snapshot, if there is one. */
    std::optional<std::string> state;
};

/**
 * Stores the log, vote and snapshots of one replica. Used by the protocol thread, except that the
 * apply thread may call read() and saveSnapshot() concurrently.
 */
class ReplicaStorage
{
public:
    /** Without a data folder all data is kept in memory. */
    ReplicaStorage(const std::optional<std::filesystem::path> &dataFolder,
                   const std::shared_ptr<FileSystem> &fileSystem);

    Result<RecoveredState> recover();

    Status saveVote(const StoredVote &vote);
    /** Stores consecutive entries, which replace all entries from the first one on. */
    Status append(const std::vector<LogEntry> &entries);
    Result<LogEntry> read(LogIndex index) const;
    /** Replaces the whole log by a snapshot received from another replica. */
    Status install(const IncomingSnapshot &snapshot);
    Status saveSnapshot(const SnapshotInfo &info, const std::string &state);
    /** Removes the entries up to and including the index, which a snapshot covers. */
    Status truncatePrefix(LogIndex index);
    /**
     * Returns the bytes of the newest snapshot if its last index is lastIndex, otherwise null. The
     * bytes stay cached until releaseSnapshotBytes().
     */
    std::shared_ptr<const std::string> snapshotBytes(LogIndex lastIndex);
    void releaseSnapshotBytes();

private:
    Status recoverLog(RecoveredState &recovered);
    Status recoverEntries(RecoveredState &recovered);

    std::shared_ptr<FileSystem> files;
    std::filesystem::path folder;
    MetadataFile voteFile;
    std::unique_ptr<DurableLog> log;
    mutable std::mutex snapshotMutex; ///< Guards the snapshot files.
    SnapshotStore snapshotStore;
    std::shared_ptr<const std::string> cachedSnapshot;
    LogIndex cachedSnapshotIndex;
};

} // namespace gooseberry
