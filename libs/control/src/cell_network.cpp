#include <control/cell_network.h>

#include <gateway/gateway.h>
#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/** An instance without contact to the leader for this long stops forwarding requests. */
constexpr std::chrono::seconds leaderContactTimeout{2};
/** A voter sends hints only about a leader whose last contact is more recent than this. */
constexpr std::chrono::seconds maxHintAge{1};
constexpr std::chrono::milliseconds hintInterval{500};
constexpr std::chrono::seconds forwardDeadline{10};
/** Longer than the longest wait that a caller may ask for. */
constexpr std::chrono::seconds waitingForwardDeadline{65};

Error forwardError(ErrorCode code, const std::string &peer, const std::string &message,
                   Outcome outcome)
{
    return Error{
        .code = code, .step = Step::Forward, .peer = peer, .message = message, .outcome = outcome};
}

/** Returns whether the contact is younger than maxAge; a time never set is the earliest one. */
bool isRecent(SteadyTime lastContact, std::chrono::seconds maxAge, SteadyTime now)
{
    // The difference to the earliest time would overflow; the sum does not.
    return now < lastContact + maxAge;
}

std::chrono::seconds deadlineFor(const HttpRequest &request)
{
    const bool waits
        = request.method == "POST" && request.target.find("wait=") != std::string::npos;
    return waits ? waitingForwardDeadline : forwardDeadline;
}

PeerNetworkSettings networkSettings(const Settings &settings)
{
    PeerNetworkSettings network;
    network.self = settings.id;
    network.cellName = settings.cell;
    network.listen = settings.peerListen.value_or(Address{});
    for (const PeerSettings &peer : settings.peers) {
        if (peer.id != settings.id) {
            network.peers[peer.id] = peer.address;
        }
    }
    return network;
}

} // namespace

CellNetwork::CellNetwork(Executor &initialExecutor, const Clock &initialClock,
                         const Settings &initialSettings, ForwardHandler initialHandler)
    : clock(initialClock)
    , handleForward(std::move(initialHandler))
    , network(
          initialExecutor, networkSettings(initialSettings),
          PeerHandlers{.onFrame = [this](const InstanceId &from,
                                         const std::string &frame) { this->onFrame(from, frame); },
                       // Replies are matched by ForwardId, since they may take a minute.
                       .onRequest = {},
                       .onLink =
                           [](const InstanceId &peer, bool connected) {
                               spdlog::info("event=link-changed peer={} connected={}", peer.value,
                                            connected);
                           }})
{
    for (const PeerSettings &peer : initialSettings.peers) {
        if (!peer.voter && peer.id != initialSettings.id) {
            this->nonVoters.push_back(peer.id);
        }
    }
}

void CellNetwork::setReplica(Replica *initialReplica)
{
    this->replica = initialReplica;
}

Result<Done> CellNetwork::start()
{
    const Result<Address> address = this->network.start();
    return ok(address) ? Result<Done>(Done{}) : Result<Done>(errorOf(address));
}

void CellNetwork::stop()
{
    this->network.stop();
}

void CellNetwork::send(const InstanceId &to, QuorumMessage message)
{
    // A lost message is sent again by the protocol, so a full queue needs no handling here.
    this->network.send(to, encode(PeerMessage(std::move(message))));
}

void CellNetwork::forward(const HttpRequest &request, const HttpServer::Respond &respond)
{
    const std::optional<InstanceId> target = this->leader();
    if (!target) {
        respond(errorResponse(
            forwardError(ErrorCode::NotLeader, {}, "no leader is known", Outcome::NotRun)));
        return;
    }
    const ForwardId id(++this->lastForward);
    const std::chrono::seconds deadline = deadlineFor(request);
    {
        Shard &shard = this->shardOf(id);
        const std::lock_guard lock(shard.mutex);
        shard.forwards.emplace(id,
                               PendingForward{.leader = *target,
                                              .deadline = this->clock.steadyNow() + deadline,
                                              .respond = respond});
    }
    const PeerMessage message(Forward{.id = id, .deadline = deadline, .request = request});
    if (this->network.send(*target, encode(message))) {
        return;
    }
    if (const auto pending = this->takeForward(id)) {
        pending->respond(
            errorResponse(forwardError(ErrorCode::Unavailable, target->value,
                                       "the leader can't be reached", Outcome::NotRun)));
    }
}

