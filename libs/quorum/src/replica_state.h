#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <base/base.h>
#include <quorum/messages.h>

#include "log_summary.h"

namespace gooseberry {

/**
 * Maximum relative difference between the rates of the steady clocks of two machines. The same
 * bound is used for worker leases.
 */
constexpr double maxClockDriftOfReplicas = 0.01;
/** Maximum size of a snapshot chunk in bytes, so that heartbeats can be sent between chunks. */
constexpr std::size_t maxSnapshotChunk = std::size_t{256} * 1024;
/** Maximum number of unacknowledged entries in flight to one follower. */
constexpr std::uint64_t maxEntriesInFlight = 8192;

/** Deliberate violations of protocol rules, used by tests to show that the checker detects them. */
struct InjectedBugs
{
    bool commitEarlierTermsByCounting = false;
    bool leaseFromReplyTime = false;
    bool voteDespiteLeaderContact = false;
    bool voteAfterLostDisk = false;
    bool keepLeaseDuringTransfer = false;
    bool forgetLeaderContactOnRestart = false;
};

struct ProtocolSettings
{
    InstanceId self;
    DiskId disk;
    bool bootstrap = false;
    Membership initialMembership;
    std::chrono::milliseconds heartbeatInterval{200};
    std::chrono::milliseconds leaderLease{1000};
    std::chrono::milliseconds minElectionTimeout{1000};
    std::chrono::milliseconds maxElectionTimeout{2000};
    InjectedBugs injectedBugs;
};

enum class Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/** The newest snapshot of this replica. */
struct SnapshotInfo
{
    LogIndex lastIndex;
    Term lastTerm;
    Membership membership;
};

/** The leader's view of another replica. */
struct PeerProgress
{
    LogIndex matchIndex;
    LogIndex nextIndex;
    DiskId disk;
    /** The send time of the latest round that it acknowledged. */
    SteadyTime ackedRoundSentAt = SteadyTime::min();
    /** When the latest reply was received from it. */
    SteadyTime lastContact = SteadyTime::min();
    /** The last index of the snapshot that is being sent, 0 if none is. */
    LogIndex snapshotIndex;
    /** How many bytes of that snapshot it has acknowledged. */
    std::uint64_t snapshotOffset = 0;
    /** When the chunk in flight was sent. */
    std::optional<SteadyTime> chunkSentAt;
};

/** A leadership transfer in progress. */
struct LeadershipTransfer
{
    InstanceId target;
    SteadyTime deadline;
    bool timeoutNowSent = false;
};

/** The volatile state of a leader, reset when the replica becomes a follower. */
struct Leadership
{
    std::map<InstanceId, PeerProgress> peers;
    SteadyTime electedAt;
    LogIndex noOpIndex;
    /** The current round of Append messages, and when each recent round was first sent. */
    std::uint64_t round = 0;
    std::map<std::uint64_t, SteadyTime> roundSentAt;
    SteadyTime nextHeartbeat;
    std::optional<LeadershipTransfer> transfer;
};

/** A snapshot that is being received; bytes holds the chunks received so far. */
struct IncomingSnapshot
{
    LogIndex lastIndex;
    Term lastTerm;
    Membership membership;
    std::string bytes;
};

/** The protocol state of one replica. */
struct ReplicaState
{
    ProtocolSettings settings;
    // Persistent state: changes must be durable before messages that depend on them are sent.
    Term term;
    std::optional<InstanceId> votedFor;
    LogSummary log;
    SnapshotInfo snapshot;

    Role role = Role::Follower;
    std::optional<InstanceId> leader;
    LogIndex commit;
    /** The last index that is durable on this replica. */
    LogIndex durable;
    SteadyTime leaderLastContact = SteadyTime::min();
    SteadyTime electionDeadline;
    std::set<InstanceId> grantedVotes;
    Leadership leadership;
    IncomingSnapshot incoming;
    /** The data folders of the initial voters that have replied that they have no log. */
    std::map<InstanceId, DiskId> readyDisks;
    /** Another initial voter has replied that a log exists, so no new cell may be created. */
    bool logExistsElsewhere = false;
    std::minstd_rand random;
};

/** A message to send when the changes of the batch are durable. */
struct OutgoingMessage
{
    InstanceId to;
    QuorumMessage message;
    /** For Append: the driver adds the entries after prevIndex up to this index. */
    LogIndex lastEntry;
};

/** The actions that a batch requires of the driver, in this order. */
struct Effects
{
    std::optional<IncomingSnapshot> install;
    /** Consecutive entries to store, which replace all entries from the first one on. */
    std::vector<LogEntry> entries;
    std::vector<OutgoingMessage> messages;
};

/** Adds an entry to the log summary and to the entries to store. */
void storeEntry(ReplicaState &state, LogEntry entry, Effects &effects);

/**
 * Returns whether this replica may become leader and vote for itself: it is a voter and still has
 * the data folder with which it became a voter.
 */
bool mayVote(const ReplicaState &state);
/**
 * Returns whether this replica may vote for a candidate whose membership lists expectedDisk for it.
 * The membership in its own log is ignored: a new voter may not have received the entry that
 * promotes it, and the candidate may need its vote to replicate that entry.
 */
bool mayVoteFor(const ReplicaState &state, DiskId expectedDisk);
/** Returns whether the replica is counted in quorums, as far as this leader knows. */
bool countsInQuorum(const ReplicaState &state, const InstanceId &id);
/** Returns the number of voters that form a majority. */
std::size_t quorumSize(const Membership &membership);

} // namespace gooseberry
