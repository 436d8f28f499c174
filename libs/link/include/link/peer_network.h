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

/** The largest frame; a longer one is a protocol error that closes its link. */
constexpr Bytes maxFrame(32LL * 1024 * 1024);

/** Who an instance is, where it listens and whom it connects to. */
struct PeerNetworkSettings
{
    InstanceId self;
    /** Instances with another cell name are refused. */
    std::string cellName;
    /** Port 0 lets the system choose one. */
    Address listen;
    /** Instances to keep a link to. Others may still connect and are then known by their id. */
    std::map<InstanceId, Address> peers;
    std::chrono::milliseconds heartbeatInterval{200};
    /** A link whose last answered heartbeat is older than this is replaced. */
    std::chrono::milliseconds silenceLimit{1000};
    std::chrono::milliseconds minReconnectDelay{50};
    std::chrono::milliseconds maxReconnectDelay{1000};
    /** Seed of the jitter of the reconnect delay. */
    std::uint64_t seed = 0;
    /** The most bytes that may wait on one link. */
    Bytes maxQueued{64LL * 1024 * 1024};
};

/** What was exchanged with one peer since start, heartbeats and frame headers included. */
struct PeerTraffic
{
    InstanceId peer;
    bool connected = false;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    Bytes bytesSent;
    Bytes bytesReceived;
    /** How many links were established. */
    std::uint64_t linksOpened = 0;
};

/**
 * What a network calls, on the executor's threads. Frames of one link arrive one after the other;
 * a handler that blocks also delays the link's heartbeats and so may get the link replaced.
 */
struct PeerHandlers
{
    using Reply = std::function<void(std::string frame)>;

    std::function<void(const InstanceId &from, std::string frame)> onFrame;
    /** Answers a call(); reply may be used once, on any thread, and is best effort. */
    std::function<void(const InstanceId &from, std::string frame, Reply reply)> onRequest;
    /**
     * The first link with a peer is ready, or the last one is gone. Two such calls in short
     * succession may come in either order; connected() tells the present state.
     */
    std::function<void(const InstanceId &peer, bool connected)> onLink;
};

/**
 * The links between this instance and its peers. A frame is a 4-byte big-endian length and that
 * many bytes; the first byte is the kind of the frame. The first frame in each direction is a
 * hello with cell name and instance id. Both ends send heartbeats and answer them on the same
 * connection, because written bytes are no sign of a connection that works. An instance connects
 * to a configured peer while it has no link with it; after a silent or broken link, a new one is
 * made with an exponential delay and jitter. Frames may be lost when a link is replaced.
 */
class PeerNetwork
{
public:
    using Callback = std::function<void(Result<std::string>)>;

    PeerNetwork(Executor &executor, PeerNetworkSettings settings, PeerHandlers handlers);
    ~PeerNetwork();

    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /** Listens and starts to connect. Fails with Unavailable when the address can't be bound. */
    Result<Address> start();

    /**
     * Closes all links and fails open calls. When it returns, no handler or callback runs and none
     * will. Not to be called from one of them, and not while another thread uses call().
     */
    void stop();

    /**
     * Replaces the instances to keep a link to. Links with others stay until they break, and are
     * not made again.
     */
    void setPeers(const std::map<InstanceId, Address> &peers);

    /** Queues the frame; false without a link, with a full queue or with a frame above maxFrame. */
    bool send(const InstanceId &to, std::string frame);

    /**
     * Sends a request and calls done exactly once, never from within call(). The network itself
     * matches reply and request. An error has outcome NotRun only if no byte of the request was
     * handed to a socket and none will be; otherwise the peer may have acted on it.
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
