#include "link_connection.h"

#include <algorithm>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace gooseberry {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/** The most frames in one write, so that heartbeats wait for few frames only. */
constexpr std::size_t maxBatch = 64;
/** A batch ends once it has this many bytes, for the same reason. */
constexpr std::size_t maxBatchBytes = 256UL * 1024;

} // namespace

Link::Link(tcp::socket initialSocket, const PeerNetworkSettings &initialSettings,
           std::shared_ptr<LinkOwner> initialOwner)
    : socket(std::move(initialSocket))
    , timer(this->socket.get_executor())
    , settings(initialSettings)
    , owner(std::move(initialOwner))
{
}

void Link::connect(const InstanceId &expected, const Address &address)
{
    this->isDialed = true;
    this->peerId = expected;
    asio::dispatch(this->socket.get_executor(), [self = this->shared_from_this(), address]() {
        self->answeredAt = std::chrono::steady_clock::now();
        self->heartbeatDue = self->answeredAt + self->settings.silenceLimit;
        self->tick();
        ErrorCodeValue error;
        const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
        if (error) {
            self->finish();
            return;
        }
        self->socket.async_connect(endpoint, [self](ErrorCodeValue connectError) {
            if (connectError) {
                self->finish();
                return;
            }
            self->sayHello();
            self->readLength();
        });
    });
}

void Link::accept()
{
    asio::dispatch(this->socket.get_executor(), [self = this->shared_from_this()]() {
        self->answeredAt = std::chrono::steady_clock::now();
        self->heartbeatDue = self->answeredAt + self->settings.silenceLimit;
        self->tick();
        self->readLength();
    });
}

void Link::close()
{
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()]() { self->finish(); });
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
        this->queue.push_back(std::move(frame));
    }
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()]() { self->flush(); });
    return true;
}

void Link::sayHello()
{
    ErrorCodeValue ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->sendControl(
        FrameKind::Hello,
        encodeHello({.cellName = this->settings.cellName, .sender = this->settings.self}));
}

void Link::readLength()
{
    asio::async_read(this->socket, asio::buffer(this->lengthBytes),
                     [self = this->shared_from_this()](ErrorCodeValue error, std::size_t) {
                         if (error || self->finished) {
                             self->finish();
                             return;
                         }
                         self->readBody(decodeFrameLength(self->lengthBytes));
                     });
}

void Link::readBody(std::uint32_t length)
{
    const std::size_t limit
        = this->greeted ? static_cast<std::size_t>(maxFrame.value) : maxHelloSize;
    if (length == 0 || length > limit) {
        this->finish();
        return;
    }
    this->body.resize(length);
    asio::async_read(this->socket, asio::buffer(this->body),
                     [self = this->shared_from_this()](ErrorCodeValue error, std::size_t size) {
                         if (error || self->finished) {
                             self->finish();
                             return;
                         }
                         std::optional<Frame> frame = decodeFrame(std::exchange(self->body, {}));
                         if (!frame.has_value()) {
                             self->finish();
                             return;
                         }
                         self->onFrame(std::move(*frame));
                         self->owner->linkRead(
                             *self, Bytes(static_cast<std::int64_t>(size + frameLengthSize)));
                         if (!self->finished) {
                             self->readLength();
                         }
                     });
}

