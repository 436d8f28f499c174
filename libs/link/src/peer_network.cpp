#include <link/peer_network.h>

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "executor_impl.h"
#include "peer_network_impl.h"

namespace gooseberry {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

namespace {

/** Maximum number of accepted connections whose hello has not arrived. */
constexpr std::size_t maxHandshakingLinks = 64;
/** Maximum number of peer records; far above the nine control instances of a cell. */
constexpr std::size_t maxPeers = 256;
/** Bytes of the frame kind and correlation id, which count towards the frame length. */
constexpr std::size_t maxFrameOverhead = 9;
constexpr auto maxFrameSize = static_cast<std::size_t>(maxFrame.value);

Error callError(ErrorCode code, const InstanceId &peer, const std::string &message, Outcome outcome)
{
    return Error{.code = code,
                 .step = Step::Forward,
                 .peer = peer.value,
                 .message = message,
                 .outcome = outcome};
}

/** Returns a random first id, so that ids of an earlier process of this instance don't recur. */
std::uint64_t randomFirstCorrelationId()
{
    std::random_device device;
    constexpr unsigned bitsPerDraw = 32;
    return (static_cast<std::uint64_t>(device()) << bitsPerDraw) | device();
}

} // namespace

PeerNetwork::Impl::Impl(Executor &executor, PeerNetworkSettings initialSettings,
                        PeerHandlers initialHandlers)
    : context(executor.impl().context)
    , settings(std::move(initialSettings))
    , handlers(std::move(initialHandlers))
    , acceptor(asio::make_strand(this->context))
    , nextCorrelationId(randomFirstCorrelationId())
{
    std::uint64_t number = 0;
    for (const auto &[id, address] : this->settings.peers) {
        auto record = std::make_shared<PeerRecord>();
        record->address = address;
        record->jitter.seed(this->settings.seed + number++);
        record->traffic.peer = id;
        this->records.emplace(id, std::move(record));
    }
}

Result<Address> PeerNetwork::Impl::listen()
{
    const Address &address = this->settings.listen;
    BoostError error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (!error) {
        this->acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        this->acceptor.bind(endpoint, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{.code = ErrorCode::Unavailable,
                     .step = Step::Settings,
                     .peer = toString(address),
                     .message = "can't listen for peers: " + error.message(),
                     .outcome = Outcome::NotRun};
    }
    const Address bound{.host = address.host, .port = this->acceptor.local_endpoint().port()};
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this()]() { self->acceptNext(); });
    for (const auto &[id, record] : this->allRecords()) {
        this->dial(id, record);
    }
    return bound;
}

void PeerNetwork::Impl::acceptNext()
{
    this->acceptor.async_accept(
        asio::make_strand(this->context),
        [self = this->shared_from_this()](BoostError error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || self->stopping.load()) {
                return;
            }
            if (!error) {
                const auto link = std::make_shared<Link>(std::move(socket), self->settings, self);
                bool tooMany = false;
                {
                    const std::lock_guard lock(self->handshakingMutex);
                    tooMany = self->handshakingLinks.size() >= maxHandshakingLinks;
                    if (!tooMany) {
                        self->handshakingLinks.insert(link);
                    }
                }
                if (!tooMany) {
                    link->accept();
                }
                self->acceptNext();
                return;
            }
            // Most likely out of file descriptors; the delay keeps the accept loop from spinning.
            const auto timer = std::make_shared<asio::steady_timer>(
                self->acceptor.get_executor(), self->settings.minReconnectDelay);
            timer->async_wait([self, timer](BoostError) { self->acceptNext(); });
        });
}

std::shared_ptr<PeerRecord> PeerNetwork::Impl::find(const InstanceId &id) const
{
    const std::lock_guard lock(this->recordsMutex);
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : found->second;
}

std::shared_ptr<PeerRecord> PeerNetwork::Impl::findOrAdd(const InstanceId &id)
{
    const std::lock_guard lock(this->recordsMutex);
    const auto found = this->records.find(id);
    if (found != this->records.end()) {
        return found->second;
    }
    if (this->records.size() >= maxPeers) {
        // Evict the record of an unconfigured instance that is no longer connected.
        const auto gone
            = std::find_if(this->records.begin(), this->records.end(), [](const auto &entry) {
                  const std::lock_guard recordLock(entry.second->mutex);
                  return !entry.second->address.has_value() && entry.second->links.empty();
              });
        if (gone == this->records.end()) {
            return nullptr;
        }
        this->records.erase(gone);
    }
    auto record = std::make_shared<PeerRecord>();
    record->traffic.peer = id;
    return this->records.emplace(id, std::move(record)).first->second;
}

