#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include <control/settings.h>
#include <link/link.h>
#include <protocol/protocol.h>
#include <quorum/quorum.h>

namespace gooseberry {

/**
 * Carries messages between the control instances of a cell: messages of the replicated log,
 * callers' requests that are forwarded to the leader, and leader hints for instances that do not
 * vote.
 */
class CellNetwork : public ReplicaTransport
{
public:
    /** Handles a forwarded request on the leader. */
    using ForwardHandler = std::function<void(const HttpRequest &, const HttpServer::Respond &)>;

    CellNetwork(Executor &initialExecutor, const Clock &initialClock,
                const Settings &initialSettings, ForwardHandler initialHandler);

    /** Sets the replica of this instance, if it has one. Must be called before start(). */
    void setReplica(Replica *initialReplica);
    Result<Done> start();
    void stop();

    void send(const InstanceId &to, QuorumMessage message) override;

    /**
     * Passes a request on to the leader. The reply is an error with outcome NotRun when no leader
     * is known or nothing was sent, and Unknown when no reply came in time.
     */
    void forward(const HttpRequest &request, const HttpServer::Respond &respond);

    /** Returns the leader, if the last contact with it, or the last hint, is less than 2 s old. */
    std::optional<InstanceId> leader() const;

    /**
     * Sends leader hints to instances that do not vote. Fails forwarded requests that are past
     * their deadline or went to a former leader.
     */
    void step();

private:
    struct PendingForward
    {
        InstanceId leader;
        SteadyTime deadline;
        HttpServer::Respond respond;
    };
    struct Shard
    {
        std::mutex mutex;
        std::map<ForwardId, PendingForward> forwards;
    };
    struct ReceivedHint
    {
        std::optional<InstanceId> leader;
        Term term;
        SteadyTime receivedAt;
    };
    static constexpr std::size_t shardCount = 8;

    void onFrame(const InstanceId &from, const std::string &frame);
    void onMessage(const InstanceId &from, QuorumMessage &&message);
    void onMessage(const InstanceId &from, Forward &&message);
    void onMessage(const InstanceId &from, ForwardReply &&message);
    void onMessage(const InstanceId &from, LeaderHint &&message);
    void sendLeaderHints(SteadyTime now);
    void failStaleForwards(SteadyTime now);
    Shard &shardOf(const ForwardId &id);
    std::optional<PendingForward> takeForward(const ForwardId &id);

    const Clock &clock;
    std::vector<InstanceId> nonVoters;
    ForwardHandler handleForward;
    Replica *replica = nullptr;
    PeerNetwork network;
    std::atomic<std::uint64_t> lastForward{0};
    std::array<Shard, shardCount> shards;

    mutable std::mutex hintMutex;
    ReceivedHint hint;
    SteadyTime nextHintTime;
};

} // namespace gooseberry
