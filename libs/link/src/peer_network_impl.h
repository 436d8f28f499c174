#pragma once

#include <atomic>
#include <condition_variable>
#include <set>

#include <link/peer_network.h>

#include "peer_record.h"

namespace gooseberry {

/** The peer records and the map that holds them. Each record and the map have their own lock. */
struct PeerNetwork::Impl : LinkListener, std::enable_shared_from_this<PeerNetwork::Impl>
{
    Impl(Executor &executor, PeerNetworkSettings initialSettings, PeerHandlers initialHandlers);

    Result<Address> listen();
    void acceptNext();
    void stop();

    std::shared_ptr<PeerRecord> find(const InstanceId &id) const;
    std::shared_ptr<PeerRecord> findOrAdd(const InstanceId &id);
    std::vector<std::pair<InstanceId, std::shared_ptr<PeerRecord>>> allRecords() const;

    void setPeers(const std::map<InstanceId, Address> &peers);
    bool send(const InstanceId &to, Frame frame);
    void call(const InstanceId &to, std::string frame, std::chrono::milliseconds deadline,
              Callback done);
    /** Connects after the reconnect delay, unless there is a link or another attempt. */
    void scheduleDial(const InstanceId &id, const std::shared_ptr<PeerRecord> &record);
    void dial(const InstanceId &id, const std::shared_ptr<PeerRecord> &record);

    bool linkIdentified(const std::shared_ptr<Link> &link, const InstanceId &peer) override;
    void linkReady(const std::shared_ptr<Link> &link) override;
    void linkReceived(const std::shared_ptr<Link> &link, Frame frame) override;
    void linkClosed(const std::shared_ptr<Link> &link) override;
    void linkWrote(const Link &link, std::uint64_t frames, Bytes bytes) override;
    void linkRead(const Link &link, Bytes bytes) override;

    void handleReply(const InstanceId &from, Frame frame);
    void expireCall(const std::shared_ptr<PeerRecord> &record, std::uint64_t correlationId);
    /** Runs a handler unless the network has stopped; stop() waits for running handlers. */
    void runHandler(const std::function<void()> &handler);
    /** Makes stop() wait for a callback that is about to run; paired with endCallback(). */
    void beginCallback();
    void endCallback();

    boost::asio::io_context &context;
    PeerNetworkSettings settings;
    PeerHandlers handlers;
    boost::asio::ip::tcp::acceptor acceptor;
    std::atomic<std::uint64_t> nextCorrelationId;
    std::atomic<bool> stopping{false};

    mutable std::mutex recordsMutex;
    std::map<InstanceId, std::shared_ptr<PeerRecord>> records;

    std::mutex handshakingMutex;
    /** Accepted links whose hello has not arrived. */
    std::set<std::shared_ptr<Link>> handshakingLinks;

    std::mutex handlersMutex;
    std::condition_variable handlersIdle;
    std::size_t runningHandlers = 0;
    bool stopped = false;
};

} // namespace gooseberry
