#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** Identifies a data folder. Generated at random when the folder is first used. */
using DiskId = StrongId<struct DiskTag, std::uint64_t>;

/** The members of the cell. Learners receive entries but are not counted in quorums. */
struct Membership
{
    std::set<InstanceId> voters;
    std::set<InstanceId> learners;
    /**
     * The data folder that each voter had when it became a voter. A voter with a different data
     * folder has lost its votes and acknowledged entries, so it neither votes nor is counted in
     * quorums until it is removed and added again.
     */
    std::map<InstanceId, DiskId> disks;

    bool operator==(const Membership &other) const = default;
};

// GCC 12 warns that enumerators of a scoped enum shadow types of the same name in other headers.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
enum class EntryKind {
    Command, ///< The payload is applied to the state machine.
    NoOp, ///< The first entry of a term; committing it commits all entries of earlier terms.
    Membership, ///< A new membership, in effect as soon as it is stored.
};
#pragma GCC diagnostic pop

/** An entry of the log. payload is used by Command only, membership by Membership only. */
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
 * Asks whether the receiver would grant a vote, without disrupting an active leader. With term 0,
 * asks whether the receiver is ready to be bootstrapped into a new cell.
 */
struct PreVote
{
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    /** The data folder that the sender's membership lists for the receiver. */
    DiskId disk;

    bool operator==(const PreVote &other) const = default;
};

/**
 * If granted, the term is that of the request, otherwise the current term of the replying replica.
 * A rejection of a request with term 0 by a replica with a higher term means that a log already
 * exists.
 */
struct PreVoteReply
{
    Term term;
    bool granted = false;
    DiskId disk;

    bool operator==(const PreVoteReply &other) const = default;
};

/** Requests a vote for the sender. */
struct Vote
{
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    /** Set during a leadership transfer: voters then ignore the lease of the current leader. */
    bool handOver = false;
    /** The data folder that the sender's membership lists for the receiver. */
    DiskId disk;

    bool operator==(const Vote &other) const = default;
};

struct VoteReply
{
    Term term;
    bool granted = false;

    bool operator==(const VoteReply &other) const = default;
};

/** Carries the entries after prevIndex. Without entries it is a heartbeat. */
struct Append
{
    Term term;
    LogIndex prevIndex;
    Term prevTerm;
    std::vector<LogEntry> entries;
    LogIndex commit;
    /** Echoed in the reply, so that the leader knows which round the follower acknowledges. */
    std::uint64_t round = 0;

    bool operator==(const Append &other) const = default;
};

struct AppendReply
{
    Term term;
    bool success = false;
    /**
     * On success, the last index at which the follower's log is known to match the leader's. After
     * a rejection, the index at which the leader should try next.
     */
    LogIndex matchIndex;
    std::uint64_t round = 0;
    DiskId disk;

    bool operator==(const AppendReply &other) const = default;
};

/** A chunk of a snapshot for a follower whose next entry is no longer in the leader's log. */
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
    /** The offset of the next chunk that the receiver expects. */
    std::uint64_t nextOffset = 0;
    /** The receiver needs no more chunks; replication can continue with entries. */
    bool complete = false;

    bool operator==(const InstallSnapshotReply &other) const = default;
};

/** Tells an up-to-date voter to start an election immediately (leadership transfer). */
struct TimeoutNow
{
    Term term;

    bool operator==(const TimeoutNow &other) const = default;
};

using QuorumMessage = std::variant<PreVote, PreVoteReply, Vote, VoteReply, Append, AppendReply,
                                   InstallSnapshot, InstallSnapshotReply, TimeoutNow>;

} // namespace gooseberry
