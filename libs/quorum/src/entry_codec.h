#pragma once

#include <string>
#include <string_view>

#include <base/base.h>
#include <quorum/messages.h>

#include "log_summary.h"
#include "replica_state.h"

namespace gooseberry {

// Encodes the data that a replica stores on disk. Decoders fail with Corrupt on bytes that they
// can't parse, such as those of another version.

std::string encodeEntry(const LogEntry &entry);
Result<LogEntry> decodeEntry(LogIndex index, const std::string &bytes);

/** The persistent term and vote, and the id of the data folder. */
struct StoredVote
{
    Term term;
    std::optional<InstanceId> votedFor;
    DiskId disk;
};

std::string encodeVote(const StoredVote &vote);
Result<StoredVote> decodeVote(const std::string &bytes);

/** The decoded contents of a snapshot: the position in the log and the state machine's bytes. */
struct SnapshotContent
{
    SnapshotInfo info;
    std::string state;
};

std::string encodeSnapshot(const SnapshotInfo &info, const std::string &state);
Result<SnapshotContent> decodeSnapshot(LogIndex lastIndex, const std::string &bytes);

} // namespace gooseberry