std::optional<InstanceId> CellNetwork::leader() const
{
    const SteadyTime now = this->clock.steadyNow();
    if (this->replica != nullptr) {
        const ReplicaStatus status = this->replica->status();
        const bool isKnown = isRecent(status.leaderLastContact, leaderContactTimeout, now);
        return isKnown ? status.leader : std::nullopt;
    }
    const std::lock_guard lock(this->hintMutex);
    return isRecent(this->hint.receivedAt, leaderContactTimeout, now) ? this->hint.leader
                                                                      : std::nullopt;
}

void CellNetwork::step()
{
    const SteadyTime now = this->clock.steadyNow();
    this->sendLeaderHints(now);
    this->failStaleForwards(now);
}

void CellNetwork::sendLeaderHints(SteadyTime now)
{
    if (this->replica == nullptr || this->nonVoters.empty()) {
        return;
    }
    {
        const std::lock_guard lock(this->hintMutex);
        if (now < this->nextHintTime) {
            return;
        }
        this->nextHintTime = now + hintInterval;
    }
    const ReplicaStatus status = this->replica->status();
    if (!status.leader || !isRecent(status.leaderLastContact, maxHintAge, now)) {
        return;
    }
    const std::string frame
        = encode(PeerMessage(LeaderHint{.leader = status.leader, .term = status.term}));
    for (const InstanceId &id : this->nonVoters) {
        this->network.send(id, frame);
    }
}

void CellNetwork::failStaleForwards(SteadyTime now)
{
    const std::optional<InstanceId> current = this->leader();
    std::vector<PendingForward> stale;
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto it = shard.forwards.begin(); it != shard.forwards.end();) {
            // A request that went to a former leader gets no reply; its caller can ask again.
            if (it->second.deadline <= now || it->second.leader != current) {
                stale.push_back(std::move(it->second));
                it = shard.forwards.erase(it);
            } else {
                ++it;
            }
        }
    }
    for (const PendingForward &pending : stale) {
        pending.respond(
            errorResponse(forwardError(ErrorCode::DeadlineExceeded, pending.leader.value,
                                       "no reply from the leader", Outcome::Unknown)));
    }
}

void CellNetwork::onFrame(const InstanceId &from, const std::string &frame)
{
    Result<PeerMessage> message = decodePeerMessage(frame);
    if (!ok(message)) {
        spdlog::warn("event=frame-not-readable from={} {}", from.value, describe(errorOf(message)));
        return;
    }
    std::visit(
        [this, &from](auto &&content) {
            this->onMessage(from, std::forward<decltype(content)>(content));
        },
        std::move(valueOf(message)));
}

void CellNetwork::onMessage(const InstanceId &from, QuorumMessage &&message)
{
    if (this->replica != nullptr) {
        this->replica->receive(from, std::move(message));
    }
}

void CellNetwork::onMessage(const InstanceId &from, Forward &&message)
{
    const ForwardId id = message.id;
    if (this->replica == nullptr || !this->replica->holdsLease()) {
        const Error error
            = forwardError(ErrorCode::NotLeader, {}, "the instance does not lead", Outcome::NotRun);
        this->network.send(from, encode(PeerMessage(ForwardReply{.id = id, .result = error})));
        return;
    }
    this->handleForward(message.request, [this, from, id](HttpResponse response) {
        this->network.send(
            from, encode(PeerMessage(ForwardReply{.id = id, .result = std::move(response)})));
    });
}

void CellNetwork::onMessage(const InstanceId & /*from*/, ForwardReply &&message)
{
    // A reply that arrives after its request was failed has no pending entry and is dropped.
    if (const auto pending = this->takeForward(message.id)) {
        pending->respond(ok(message.result) ? std::move(valueOf(message.result))
                                            : errorResponse(errorOf(message.result)));
    }
}

void CellNetwork::onMessage(const InstanceId & /*from*/, LeaderHint &&message)
{
    const std::lock_guard lock(this->hintMutex);
    if (message.term >= this->hint.term) {
        this->hint = ReceivedHint{
            .leader = message.leader, .term = message.term, .receivedAt = this->clock.steadyNow()};
    }
}

CellNetwork::Shard &CellNetwork::shardOf(const ForwardId &id)
{
    return this->shards.at(id.value % shardCount);
}

std::optional<CellNetwork::PendingForward> CellNetwork::takeForward(const ForwardId &id)
{
    Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.forwards.find(id);
    if (found == shard.forwards.end()) {
        return std::nullopt;
    }
    PendingForward pending = std::move(found->second);
    shard.forwards.erase(found);
    return pending;
}

} // namespace gooseberry
