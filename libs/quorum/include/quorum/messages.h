#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** Names one data folder. It is drawn at random when the folder is first used. */
using DiskId = StrongId<struct DiskTag, std::uint64_t>;

/** Who takes part in the log. Learners receive entries but count in no quorum. */
struct Membership
{
    std::set<InstanceId> voters;
    std::set<InstanceId> learners;
    /**
     * The data folder that each voter had when it became one. A voter with another data folder has
     * lost what it promised, so it neither votes nor counts until it is removed and added again.
     */
    std::map<InstanceId, DiskId> disks;

    bool operator==(const Membership &other) const = default;
};

// GCC 12 reports enumerators of a scoped enum as shadowing types of the same name in other headers.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
enum class EntryKind {
    Command, ///< A payload for the state machine.
    NoOp, ///< The first entry of a term, which commits all entries of earlier terms.
    Membership, ///< A new membership, in force as soon as it is stored.
};
#pragma GCC diagnostic pop

struct LogEntry
{
    LogIndex index;
    Term term;
    EntryKind kind = EntryKind::Command;
    std::string payload;
    Membership membership;

    bool operator==(const LogEntry &other) const = default;
};

/**
 * Asks whether an election could be won, without disturbing a leader that is alive. With term 0,
 * asks whether the receiver is ready to become part of a new cell.
 */
struct PreVote
{
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    /** The data folder that makes the receiver a voter, as the sender's log has it. */
    DiskId disk;

    bool operator==(const PreVote &other) const = default;
};

/**
 * The term is the one asked for when granted, otherwise the receiver's own. A rejection of term 0
 * with a higher term says that a log exists already.
 */
struct PreVoteReply
{
    Term term;
    bool granted = false;
    DiskId disk;

    bool operator==(const PreVoteReply &other) const = default;
};

struct Vote
{
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    /** Set during a planned hand-over: voters then ignore the lease of the old leader. */
    bool handOver = false;
    /** The data folder that makes the receiver a voter, as the sender's log has it. */
    DiskId disk;

    bool operator==(const Vote &other) const = default;
};

struct VoteReply
{
    Term term;
    bool granted = false;

    bool operator==(const VoteReply &other) const = default;
};

/** Entries after prevIndex; without entries, a heartbeat. */
struct Append
{
    Term term;
    LogIndex prevIndex;
    Term prevTerm;
    std::vector<LogEntry> entries;
    LogIndex commit;
    /** Echoed by the reply, so that the leader knows which send the follower has seen. */
    std::uint64_t round = 0;

    bool operator==(const Append &other) const = default;
};

struct AppendReply
{
    Term term;
    bool success = false;
    /** The last index known to be equal; after a rejection, where to try next. */
    LogIndex matchIndex;
    std::uint64_t round = 0;
    DiskId disk;

    bool operator==(const AppendReply &other) const = default;
};

/** One part of a snapshot for a follower whose next entry is no longer in the log. */
struct InstallSnapshot
{
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    Membership membership;
    std::uint64_t offset = 0;
    std::string chunk;
    bool last = false;

    bool operator==(const InstallSnapshot &other) const = default;
};

/** The next offset that the receiver waits for. */
struct InstallSnapshotReply
{
    Term term;
    LogIndex lastIndex;
    std::uint64_t nextOffset = 0;
    /** The receiver needs no more of this snapshot; ordinary entries can follow. */
    bool complete = false;

    bool operator==(const InstallSnapshotReply &other) const = default;
};

/** Tells a caught-up voter to start an election at once. */
struct TimeoutNow
{
    Term term;

    bool operator==(const TimeoutNow &other) const = default;
};

using QuorumMessage = std::variant<PreVote, PreVoteReply, Vote, VoteReply, Append, AppendReply,
                                   InstallSnapshot, InstallSnapshotReply, TimeoutNow>;

} // namespace gooseberry
