#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <cluster/node_settings.h>
#include <link/link.h>
#include <quorum/quorum.h>

namespace gooseberry {

/** What one node asks of another one. */
enum class RequestKind : char {
    Caller = 'c',
    Operator = 'o',
    Announcement = 'w',
    Advice = 'a',
    Heartbeats = 'h', ///< Workers that had nothing new to say.
};

/** Answers a request; an error with code NotLeader sends the asker to the leader. */
using RequestHandler = std::function<void(RequestKind, const std::string &,
                                          std::function<void(Result<std::string>)>)>;

/**
 * The links between the nodes of a cell that has no list of its members. A node knows some seeds;
 * from the leader's beacons it learns who keeps the log and who leads. A node that has a data
 * folder and is no voter asks the leader to become one, and the leader keeps the voters complete.
 */
class CellLinks : public ReplicaTransport
{
public:
    CellLinks(Executor &initialExecutor, const Clock &initialClock,
              const NodeSettings &initialSettings, RequestHandler initialServe);

    /** Sets the replica of this node, if it has one. Must be called before start(). */
    void setReplica(Replica *initialReplica);
    Status start();
    void stop();
    /** Replaces the seeds, which may move while the node runs. */
    void setSeeds(const std::vector<Address> &seeds);

    void send(const InstanceId &to, QuorumMessage message) override;

    const InstanceId &self() const;
    /** Returns the leader, if this node has heard of it lately. */
    std::optional<InstanceId> leader() const;
    /** Returns where the leader takes the reports of workers. */
    std::optional<Address> leaderReportAddress() const;
    /** Returns the nodes that there is a link with. */
    std::set<InstanceId> connectedNodes() const;

    /**
     * Asks the leader, which may be this node, and asks again until the deadline, so the request
     * must be idempotent. The error's outcome is NotRun only if no attempt can have had an effect.
     */
    void callLeader(RequestKind kind, std::string request, SteadyTime deadline,
                    std::function<void(Result<std::string>)> done);
    /** Asks one node once. */
    void callNode(const InstanceId &node, RequestKind kind, const std::string &request,
                  std::chrono::milliseconds timeout, std::function<void(Result<std::string>)> done);

private:
    struct PendingRequest;

    /** Three beacons may be lost before the leader counts as unknown. */
    static constexpr std::chrono::milliseconds leaderInfoLifetime{1200};

    // cell_questions.cpp: requests to the leader.
    /** Asks once more, unless an attempt after the named one was made meanwhile. */
    void sendAttempt(const std::shared_ptr<PendingRequest> &pending, std::uint64_t earlier);
    void onReply(const std::shared_ptr<PendingRequest> &pending, std::uint64_t attempt,
                 Result<std::string> result);
    /** Asks a new leader at once what another node has not onReply: that one may be silent. */
    void retryWithNewLeader(const InstanceId &leader);
    void onRequest(const std::string &frame, const PeerHandlers::Reply &reply);
    void callPeer(const InstanceId &node, const std::string &frame,
                  std::chrono::milliseconds timeout, std::function<void(Result<std::string>)> done);
    /**
     * Returns the leader if there is a link with it, or else another node that keeps the log, if
     * possible not the one that was target before.
     */
    std::optional<InstanceId> nextHop(const InstanceId &previousTarget);

    // cell_links.cpp: links and beacons.
    void onFrame(const InstanceId &from, const std::string &frame);
    void onBeacon(const std::string &bytes);
    void relayBeacon();
    void scheduleStep();
    void step();
    void sendBeacons(const ReplicaStatus &status);
    void updatePeers();

    // cell_membership.cpp: who keeps the log.
    void onJoin(const std::string &bytes);
    void requestJoin(const ReplicaStatus &status);
    void repairMembership(const ReplicaStatus &status);
    void transferLeadershipWhenDiskFull(const ReplicaStatus &status);

    struct LeaderInfo
    {
        InstanceId leader;
        Term term;
        SteadyTime receivedAt;
        std::optional<Address> reportAddress;
        std::map<InstanceId, DiskId> voters;
    };
    struct PendingJoin
    {
        DiskId disk;
        SteadyTime requestedAt;
    };

    Executor &executor;
    const Clock &clock;
    const NodeSettings settings;
    const InstanceId ownId;
    RequestHandler serve;
    Replica *replica = nullptr;
    std::unique_ptr<PeerNetwork> network;

    mutable std::mutex mutex; ///< Guards the members below.
    bool stopped = false;
    std::set<std::shared_ptr<PendingRequest>> pendingRequests;
    std::set<InstanceId> seedIds;
    std::set<InstanceId> logReplicas;
    std::set<InstanceId> connected;
    std::map<InstanceId, Address> configuredPeers;
    std::map<InstanceId, PendingJoin> joinRequests;
    LeaderInfo leaderInfo;
    SteadyTime nextBeacon;
    /** The latest beacon, for nodes that have no link with the leader. */
    std::string lastBeacon;
    SteadyTime nextRelay;
    std::size_t nextHopIndex = 0;
    SteadyTime nextJoinRequest;
    Term ledTerm;
    SteadyTime leadingSince;
    bool membershipChangePending = false;
    bool leadershipTransferPending = false;
};

} // namespace gooseberry
