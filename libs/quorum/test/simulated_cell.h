#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry_codec.h"
#include "protocol.h"
#include "replica_state.h"

namespace gooseberry {

/** Probabilities of faults, for each step of one millisecond unless stated otherwise. */
struct FaultRates
{
    double drop = 0; ///< For each message.
    double duplicate = 0; ///< For each message.
    double slow = 0; ///< For each message: delayed by up to 150 ms, which also reorders messages.
    double crash = 0;
    double pause = 0;
    double crashLeader = 0; ///< Crashes the leader of the highest term.
    double crashAfterVote = 0; ///< For each granted vote, right after it was sent.
    double crashAfterCommit = 0; ///< For each commit on a leader, before it sends anything.
    double quickRestart = 0; ///< A crash followed by a restart one step later.
    double isolate = 0;
    double cutLink = 0; ///< Disconnects two replicas from each other; both reach the others.
    double eraseDisk = 0; ///< Only if no other voter with a lost disk is being repaired.
    double leadershipTransfer = 0;
    double snapshot = 0;
    double propose = 0.05;
};

/**
 * A deterministic simulation of the protocol functions with an in-memory network, disks and clocks
 * that run at different rates. A run depends only on its seed and parameters. After each step the
 * checker looks for two simultaneous leases, two leaders in one term, lost or differing committed
 * entries, and a term that decreased.
 */
class SimulatedCell
{
public:
    SimulatedCell(std::uint64_t seed, std::size_t voters, FaultRates initialRates,
                  InjectedBugs initialInjectedBugs = {}, bool votersForgetVotes = false);

    /** Runs steps of one millisecond for the duration or until the checker finds a violation. */
    void run(std::chrono::milliseconds duration);
    /** Runs until the condition holds; returns whether it did within the duration. */
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds duration);
    /** Ends all faults and returns whether all voters then commit a new command. */
    bool recovers();

    void crash(std::size_t number);
    void restart(std::size_t number);
    void eraseDisk(std::size_t number);
    /** Drops all messages that the replica sends, receives, or both. */
    void isolate(std::size_t number, bool sends, bool receives);
    void pause(std::size_t number, std::chrono::milliseconds duration);

    std::optional<std::size_t> leaseHolder() const;
    /** Returns the leader of the highest term, with or without lease. */
    std::optional<std::size_t> latestLeader() const;
    bool propose();
    LogIndex committed() const;
    LogIndex commitOf(std::size_t number) const;
    /** Returns whether the replica is a voter with the data folder that its membership lists. */
    bool isEligibleVoter(std::size_t number) const;

    /** The first violation that the checker has found. */
    std::optional<std::string> violation;
    std::size_t leaderships = 0;
    std::size_t repairs = 0;
    std::size_t installs = 0;

private:
    struct Disk
    {
        StoredVote vote;
        std::vector<LogEntry> entries;
        LogSummary summary;
        SnapshotInfo snapshot;
        std::string snapshotBytes;
    };
    struct Node
    {
        InstanceId id;
        Disk disk;
        ReplicaState state;
        std::vector<std::pair<InstanceId, QuorumMessage>> inbox;
        bool running = false;
        double clockRate = 1.0;
        std::chrono::milliseconds pausedUntil{0};
        std::chrono::milliseconds restartAt{0};
        std::chrono::milliseconds isolatedUntil{0};
        bool cutSends = false;
        bool cutReceives = false;
        LogIndex checkedCommit;
        Term checkedTerm;
        bool transferRequested = false;
        std::vector<LogEntry> pendingProposals; ///< Proposals for the next batch.
    };
    struct Packet
    {
        std::size_t to = 0;
        InstanceId from;
        QuorumMessage message;
    };
    struct Committed
    {
        Term term;
        std::string payload;
        std::uint64_t prefixHash = 0; ///< Hash of all entries up to this one.
    };

    void step();
    void injectFaults();
    void repairLostDisk();
    void deliver();
    void processBatch(Node &node);
    bool isCut(std::size_t one, std::size_t other) const;
    bool persist(Node &node, const ReplicaState &before, Effects &effects);
    void storeEntries(Disk &disk, const std::vector<LogEntry> &entries);
    void takeSnapshot(Node &node);
    void send(Node &node, OutgoingMessage &outgoing);
    bool fill(Node &node, OutgoingMessage &outgoing);
    void startNode(Node &node);
    void check(Node &node);
    void checkLeases();
    void reportViolation(const std::string &what);
    SteadyTime localTime(const Node &node) const;
    bool chance(double probability);
    std::uint64_t randomBelow(std::uint64_t limit);
    Node *find(const InstanceId &id);

    FaultRates rates;
    InjectedBugs injectedBugs;
    bool forgetVotes;
    std::mt19937_64 random;
    std::chrono::milliseconds now{1000};
    std::vector<Node> nodes;
    std::multimap<std::chrono::milliseconds, Packet> network;
    std::vector<Committed> committedEntries; ///< The entry with index i is at i - 1.
    std::map<Term, InstanceId> leaders;
    /** For pairs of replicas, the lower number first: until when they are disconnected. */
    std::map<std::pair<std::size_t, std::size_t>, std::chrono::milliseconds> cutLinks;
    std::uint64_t proposals = 0;
    std::uint64_t diskIdsIssued = 0;
    std::optional<std::size_t> nodeWithLostDisk;
};

} // namespace gooseberry
