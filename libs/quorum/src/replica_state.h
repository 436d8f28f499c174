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

/** How far the rates of two machines' steady clocks may differ; the same bound as for leases of
 * workers. */
constexpr double maxClockDriftOfReplicas = 0.01;
/** The largest part of a snapshot in one message, so that heartbeats pass between the parts. */
constexpr std::size_t maxSnapshotChunk = std::size_t{256} * 1024;
/** Entries that may be under way to a follower before it has answered. */
constexpr std::uint64_t maxEntriesInFlight = 8192;

/** Deliberate injectedBugs of the rules, by which tests show that their checks find each breach. */
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

/** What a leader knows of another replica. */
struct PeerProgress
{
    LogIndex matchIndex;
    LogIndex nextIndex;
    DiskId disk;
    /** When the latest round that it has answered was sent, and when its answer came. */
    SteadyTime ackedRoundSentAt = SteadyTime::min();
    SteadyTime heardAt = SteadyTime::min();
    /** The snapshot that is being sent, how much of it has arrived, and the time of the last part.
     */
    LogIndex snapshotIndex;
    std::uint64_t snapshotOffset = 0;
    std::optional<SteadyTime> chunkSentAt;
};

struct LeadershipTransfer
{
    InstanceId target;
    SteadyTime deadline;
    bool timeoutNowSent = false;
};

struct Leadership
{
    std::map<InstanceId, PeerProgress> peers;
    SteadyTime electedAt;
    LogIndex noOpIndex;
    std::uint64_t round = 0;
    std::map<std::uint64_t, SteadyTime> roundSentAt;
    SteadyTime nextHeartbeat;
    std::optional<LeadershipTransfer> transfer;
};

struct IncomingSnapshot
{
    LogIndex lastIndex;
    Term lastTerm;
    Membership membership;
    std::string bytes;
};

/** Everything that the decisions of one replica are made on. */
struct ReplicaState
{
    ProtocolSettings settings;
    // Durable before any message that follows from a change is sent.
    Term term;
    std::optional<InstanceId> votedFor;
    LogSummary log;
    SnapshotInfo snapshot;

    Role role = Role::Follower;
    std::optional<InstanceId> leader;
    LogIndex commit;
    /** Up to where the log is on this replica's disk. */
    LogIndex durable;
    SteadyTime leaderHeardAt = SteadyTime::min();
    SteadyTime electionDeadline;
    std::set<InstanceId> grantedVotes;
    Leadership leadership;
    IncomingSnapshot incoming;
    /** Answers of the other first voters while a new cell is created. */
    std::map<InstanceId, DiskId> readyDisks;
    bool logExistsElsewhere = false;
    std::minstd_rand random;
};

/** A message to send once this batch's changes are durable. */
struct OutgoingMessage
{
    InstanceId to;
    QuorumMessage message;
    /** For Append: the driver adds the entries after prevIndex up to this one. */
    LogIndex lastEntry;
};

/** What a batch of decisions asks its driver to do, in this order. */
struct Effects
{
    std::optional<IncomingSnapshot> install;
    /** Consecutive entries to store, which replace everything from the first one on. */
    std::vector<LogEntry> entries;
    std::vector<OutgoingMessage> messages;
};

/** Adds an entry to the summary and to the entries to store. */
void storeEntry(ReplicaState &state, LogEntry entry, Effects &effects);

/**
 * Returns whether this replica may lead and votes for itself: it is a voter, and its data folder is
 * the one it had when it became a voter.
 */
bool mayVote(const ReplicaState &state);
/**
 * Returns whether this replica may vote for a candidate whose log names this data folder. What the
 * own log says does not matter: a new voter may not have its promotion yet, and the candidate
 * may need its vote to send it.
 */
bool mayVoteFor(const ReplicaState &state, DiskId expectedDisk);
/** Returns whether the other replica counts in quorums, as far as this leader knows. */
bool countsInQuorum(const ReplicaState &state, const InstanceId &id);
/** Returns how many voters decide. */
std::size_t quorumSize(const Membership &membership);

} // namespace gooseberry
