#include "link_connection.h"

#include <algorithm>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace gooseberry {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/** Maximum number of frames in one write, which bounds the delay of heartbeats. */
constexpr std::size_t maxBatch = 64;
/** A batch takes no more frames once it has this many bytes, for the same reason. */
constexpr std::size_t maxBatchBytes = 256UL * 1024;
/**
 * Bytes to read at once. One read of many short frames keeps a link with many requests from falling
 * behind the other links of the thread.
 */
constexpr std::size_t readSize = 16UL * 1024;

} // namespace

Link::Link(tcp::socket initialSocket, const PeerNetworkSettings &initialSettings,
           std::shared_ptr<LinkListener> initialListener)
    : socket(std::move(initialSocket))
    , timer(this->socket.get_executor())
    , settings(initialSettings)
    , listener(std::move(initialListener))
{
}

void Link::connect(const InstanceId &expected, const Address &address)
{
    this->isDialed = true;
    this->peerId = expected;
    asio::dispatch(this->socket.get_executor(), [self = this->shared_from_this(), address]() {
        self->lastReplyAt = std::chrono::steady_clock::now();
        self->nextHeartbeatAt = self->lastReplyAt + self->settings.heartbeatTimeout;
        self->checkHeartbeat();
        BoostError error;
        const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
        if (error) {
            self->closeNow();
            return;
        }
        self->socket.async_connect(endpoint, [self](BoostError connectError) {
            if (connectError) {
                self->closeNow();
                return;
            }
            self->sendHello();
            self->readMore();
        });
    });
}

void Link::accept()
{
    asio::dispatch(this->socket.get_executor(), [self = this->shared_from_this()]() {
        self->lastReplyAt = std::chrono::steady_clock::now();
        self->nextHeartbeatAt = self->lastReplyAt + self->settings.heartbeatTimeout;
        self->checkHeartbeat();
        self->readMore();
    });
}

void Link::close()
{
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()]() { self->closeNow(); });
}

bool Link::ready() const
{
    const std::lock_guard lock(this->mutex);
    return this->isReady;
}

bool Link::send(Frame frame)
{
    {
        const std::lock_guard lock(this->mutex);
        const auto limit = static_cast<std::size_t>(this->settings.maxQueued.value);
        const std::size_t size = frame.payload.size();
        if (!this->isReady || size > limit || this->queuedBytes > limit - size) {
            return false;
        }
        this->queuedBytes += size;
        auto &target = frame.kind == FrameKind::Message ? this->messages : this->queue;
        target.push_back(std::move(frame));
    }
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()]() { self->flush(); });
    return true;
}

void Link::sendHello()
{
    BoostError ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->sendControlFrame(
        FrameKind::Hello,
        encodeHello({.cellName = this->settings.cellName, .sender = this->settings.self}));
}

void Link::readMore()
{
    this->socket.async_read_some(
        this->input.prepare(readSize),
        [self = this->shared_from_this()](BoostError error, std::size_t size) {
            if (error || self->closed) {
                self->closeNow();
                return;
            }
            self->input.commit(size);
            self->processInput();
        });
}

void Link::processInput()
{
    while (!this->closed && this->input.size() >= frameLengthSize) {
        std::array<unsigned char, frameLengthSize> lengthBytes{};
        const auto *const begin = static_cast<const char *>(this->input.data().data());
        std::copy_n(begin, frameLengthSize, lengthBytes.begin());
        const std::size_t length = decodeFrameLength(lengthBytes);
        const std::size_t limit
            = this->helloReceived ? static_cast<std::size_t>(maxFrame.value) : maxHelloSize;
        if (length == 0 || length > limit) {
            this->closeNow();
            return;
        }
        const std::size_t size = frameLengthSize + length;
        if (this->input.size() < size) {
            break;
        }
        std::optional<Frame> frame = decodeFrame(std::string(begin + frameLengthSize, length));
        this->input.consume(size);
        if (!frame.has_value()) {
            this->closeNow();
            return;
        }
        this->onFrame(std::move(*frame));
        this->listener->linkRead(*this, Bytes(static_cast<std::int64_t>(size)));
    }
    if (!this->closed) {
        if (this->input.size() == 0 && this->input.capacity() > 2 * readSize) {
            // Frees the memory that a large frame took.
            this->input.shrink_to_fit();
        }
        this->readMore();
    }
}

void Link::onFrame(Frame frame)
{
    if (!this->helloReceived) {
        this->onHello(frame);
        return;
    }
    switch (frame.kind) {
    case FrameKind::Hello:
        this->closeNow();
        return;
    case FrameKind::Heartbeat:
        this->sendControlFrame(FrameKind::HeartbeatReply, {});
        return;
    case FrameKind::HeartbeatReply:
        this->lastReplyAt = std::chrono::steady_clock::now();
        return;
    case FrameKind::Message:
    case FrameKind::Request:
    case FrameKind::Reply:
        this->listener->linkReceived(this->shared_from_this(), std::move(frame));
        return;
    }
}