std::vector<std::pair<InstanceId, std::shared_ptr<PeerRecord>>>
PeerNetwork::Impl::allRecords() const
{
    const std::lock_guard lock(this->recordsMutex);
    return {this->records.begin(), this->records.end()};
}

void PeerNetwork::Impl::setPeers(const std::map<InstanceId, Address> &peers)
{
    for (const auto &[id, record] : this->allRecords()) {
        const std::lock_guard lock(record->mutex);
        if (!peers.contains(id)) {
            record->address.reset();
        }
    }
    for (const auto &[id, address] : peers) {
        const std::shared_ptr<PeerRecord> record = this->findOrAdd(id);
        if (record == nullptr || id == this->settings.self) {
            continue;
        }
        bool changed = false;
        {
            const std::lock_guard lock(record->mutex);
            changed = record->address != address;
            record->address = address;
        }
        if (changed) {
            this->dial(id, record);
        }
    }
}

bool PeerNetwork::Impl::send(const InstanceId &to, Frame frame)
{
    const std::shared_ptr<PeerRecord> record = this->find(to);
    if (record == nullptr || frame.payload.size() + maxFrameOverhead > maxFrameSize) {
        return false;
    }
    const std::lock_guard lock(record->mutex);
    return !record->links.empty() && record->links.back()->send(std::move(frame));
}

void PeerNetwork::Impl::call(const InstanceId &to, std::string payload,
                             std::chrono::milliseconds deadline, Callback done)
{
    const std::shared_ptr<PeerRecord> record = this->find(to);
    const std::uint64_t correlationId = this->nextCorrelationId.fetch_add(1);
    const auto fail = [&](ErrorCode code, const std::string &message) {
        this->beginCallback();
        asio::post(this->context,
                   [self = this->shared_from_this(), done,
                    error = callError(code, to, message, Outcome::NotRun)]() {
                       done(error);
                       self->endCallback();
                   });
    };
    if (payload.size() + maxFrameOverhead > maxFrameSize) {
        fail(ErrorCode::TooLarge, "the request exceeds the maximum frame size");
        return;
    }
    if (record == nullptr) {
        fail(ErrorCode::Unavailable, "the peer is unknown");
        return;
    }
    const std::lock_guard lock(record->mutex);
    if (this->stopping.load() || record->links.empty()) {
        fail(ErrorCode::Unavailable, "there is no link to the peer");
        return;
    }
    PendingCall pending{.done = std::move(done),
                        .sendState = std::make_shared<std::atomic<SendState>>(SendState::Queued),
                        .link = record->links.back(),
                        .timer = std::make_shared<asio::steady_timer>(this->context, deadline)};
    Frame frame{.kind = FrameKind::Request,
                .correlationId = correlationId,
                .payload = std::move(payload),
                .sendState = pending.sendState};
    if (!pending.link->send(std::move(frame))) {
        done = std::move(pending.done);
        fail(ErrorCode::Overloaded, "the queue to the peer is full");
        return;
    }
    pending.timer->async_wait(
        [self = this->shared_from_this(), record, correlationId](BoostError error) {
            if (!error) {
                self->expireCall(record, correlationId);
            }
        });
    record->calls.emplace(correlationId, std::move(pending));
}

void PeerNetwork::Impl::expireCall(const std::shared_ptr<PeerRecord> &record,
                                   std::uint64_t correlationId)
{
    PendingCall expired;
    {
        const std::lock_guard lock(record->mutex);
        const auto found = record->calls.find(correlationId);
        if (found == record->calls.end()) {
            return;
        }
        expired = std::move(found->second);
        record->calls.erase(found);
        this->beginCallback();
    }
    const Error error = callError(ErrorCode::DeadlineExceeded, expired.link->peer(),
                                  "the peer sent no reply in time", cancelSend(expired));
    expired.done(error);
    this->endCallback();
}

void PeerNetwork::Impl::scheduleDial(const InstanceId &id,
                                     const std::shared_ptr<PeerRecord> &record)
{
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard lock(record->mutex);
        if (!record->address.has_value() || record->dialScheduled || record->dialing != nullptr
            || !record->links.empty() || this->stopping.load()) {
            return;
        }
        record->dialScheduled = true;
        // Exponential backoff. The jitter, from half the delay to all of it, keeps instances that
        // lost the same peer from reconnecting at the same time.
        const auto next = std::clamp(record->reconnectDelay * 2, this->settings.minReconnectDelay,
                                     this->settings.maxReconnectDelay);
        record->reconnectDelay = next;
        delay = std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(
            next.count() / 2, next.count())(record->jitter));
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([self = this->shared_from_this(), timer, id, record](BoostError) {
        {
            const std::lock_guard lock(record->mutex);
            record->dialScheduled = false;
        }
        self->dial(id, record);
    });
}

