#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <cluster/leader_requests.h>
#include <cluster/node_settings.h>
#include <cluster/pause_detector.h>
#include <link/link.h>
#include <quorum/quorum.h>

namespace gooseberry {

/**
 * The links between the nodes of a cell without a static member list. A node is started with the
 * addresses of some seeds. It learns the current leader and the log replicas from beacons, which
 * the leader sends periodically. A node that has a data folder but is not a voter asks the leader
 * to join, and the leader adds and replaces voters to keep their target number.
 */
class CellLinks : public ReplicaTransport, private RequestRoutes
{
public:
    /**
     * The links run on linkExecutor, so that messages of the log's replicas are never behind the
     * work on executor, which carries all requests and replies.
     */
    CellLinks(Executor &initialExecutor, Executor &initialLinkExecutor, const Clock &initialClock,
              const NodeSettings &initialSettings, RequestHandler initialServe);

    /** Sets the replica of this node, if it has one. Must be called before start(). */
    void setReplica(Replica *initialReplica);
    Status start();
    void stop();
    /** Replaces the seeds, which may move while the node runs. */
    void setSeeds(const std::vector<Address> &seeds);

    void send(const InstanceId &to, QuorumMessage message) override;

    const InstanceId &self() const override;
    /** Returns the leader, if a message or beacon of it was received recently. */
    std::optional<InstanceId> leader() const override;
    /** Returns the address at which the leader accepts the heartbeats of workers. */
    std::optional<Address> leaderReportAddress() const;
    /** Returns whether this process stood still a moment ago; only known on nodes with a log. */
    bool pausedRecently() const override;
    /** Returns the nodes that this one has a link with. */
    std::set<InstanceId> connectedNodes() const;
    /** Returns a number that rises with each change of connectedNodes(), to tell old copies. */
    std::uint64_t connectionChanges() const;

    /** See LeaderRequests. */
    void callLeader(RequestKind kind, std::string request, SteadyTime deadline,
                    std::function<void(const LeaderAnswer &)> done);
    /** Sends a request to one node, without retries. */
    void callNode(const InstanceId &node, RequestKind kind, const std::string &request,
                  std::chrono::milliseconds timeout, std::function<void(Result<std::string>)> done);

private:
    /** Long enough that three lost beacons do not make the leader unknown. */
    static constexpr std::chrono::milliseconds leaderInfoLifetime{1200};

    // cell_requests.cpp: the way of requests through the links.
    bool leads() const override;
    bool isConnected(const InstanceId &node) const override;
    std::vector<InstanceId> connectedReplicas() const override;
    void call(const InstanceId &node, const std::string &frame, std::chrono::milliseconds timeout,
              std::function<void(Result<std::string>)> done) override;
    void after(Duration delay, std::function<void()> task) override;
    void onRequest(const std::string &frame, const PeerHandlers::Reply &reply);
    /** Passes the answer to a request to its sender, unless this node has stopped. */
    void answerRequest(std::uint64_t number, std::string answer);

    // cell_links.cpp: links and beacons.
    void onFrame(const InstanceId &from, const std::string &frame);
    void onBeacon(const std::string &bytes);
    void relayBeacon();
    void scheduleStep();
    void step();
    /** Hands leadership over when the executor has run no step for too long. */
    void watchExecutor();
    void sendBeacons(const ReplicaStatus &status);
    void updatePeers();

    // cell_membership.cpp: the members of the replicated log.
    void onJoin(const std::string &bytes);
    void requestJoin(const ReplicaStatus &status);
    void repairMembership(const ReplicaStatus &status);
    void transferLeadershipWhenDiskFull(const ReplicaStatus &status);

    /** The latest beacon, received or sent. */
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
    Executor &linkExecutor;
    const Clock &clock;
    const NodeSettings settings;
    const InstanceId ownId;
    Replica *replica = nullptr;
    std::unique_ptr<PeerNetwork> network;
    PauseDetector pauses;
    LeaderRequests requests;

    mutable std::mutex mutex; ///< Guards the members below.
    bool stopped = false;
    /** When the executor last ran step(). */
    SteadyTime lastStepAt;
    /**
     * The replies to requests of other nodes. Work on the executor refers to them by number, since
     * a reply keeps the network alive, which must not outlive linkExecutor.
     */
    std::map<std::uint64_t, PeerHandlers::Reply> pendingReplies;
    std::uint64_t lastReplyNumber = 0;
    std::set<InstanceId> seedIds;
    std::set<InstanceId> logReplicas;
    std::set<InstanceId> connected;
    std::atomic<std::uint64_t> changesOfConnected = 0;
    std::map<InstanceId, Address> configuredPeers;
    std::map<InstanceId, PendingJoin> joinRequests;
    LeaderInfo leaderInfo;
    SteadyTime nextBeacon;
    /** The latest beacon, for nodes that have no link with the leader. */
    std::string lastBeacon;
    SteadyTime nextRelay;
    SteadyTime nextJoinRequest;
    Term ledTerm;
    SteadyTime leadingSince;
    bool membershipChangePending = false;
    bool leadershipTransferPending = false;
};

} // namespace gooseberry