void Link::onHello(const Frame &frame)
{
    const std::optional<Hello> hello
        = frame.kind == FrameKind::Hello ? decodeHello(frame.payload) : std::nullopt;
    const bool valid = hello.has_value() && hello->cellName == this->settings.cellName
        && hello->sender != this->settings.self
        && (!this->isDialed || hello->sender == this->peerId);
    if (!valid || !this->listener->linkIdentified(this->shared_from_this(), hello->sender)) {
        this->closeNow();
        return;
    }
    this->peerId = hello->sender;
    this->helloReceived = true;
    if (!this->isDialed) {
        this->sendHello();
    }
    this->lastReplyAt = std::chrono::steady_clock::now();
    this->nextHeartbeatAt = this->lastReplyAt;
    {
        const std::lock_guard lock(this->mutex);
        this->isReady = true;
    }
    this->listener->linkReady(this->shared_from_this());
    this->checkHeartbeat();
}

void Link::checkHeartbeat()
{
    if (this->closed) {
        return;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    const SteadyTime expiresAt = this->lastReplyAt + this->settings.heartbeatTimeout;
    if (now >= expiresAt) {
        this->closeNow();
        return;
    }
    if (this->helloReceived && now >= this->nextHeartbeatAt) {
        this->sendControlFrame(FrameKind::Heartbeat, {});
        this->nextHeartbeatAt = now + this->settings.heartbeatInterval;
    }
    // Setting the expiry also cancels the wait of an earlier call.
    this->timer.expires_at(std::min(expiresAt, this->nextHeartbeatAt));
    this->timer.async_wait([self = this->shared_from_this()](BoostError error) {
        if (!error) {
            self->checkHeartbeat();
        }
    });
}

void Link::sendControlFrame(FrameKind kind, std::string payload)
{
    {
        const std::lock_guard lock(this->mutex);
        // At most one queued frame of each kind, so that a peer that doesn't read can't make the
        // queue grow.
        const bool waiting = std::any_of(this->controlFrames.begin(), this->controlFrames.end(),
                                         [kind](const Frame &frame) { return frame.kind == kind; });
        if (waiting) {
            return;
        }
        this->controlFrames.push_back(Frame{
            .kind = kind, .correlationId = 0, .payload = std::move(payload), .sendState = {}});
    }
    this->flush();
}

bool Link::takeBatch()
{
    const std::lock_guard lock(this->mutex);
    const auto take = [this](std::deque<Frame> &from) {
        Frame frame = std::move(from.front());
        from.pop_front();
        const std::size_t counted = &from == &this->controlFrames ? 0 : frame.payload.size();
        SendState expected = SendState::Queued;
        if (frame.sendState == nullptr
            || frame.sendState->compare_exchange_strong(expected, SendState::Written)) {
            std::string header = encodeFrameHeader(frame);
            this->batchBytes += header.size() + frame.payload.size();
            this->batchQueuedBytes += counted;
            this->batch.emplace_back(std::move(header), std::move(frame.payload));
        } else {
            this->queuedBytes -= counted;
        }
    };
    while (!this->controlFrames.empty()) {
        take(this->controlFrames);
    }
    const auto hasRoom
        = [this]() { return this->batch.size() < maxBatch && this->batchBytes < maxBatchBytes; };
    while (!this->messages.empty() && hasRoom()) {
        take(this->messages);
    }
    while (!this->queue.empty() && hasRoom()) {
        take(this->queue);
    }
    return !this->batch.empty();
}

void Link::flush()
{
    if (this->writing || this->closed || !this->takeBatch()) {
        return;
    }
    this->writing = true;
    std::vector<asio::const_buffer> buffers;
    for (const auto &[header, payload] : this->batch) {
        buffers.push_back(asio::buffer(header));
        buffers.push_back(asio::buffer(payload));
    }
    asio::async_write(this->socket, buffers,
                      [self = this->shared_from_this()](BoostError error, std::size_t) {
                          self->onWritten(error);
                      });
}

void Link::onWritten(BoostError error)
{
    this->writing = false;
    if (error || this->closed) {
        this->closeNow();
        return;
    }
    this->listener->linkWrote(*this, this->batch.size(),
                              Bytes(static_cast<std::int64_t>(this->batchBytes)));
    {
        const std::lock_guard lock(this->mutex);
        this->queuedBytes -= this->batchQueuedBytes;
    }
    this->batch.clear();
    this->batchBytes = 0;
    this->batchQueuedBytes = 0;
    this->flush();
}

void Link::closeNow()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    {
        const std::lock_guard lock(this->mutex);
        this->isReady = false;
        this->messages.clear();
        this->queue.clear();
        this->controlFrames.clear();
    }
    BoostError ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    this->listener->linkClosed(this->shared_from_this());
}

} // namespace gooseberry