void Link::onFrame(Frame frame)
{
    if (!this->greeted) {
        this->onHello(frame);
        return;
    }
    switch (frame.kind) {
    case FrameKind::Hello:
        this->finish();
        return;
    case FrameKind::Heartbeat:
        this->sendControl(FrameKind::HeartbeatReply, {});
        return;
    case FrameKind::HeartbeatReply:
        this->answeredAt = std::chrono::steady_clock::now();
        return;
    case FrameKind::Message:
    case FrameKind::Request:
    case FrameKind::Reply:
        this->owner->linkReceived(this->shared_from_this(), std::move(frame));
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
    if (!valid || !this->owner->linkGreeted(this->shared_from_this(), hello->sender)) {
        this->finish();
        return;
    }
    this->peerId = hello->sender;
    this->greeted = true;
    if (!this->isDialed) {
        this->sayHello();
    }
    this->answeredAt = std::chrono::steady_clock::now();
    this->heartbeatDue = this->answeredAt;
    {
        const std::lock_guard lock(this->mutex);
        this->isReady = true;
    }
    this->owner->linkReady(this->shared_from_this());
    this->tick();
}

void Link::tick()
{
    if (this->finished) {
        return;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    const SteadyTime silentAt = this->answeredAt + this->settings.silenceLimit;
    if (now >= silentAt) {
        this->finish();
        return;
    }
    if (this->greeted && now >= this->heartbeatDue) {
        this->sendControl(FrameKind::Heartbeat, {});
        this->heartbeatDue = now + this->settings.heartbeatInterval;
    }
    // Setting the expiry also cancels the wait that an earlier tick began.
    this->timer.expires_at(std::min(silentAt, this->heartbeatDue));
    this->timer.async_wait([self = this->shared_from_this()](ErrorCodeValue error) {
        if (!error) {
            self->tick();
        }
    });
}

void Link::sendControl(FrameKind kind, std::string payload)
{
    {
        const std::lock_guard lock(this->mutex);
        // One waiting frame of a kind is enough, and keeps a peer that doesn't read from growing
        // the queue.
        const bool waiting = std::any_of(this->controls.begin(), this->controls.end(),
                                         [kind](const Frame &frame) { return frame.kind == kind; });
        if (waiting) {
            return;
        }
        this->controls.push_back(
            Frame{.kind = kind, .correlation = 0, .payload = std::move(payload), .handOver = {}});
    }
    this->flush();
}

bool Link::takeBatch()
{
    const std::lock_guard lock(this->mutex);
    const auto take = [this](std::deque<Frame> &from) {
        Frame frame = std::move(from.front());
        from.pop_front();
        const std::size_t counted = &from == &this->queue ? frame.payload.size() : 0;
        HandOver expected = HandOver::Queued;
        if (frame.handOver == nullptr
            || frame.handOver->compare_exchange_strong(expected, HandOver::Written)) {
            std::string header = encodeFrameHeader(frame);
            this->batchBytes += header.size() + frame.payload.size();
            this->batchQueuedBytes += counted;
            this->batch.emplace_back(std::move(header), std::move(frame.payload));
        } else {
            this->queuedBytes -= counted;
        }
    };
    while (!this->controls.empty()) {
        take(this->controls);
    }
    while (!this->queue.empty() && this->batch.size() < maxBatch
           && this->batchBytes < maxBatchBytes) {
        take(this->queue);
    }
    return !this->batch.empty();
}

void Link::flush()
{
    if (this->writing || this->finished || !this->takeBatch()) {
        return;
    }
    this->writing = true;
    std::vector<asio::const_buffer> buffers;
    for (const auto &[header, payload] : this->batch) {
        buffers.push_back(asio::buffer(header));
        buffers.push_back(asio::buffer(payload));
    }
    asio::async_write(this->socket, buffers,
                      [self = this->shared_from_this()](ErrorCodeValue error, std::size_t) {
                          self->onWritten(error);
                      });
}

void Link::onWritten(ErrorCodeValue error)
{
    this->writing = false;
    if (error || this->finished) {
        this->finish();
        return;
    }
    this->owner->linkWrote(*this, this->batch.size(),
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

void Link::finish()
{
    if (this->finished) {
        return;
    }
    this->finished = true;
    {
        const std::lock_guard lock(this->mutex);
        this->isReady = false;
        this->queue.clear();
        this->controls.clear();
    }
    ErrorCodeValue ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    this->owner->linkClosed(this->shared_from_this());
}

} // namespace gooseberry