void PeerNetwork::Impl::dial(const InstanceId &id, const std::shared_ptr<PeerRecord> &record)
{
    std::shared_ptr<Link> link;
    Address address;
    {
        const std::lock_guard lock(record->mutex);
        if (!record->address.has_value() || record->dialing != nullptr || !record->links.empty()
            || this->stopping.load()) {
            return;
        }
        address = *record->address;
        link = std::make_shared<Link>(tcp::socket(asio::make_strand(this->context)), this->settings,
                                      this->shared_from_this());
        record->dialing = link;
    }
    link->connect(id, address);
}

void PeerNetwork::Impl::runHandler(const std::function<void()> &handler)
{
    {
        const std::lock_guard lock(this->handlersMutex);
        if (this->stopped) {
            return;
        }
        ++this->runningHandlers;
    }
    handler();
    this->endCallback();
}

void PeerNetwork::Impl::beginCallback()
{
    const std::lock_guard lock(this->handlersMutex);
    ++this->runningHandlers;
}

void PeerNetwork::Impl::endCallback()
{
    const std::lock_guard lock(this->handlersMutex);
    --this->runningHandlers;
    if (this->runningHandlers == 0) {
        this->handlersIdle.notify_all();
    }
}

void PeerNetwork::Impl::stop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()]() {
        BoostError ignored;
        self->acceptor.close(ignored);
    });
    {
        const std::lock_guard lock(this->handshakingMutex);
        for (const auto &link : this->handshakingLinks) {
            link->close();
        }
        this->handshakingLinks.clear();
    }
    for (const auto &[id, record] : this->allRecords()) {
        std::map<std::uint64_t, PendingCall> calls;
        {
            const std::lock_guard lock(record->mutex);
            calls.swap(record->calls);
            for (const auto &link : record->links) {
                link->close();
            }
            if (record->dialing != nullptr) {
                record->dialing->close();
            }
            // The links hold references to this object, and the executor may stop before they
            // close.
            record->links.clear();
            record->dialing = nullptr;
        }
        for (const auto &[correlationId, pending] : calls) {
            pending.done(callError(ErrorCode::Unavailable, id, "this instance is stopping",
                                   cancelSend(pending)));
        }
    }
    std::unique_lock lock(this->handlersMutex);
    this->stopped = true;
    this->handlersIdle.wait(lock, [this]() { return this->runningHandlers == 0; });
}

PeerNetwork::PeerNetwork(Executor &executor, PeerNetworkSettings settings, PeerHandlers handlers)
    : impl(std::make_shared<Impl>(executor, std::move(settings), std::move(handlers)))
{
}

PeerNetwork::~PeerNetwork()
{
    this->stop();
}

Result<Address> PeerNetwork::start()
{
    return this->impl->listen();
}

void PeerNetwork::stop()
{
    this->impl->stop();
}

void PeerNetwork::setPeers(const std::map<InstanceId, Address> &peers)
{
    this->impl->setPeers(peers);
}

bool PeerNetwork::send(const InstanceId &to, std::string frame)
{
    return this->impl->send(to,
                            Frame{.kind = FrameKind::Message,
                                  .correlationId = 0,
                                  .payload = std::move(frame),
                                  .sendState = {}});
}

void PeerNetwork::call(const InstanceId &to, std::string frame, std::chrono::milliseconds deadline,
                       Callback done)
{
    this->impl->call(to, std::move(frame), deadline, std::move(done));
}

bool PeerNetwork::connected(const InstanceId &peer) const
{
    const std::shared_ptr<PeerRecord> record = this->impl->find(peer);
    if (record == nullptr) {
        return false;
    }
    const std::lock_guard lock(record->mutex);
    return !record->links.empty();
}

std::vector<PeerTraffic> PeerNetwork::traffic() const
{
    std::vector<PeerTraffic> all;
    for (const auto &[id, record] : this->impl->allRecords()) {
        const std::lock_guard lock(record->mutex);
        all.push_back(record->traffic);
        all.back().connected = !record->links.empty();
    }
    return all;
}

} // namespace gooseberry
