#pragma once

#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <link/peer_network.h>

#include "frame.h"

namespace gooseberry {

class Link;

/** Receives the events of a link, on the link's strand. */
class LinkListener
{
public:
    virtual ~LinkListener() = default;

    /** Called for a valid hello of this cell; returns whether to accept the link. */
    virtual bool linkIdentified(const std::shared_ptr<Link> &link, const InstanceId &peer) = 0;
    /** Called after both hellos were exchanged; send() works from now on. */
    virtual void linkReady(const std::shared_ptr<Link> &link) = 0;
    virtual void linkReceived(const std::shared_ptr<Link> &link, Frame frame) = 0;
    /** Called once, also for a link that never became ready. */
    virtual void linkClosed(const std::shared_ptr<Link> &link) = 0;
    virtual void linkWrote(const Link &link, std::uint64_t frames, Bytes bytes) = 0;
    virtual void linkRead(const Link &link, Bytes bytes) = 0;
};

/** One connection to one peer. It closes on an error or a heartbeat timeout and is never reused. */
class Link : public std::enable_shared_from_this<Link>
{
public:
    /** The socket's executor must be a strand. */
    Link(boost::asio::ip::tcp::socket initialSocket, const PeerNetworkSettings &initialSettings,
         std::shared_ptr<LinkListener> initialListener);

    /** Connects and sends the first hello. */
    void connect(const InstanceId &expected, const Address &address);
    /** Serves an accepted connection: waits for the peer's hello. */
    void accept();
    /** Closes the link. Thread-safe. */
    void close();

    /** Queues a frame; false when the link is not ready or the queue is full. Thread-safe. */
    bool send(Frame frame);

    /** The id of the peer; empty before its hello on accepted links. Constant once ready. */
    const InstanceId &peer() const
    {
        return this->peerId;
    }
    bool dialed() const
    {
        return this->isDialed;
    }
    bool ready() const;

private:
    using BoostError = boost::system::error_code;

    void sendHello();
    void readMore();
    /** Handles all complete frames that were read. */
    void processInput();
    void onFrame(Frame frame);
    void onHello(const Frame &frame);
    /** Sends a heartbeat when one is due; closes the link when the last reply is too old. */
    void checkHeartbeat();
    /** Queues a hello, heartbeat or heartbeat reply ahead of other frames. */
    void sendControlFrame(FrameKind kind, std::string payload);
    void flush();
    /** Moves queued frames into the batch to write; returns whether it holds any. */
    bool takeBatch();
    void onWritten(BoostError error);
    void closeNow();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    const PeerNetworkSettings &settings;
    std::shared_ptr<LinkListener> listener;

    // Accessed only on the strand.
    InstanceId peerId;
    bool isDialed = false;
    bool helloReceived = false;
    bool writing = false;
    bool closed = false;
    SteadyTime lastReplyAt;
    SteadyTime nextHeartbeatAt;
    /** Bytes that were read and whose frame is not complete yet. */
    boost::beast::flat_buffer input;
    std::vector<std::pair<std::string, std::string>> batch;
    std::size_t batchBytes = 0;
    /** The part of queuedBytes that the batch holds. */
    std::size_t batchQueuedBytes = 0;

    /** Guards the members below. */
    mutable std::mutex mutex;
    bool isReady = false;
    std::deque<Frame> controlFrames;
    /** Messages, which are written before the requests and replies in queue. */
    std::deque<Frame> messages;
    std::deque<Frame> queue;
    std::size_t queuedBytes = 0;
};

} // namespace gooseberry
