#include <algorithm>

#include "peer_network_impl.h"

// Implementation of the LinkListener callbacks.

namespace gooseberry {

namespace {

/** Maximum links with one peer: one per direction, and one that replaces a dead link. */
constexpr std::size_t maxLinksPerPeer = 3;

} // namespace

bool PeerNetwork::Impl::linkIdentified(const std::shared_ptr<Link> &link, const InstanceId &peer)
{
    {
        const std::lock_guard lock(this->handshakingMutex);
        this->handshakingLinks.erase(link);
    }
    return !this->stopping.load() && this->findOrAdd(peer) != nullptr;
}

void PeerNetwork::Impl::linkReady(const std::shared_ptr<Link> &link)
{
    const std::shared_ptr<PeerRecord> record = this->findOrAdd(link->peer());
    if (record == nullptr) {
        link->close();
        return;
    }
    bool first = false;
    {
        const std::lock_guard lock(record->mutex);
        if (this->stopping.load()) {
            link->close();
            return;
        }
        if (record->dialing == link) {
            record->dialing = nullptr;
        }
        record->reconnectDelay = std::chrono::milliseconds(0);
        ++record->traffic.linksOpened;
        first = record->links.empty();
        record->links.push_back(link);
        if (record->links.size() > maxLinksPerPeer) {
            record->links.front()->close();
        }
    }
    if (first && this->handlers.onLink) {
        this->runHandler([&]() { this->handlers.onLink(link->peer(), true); });
    }
}

void PeerNetwork::Impl::linkReceived(const std::shared_ptr<Link> &link, Frame frame)
{
    const InstanceId from = link->peer();
    if (frame.kind == FrameKind::Reply) {
        this->handleReply(from, std::move(frame));
        return;
    }
    if (frame.kind == FrameKind::Message) {
        if (this->handlers.onFrame) {
            this->runHandler([&]() { this->handlers.onFrame(from, std::move(frame.payload)); });
        }
        return;
    }
    if (!this->handlers.onRequest) {
        return;
    }
    const auto reply = [self = this->shared_from_this(), from,
                        correlationId = frame.correlationId](std::string payload) {
        self->send(from,
                   Frame{.kind = FrameKind::Reply,
                         .correlationId = correlationId,
                         .payload = std::move(payload),
                         .sendState = {}});
    };
    this->runHandler([&]() { this->handlers.onRequest(from, std::move(frame.payload), reply); });
}

void PeerNetwork::Impl::handleReply(const InstanceId &from, Frame frame)
{
    const std::shared_ptr<PeerRecord> record = this->find(from);
    PendingCall answered;
    {
        const std::lock_guard lock(record->mutex);
        const auto found = record->calls.find(frame.correlationId);
        // The call may have timed out already.
        if (found == record->calls.end()) {
            return;
        }
        answered = std::move(found->second);
        record->calls.erase(found);
        this->beginCallback();
    }
    answered.timer->cancel();
    answered.done(std::move(frame.payload));
    this->endCallback();
}

void PeerNetwork::Impl::linkClosed(const std::shared_ptr<Link> &link)
{
    {
        const std::lock_guard lock(this->handshakingMutex);
        this->handshakingLinks.erase(link);
    }
    const InstanceId peer = link->peer();
    const std::shared_ptr<PeerRecord> record = this->find(peer);
    if (record == nullptr) {
        return;
    }
    std::vector<PendingCall> lost;
    bool last = false;
    {
        const std::lock_guard lock(record->mutex);
        if (record->dialing == link) {
            record->dialing = nullptr;
        }
        last = std::erase(record->links, link) > 0 && record->links.empty();
        for (auto call = record->calls.begin(); call != record->calls.end();) {
            if (call->second.link == link) {
                lost.push_back(std::move(call->second));
                this->beginCallback();
                call = record->calls.erase(call);
            } else {
                ++call;
            }
        }
    }
    for (const PendingCall &call : lost) {
        call.timer->cancel();
        const Error error{.code = ErrorCode::Unavailable,
                          .step = Step::Forward,
                          .peer = peer.value,
                          .message = "the link to the peer was lost",
                          .outcome = cancelSend(call)};
        call.done(error);
        this->endCallback();
    }
    if (last && this->handlers.onLink) {
        this->runHandler([&]() { this->handlers.onLink(peer, false); });
    }
    this->scheduleDial(peer, record);
}

void PeerNetwork::Impl::linkWrote(const Link &link, std::uint64_t frames, Bytes bytes)
{
    const std::shared_ptr<PeerRecord> record = this->find(link.peer());
    if (record != nullptr) {
        const std::lock_guard lock(record->mutex);
        record->traffic.framesSent += frames;
        record->traffic.bytesSent.value += bytes.value;
    }
}

void PeerNetwork::Impl::linkRead(const Link &link, Bytes bytes)
{
    const std::shared_ptr<PeerRecord> record = this->find(link.peer());
    if (record != nullptr) {
        const std::lock_guard lock(record->mutex);
        ++record->traffic.framesReceived;
        record->traffic.bytesReceived.value += bytes.value;
    }
}

} // namespace gooseberry
