#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** Who takes part in the log. Learners receive entries but count in no quorum. */
struct Membership
{
    std::set<InstanceId> voters;
    std::set<InstanceId> learners;

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

/** Asks whether an election could be won, without disturbing a leader that is alive. */
struct PreVote
{
    Term term;
    LogIndex lastIndex;
    Term lastTerm;

    bool operator==(const PreVote &other) const = default;
};

struct PreVoteReply
{
    Term term;
    bool granted = false;

    bool operator==(const PreVoteReply &other) const = default;
};

struct Vote
{
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    /** Set during a planned hand-over: voters then ignore the lease of the old leader. */
    bool handOver = false;

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
    /** The last index known to be equal; after a refusal, where to try next. */
    LogIndex matchIndex;
    std::uint64_t round = 0;

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

struct InstallSnapshotReply
{
    Term term;
    LogIndex lastIndex;
    std::uint64_t nextOffset = 0;

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
