#pragma once

#include <string>
#include <string_view>

#include <base/base.h>
#include <quorum/messages.h>

#include "log_summary.h"
#include "replica_state.h"

namespace gooseberry {

// The stored form of what a replica keeps on disk. Every decoder fails with Corrupt on bytes that
// it does not understand, such as those of another version.

std::string encodeEntry(const LogEntry &entry);
Result<LogEntry> decodeEntry(LogIndex index, const std::string &bytes);

/** Term, vote and the identity of the data folder. */
struct StoredVote
{
    Term term;
    std::optional<InstanceId> votedFor;
    DiskId disk;
};

std::string encodeVote(const StoredVote &vote);
Result<StoredVote> decodeVote(const std::string &bytes);

/** A snapshot carries the term and membership of its last entry besides the state. */
struct SnapshotContent
{
    SnapshotInfo info;
    std::string state;
};

std::string encodeSnapshot(const SnapshotInfo &info, const std::string &state);
Result<SnapshotContent> decodeSnapshot(LogIndex lastIndex, const std::string &bytes);

} // namespace gooseberry
