#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <base/base.h>
#include <link/executor.h>

namespace gooseberry {

/** The maximum frame size. A longer frame is a protocol error and closes the link. */
constexpr Bytes maxFrame(32LL * 1024 * 1024);

/** Identity, listen address, peers and timeouts of an instance's peer network. */
struct PeerNetworkSettings
{
    InstanceId self;
    /** Connections from instances with another cell name are rejected. */
    std::string cellName;
    /** Port 0 lets the system choose a free port. */
    Address listen;
    /** Peers to stay connected to. Other instances may still connect; their hello names them. */
    std::map<InstanceId, Address> peers;
    std::chrono::milliseconds heartbeatInterval{200};
    /** A link without a heartbeat reply for this long is closed and replaced. */
    std::chrono::milliseconds heartbeatTimeout{1000};
    std::chrono::milliseconds minReconnectDelay{50};
    std::chrono::milliseconds maxReconnectDelay{1000};
    /** Seed of the jitter of the reconnect delay. */
    std::uint64_t seed = 0;
    /** The maximum number of payload bytes queued on one link. */
    Bytes maxQueued{64LL * 1024 * 1024};
};

/** Traffic with one peer since start, including heartbeats and frame headers. */
struct PeerTraffic
{
    InstanceId peer;
    bool connected = false;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    Bytes bytesSent;
    Bytes bytesReceived;
    /** The number of links established. */
    std::uint64_t linksOpened = 0;
};

/**
 * Callbacks of a peer network, invoked on the executor's threads. Frames of one link are delivered
 * sequentially. A handler that blocks also delays the link's heartbeats, which may cause the link
 * to be replaced.
 */
struct PeerHandlers
{
    using Reply = std::function<void(std::string frame)>;

    std::function<void(const InstanceId &from, std::string frame)> onFrame;
    /** Handles a call(); reply may be invoked once, on any thread, and is best effort. */
    std::function<void(const InstanceId &from, std::string frame, Reply reply)> onRequest;
    /**
     * Called when the first link with a peer is ready and when the last one is closed. Two calls
     * in short succession may arrive in either order; connected() returns the current state.
     */
    std::function<void(const InstanceId &peer, bool connected)> onLink;
};

/**
 * The links between this instance and its peers. A frame is a 4-byte big-endian length followed by
 * that many bytes, of which the first is the frame kind. The first frame in each direction is a
 * hello with the cell name and instance id. Both ends send heartbeats and reply to them on the same
 * connection, because a successful write doesn't show that the connection works. An instance
 * connects to a configured peer while it has no link with it. After a link times out or breaks, it
 * reconnects with exponential backoff and jitter. Frames may be lost when a link is replaced.
 */
class PeerNetwork
{
public:
    using Callback = std::function<void(Result<std::string>)>;

    PeerNetwork(Executor &executor, PeerNetworkSettings settings, PeerHandlers handlers);
    ~PeerNetwork();

    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /** Starts listening and connecting. Fails with Unavailable when the address can't be bound. */
    Result<Address> start();

    /**
     * Closes all links and fails pending calls. After it returns, no handler or callback is running
     * or will run. Must not be called from one of them, nor while another thread uses call().
     */
    void stop();

    /**
     * Replaces the set of configured peers. Links with other instances stay open until they break
     * and are not re-established.
     */
    void setPeers(const std::map<InstanceId, Address> &peers);

    /** Queues the frame; false without a link, on a full queue or for a frame above maxFrame. */
    bool send(const InstanceId &to, std::string frame);

    /**
     * Sends a request and calls done exactly once, never from within call(). The network matches
     * replies to requests. An error has outcome NotRun only if no byte of the request was or will
     * be passed to a socket; otherwise the peer may have processed it.
     */
    void call(const InstanceId &to, std::string frame, std::chrono::milliseconds deadline,
              Callback done);

    bool connected(const InstanceId &peer) const;
    /** Returns the traffic of every peer that is configured or was connected. */
    std::vector<PeerTraffic> traffic() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace gooseberry
