#pragma once

#include <memory>
#include <mutex>
#include <optional>

#include <journal/journal.h>
#include <quorum/replica.h>

#include "entry_codec.h"
#include "replica_state.h"

namespace gooseberry {

/** What a replica finds on its disk when it starts. */
struct RecoveredState
{
    StoredVote vote;
    LogSummary log;
    SnapshotInfo snapshot;
    /** The state machine's bytes in the snapshot, if there is one. */
    std::optional<std::string> state;
};

/**
 * The log, vote and snapshots of one replica. The protocol thread writes; read() and
 * saveSnapshot() may run on the apply thread at the same time.
 */
class ReplicaStorage
{
public:
    /** Without a folder everything is kept in memory. */
    ReplicaStorage(const std::optional<std::filesystem::path> &dataFolder,
                   const std::shared_ptr<FileSystem> &fileSystem);

    Result<RecoveredState> recover();

    Status saveVote(const StoredVote &vote);
    /** Stores consecutive entries, which replace everything from the first one on. */
    Status append(const std::vector<LogEntry> &entries);
    Result<LogEntry> read(LogIndex index) const;
    /** Stores a snapshot of another replica in place of the whole log. */
    Status install(const IncomingSnapshot &snapshot);
    Status saveSnapshot(const SnapshotInfo &info, const std::string &state);
    /** Removes the entries up to and including the index, which a snapshot covers. */
    Status truncatePrefix(LogIndex index);
    /** Returns the stored bytes of the newest snapshot if it is the one that is asked for. */
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
