#include <cluster/cell_links.h>

#include <algorithm>

#include <protocol/protocol.h>
#include <spdlog/spdlog.h>

#include <cluster/membership_step.h>

#include "cluster_records.h"

namespace gooseberry {

namespace {

constexpr char quorumFrame = 'q';
constexpr char beaconFrame = 'b';
constexpr char joinFrame = 'j';
constexpr char answerFrame = 'y';
constexpr char refusalFrame = 'n';
/** Second byte of a request: whether the receiver may pass it on to the leader. */
constexpr char mayRelay = '0';
constexpr char relayed = '1';

/** How often a node with a log looks at its duties; a part of the replica's lease. */
constexpr std::chrono::milliseconds stepInterval{100};
constexpr std::chrono::milliseconds entryStepInterval{500};
/** A node without a log notices a change of leader within this and its link's silence limit. */
constexpr std::chrono::milliseconds beaconInterval{250};
/** Three beacons may be lost before the leader counts as unknown. */
constexpr std::chrono::milliseconds hintLifetime{1200};
/** Relayed beacons only lead a node to the leader, which then sends its own. */
constexpr std::chrono::milliseconds relayInterval{1000};
/** What a node that is asked in place of the leader waits for the leader's answer. */
constexpr std::chrono::milliseconds relayPatience{1500};
constexpr std::chrono::milliseconds joinInterval{300};
/** A node that has not asked to join for this long no longer does. */
constexpr std::chrono::milliseconds joinLifetime{1000};
/** The pause before the leader is asked again. */
constexpr std::chrono::milliseconds askPause{40};

Error linkError(ErrorCode code, const std::string &message, Outcome outcome)
{
    return Error{
        .code = code, .step = Step::Forward, .peer = {}, .message = message, .outcome = outcome};
}

PeerNetworkSettings networkSettings(const NodeSettings &settings)
{
    PeerNetworkSettings network;
    network.listen = peerAddress(settings.host, settings.peerPort);
    network.self = peerId(network.listen);
    network.cellName = "cell";
    network.heartbeatInterval = std::chrono::milliseconds(300);
    network.silenceLimit = std::chrono::milliseconds(1000);
    network.maxReconnectDelay = std::chrono::milliseconds(500);
    network.seed = std::hash<std::string>{}(network.self.value);
    return network;
}

} // namespace

/** A request to the leader that has not been answered. */
struct CellLinks::Question
{
    RequestKind kind = RequestKind::Caller;
    std::string request;
    SteadyTime deadline;
    std::function<void(Result<std::string>)> done;
    Outcome outcome = Outcome::NotRun;
};

CellLinks::CellLinks(Executor &initialExecutor, const Clock &initialClock,
                     const NodeSettings &initialSettings, ServeRequest initialServe)
    : executor(initialExecutor)
    , clock(initialClock)
    , settings(initialSettings)
    , ownId(peerId(peerAddress(initialSettings.host, initialSettings.peerPort)))
    , serve(std::move(initialServe))
{
    PeerHandlers handlers;
    handlers.onFrame
        = [this](const InstanceId &from, const std::string &frame) { this->onFrame(from, frame); };
    handlers.onRequest
        = [this](const InstanceId & /*from*/, const std::string &frame,
                 const PeerHandlers::Reply &reply) { this->onRequest(frame, reply); };
    handlers.onLink = [this](const InstanceId &peer, bool /*up*/) {
        const bool up = this->network->connected(peer);
        spdlog::info("event=link-changed peer={} connected={}", peer.value, up);
        const std::lock_guard lock(this->mutex);
        if (up) {
            this->connected.insert(peer);
            this->nextBeacon = SteadyTime{};
            this->nextRelay = SteadyTime{};
        } else {
            this->connected.erase(peer);
        }
    };
    this->network = std::make_unique<PeerNetwork>(this->executor, networkSettings(this->settings),
                                                  std::move(handlers));
}

void CellLinks::connect(Replica *initialReplica)
{
    this->replica = initialReplica;
}

Status CellLinks::start()
{
    const Result<Address> listening = this->network->start();
    if (!ok(listening)) {
        return errorOf(listening);
    }
    if (this->replica != nullptr) {
        const Membership membership = this->replica->status().membership;
        const std::lock_guard lock(this->mutex);
        this->keepers.insert(membership.voters.begin(), membership.voters.end());
        this->keepers.insert(membership.learners.begin(), membership.learners.end());
    }
    this->setSeeds(this->settings.seeds);
    this->scheduleStep();
    return Done{};
}

void CellLinks::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopped = true;
    }
    this->network->stop();
}

void CellLinks::setSeeds(const std::vector<Address> &seeds)
{
    {
        const std::lock_guard lock(this->mutex);
        this->seedIds.clear();
        for (const Address &seed : seeds) {
            this->seedIds.insert(peerId(peerAddress(seed.host, this->settings.peerPort)));
        }
    }
    this->updatePeers();
}

void CellLinks::updatePeers()
{
    std::map<InstanceId, Address> peers;
    {
        const std::lock_guard lock(this->mutex);
        std::set<InstanceId> wanted = this->seedIds;
        wanted.insert(this->keepers.begin(), this->keepers.end());
        wanted.erase(this->ownId);
        for (const InstanceId &id : wanted) {
            const Result<Address> address = parseAddress(id.value);
            if (ok(address)) {
                peers.emplace(id, valueOf(address));
            }
        }
        if (peers == this->dialled) {
            return;
        }
        this->dialled = peers;
    }
    this->network->setPeers(peers);
}

const InstanceId &CellLinks::self() const
{
    return this->ownId;
}

void CellLinks::send(const InstanceId &to, QuorumMessage message)
{
    // A lost message is sent again by the protocol, so a full queue needs no handling here.
    this->network->send(to, quorumFrame + encode(message));
}

std::optional<InstanceId> CellLinks::leader() const
{
    const SteadyTime now = this->clock.steadyNow();
    if (this->replica != nullptr) {
        if (this->replica->holdsLease()) {
            return this->ownId;
        }
        const ReplicaStatus status = this->replica->status();
        if (status.leader && *status.leader != this->ownId
            && now - status.leaderHeardAt < hintLifetime) {
            return status.leader;
        }
    }
    const std::lock_guard lock(this->mutex);
    const bool fresh = now - this->hint.heardAt < hintLifetime && this->hint.leader != this->ownId
        && !this->hint.leader.value.empty();
    return fresh ? std::optional(this->hint.leader) : std::nullopt;
}

std::optional<Address> CellLinks::leaderReports() const
{
    const std::lock_guard lock(this->mutex);
    return this->clock.steadyNow() - this->hint.heardAt < hintLifetime ? this->hint.reports
                                                                       : std::nullopt;
}

std::set<InstanceId> CellLinks::connectedNodes() const
{
    const std::lock_guard lock(this->mutex);
    return this->connected;
}

void CellLinks::askLeader(RequestKind kind, std::string request, SteadyTime deadline,
                          std::function<void(Result<std::string>)> done)
{
    auto question = std::make_shared<Question>();
    question->kind = kind;
    question->request = std::move(request);
    question->deadline = deadline;
    question->done = std::move(done);
    this->attempt(question);
}

void CellLinks::attempt(const std::shared_ptr<Question> &question)
{
    if (this->replica != nullptr && this->replica->holdsLease()) {
        this->serve(question->kind, question->request,
                    [this, question](Result<std::string> result) {
                        this->answered(question, std::move(result));
                    });
        return;
    }
    const std::optional<InstanceId> target = this->nextHop();
    if (!target) {
        this->answered(question,
                       linkError(ErrorCode::NotLeader, "no leader is known", Outcome::NotRun));
        return;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        question->deadline - this->clock.steadyNow());
    this->askNode(*target, question->kind, question->request,
                  std::max(left, std::chrono::milliseconds(1)),
                  [this, question](Result<std::string> result) {
                      this->answered(question, std::move(result));
                  });
}

void CellLinks::answered(const std::shared_ptr<Question> &question, Result<std::string> result)
{
    if (ok(result)) {
        question->done(std::move(result));
        return;
    }
    if (errorOf(result).outcome == Outcome::Unknown) {
        question->outcome = Outcome::Unknown;
    }
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopped) {
            return;
        }
    }
    if (this->clock.steadyNow() + askPause >= question->deadline) {
        Error error = errorOf(result);
        error.outcome = question->outcome;
        question->done(error);
        return;
    }
    this->executor.after(askPause, [this, question]() { this->attempt(question); });
}

std::optional<InstanceId> CellLinks::nextHop()
{
    std::optional<InstanceId> known = this->leader();
    const std::lock_guard lock(this->mutex);
    if (known && this->connected.contains(*known)) {
        return known;
    }
    std::vector<InstanceId> others;
    for (const InstanceId &keeper : this->keepers) {
        if (keeper != this->ownId && this->connected.contains(keeper)) {
            others.push_back(keeper);
        }
    }
    if (others.empty()) {
        return std::nullopt;
    }
    return others[this->lastHop++ % others.size()];
}

void CellLinks::askNode(const InstanceId &node, RequestKind kind, const std::string &request,
                        std::chrono::milliseconds patience,
                        std::function<void(Result<std::string>)> done)
{
    this->call(node, std::string{static_cast<char>(kind), mayRelay} + request, patience,
               std::move(done));
}

void CellLinks::call(const InstanceId &node, const std::string &frame,
                     std::chrono::milliseconds patience,
                     std::function<void(Result<std::string>)> done)
{
    this->network->call(
        node, frame, patience, [done = std::move(done), node](const Result<std::string> &result) {
            if (!ok(result)) {
                done(errorOf(result));
                return;
            }
            const std::string &answer = valueOf(result);
            if (!answer.empty() && answer.front() == answerFrame) {
                done(answer.substr(1));
                return;
            }
            const bool unknown = answer == std::string{refusalFrame, 'u'};
            Error error = linkError(ErrorCode::NotLeader, "the node refused the request",
                                    unknown ? Outcome::Unknown : Outcome::NotRun);
            error.peer = node.value;
            done(error);
        });
}

void CellLinks::onRequest(const std::string &frame, const PeerHandlers::Reply &reply)
{
    if (frame.size() < 2) {
        reply(std::string{refusalFrame});
        return;
    }
    const auto answer = [reply](const Result<std::string> &result) {
        if (ok(result)) {
            reply(answerFrame + valueOf(result));
        } else if (errorOf(result).outcome == Outcome::Unknown) {
            reply(std::string{refusalFrame, 'u'});
        } else {
            reply(std::string{refusalFrame});
        }
    };
    const auto kind = static_cast<RequestKind>(frame.front());
    const bool leads = this->replica != nullptr && this->replica->holdsLease();
    if (kind != RequestKind::Advice && !leads && frame[1] == mayRelay) {
        const std::optional<InstanceId> known = this->leader();
        if (known && *known != this->ownId) {
            std::string passedOn = frame;
            passedOn[1] = relayed;
            this->call(*known, passedOn, relayPatience, answer);
            return;
        }
    }
    this->serve(kind, frame.substr(2), answer);
}

void CellLinks::onFrame(const InstanceId &from, const std::string &frame)
{
    if (frame.empty()) {
        return;
    }
    const std::string bytes = frame.substr(1);
    if (frame.front() == quorumFrame) {
        Result<QuorumMessage> message = decodeQuorumMessage(bytes);
        if (ok(message) && this->replica != nullptr) {
            this->replica->receive(from, std::move(valueOf(message)));
        } else if (!ok(message)) {
            spdlog::warn("event=frame-not-readable from={} {}", from.value,
                         describe(errorOf(message)));
        }
    } else if (frame.front() == beaconFrame) {
        this->onBeacon(bytes);
    } else if (frame.front() == joinFrame) {
        this->onJoin(bytes);
    } else {
        spdlog::warn("event=frame-not-known from={} kind={}", from.value,
                     static_cast<int>(frame.front()));
    }
}

void CellLinks::onBeacon(const std::string &bytes)
{
    const Result<Beacon> decoded = decodeRecord<Beacon>(bytes);
    if (!ok(decoded)) {
        spdlog::warn("event=beacon-not-readable {}", describe(errorOf(decoded)));
        return;
    }
    const Beacon &beacon = valueOf(decoded);
    {
        const std::lock_guard lock(this->mutex);
        if (beacon.term < this->hint.term) {
            return;
        }
        this->lastBeacon = bytes;
        if (beacon.term != this->hint.term || beacon.keepers != this->keepers) {
            this->nextRelay = SteadyTime{};
        }
        if (beacon.leader != this->hint.leader) {
            spdlog::info("event=leader-known leader={} term={}", beacon.leader.value,
                         beacon.term.value);
        }
        this->hint = Hint{.leader = beacon.leader,
                          .term = beacon.term,
                          .heardAt = this->clock.steadyNow(),
                          .reports = beacon.reports,
                          .voters = beacon.voters};
        this->keepers = beacon.keepers;
    }
    this->updatePeers();
}

void CellLinks::onJoin(const std::string &bytes)
{
    const Result<JoinRequest> decoded = decodeRecord<JoinRequest>(bytes);
    if (!ok(decoded)) {
        spdlog::warn("event=join-not-readable {}", describe(errorOf(decoded)));
        return;
    }
    const std::lock_guard lock(this->mutex);
    this->joining[valueOf(decoded).node]
        = Joining{.disk = valueOf(decoded).disk, .askedAt = this->clock.steadyNow()};
}

void CellLinks::scheduleStep()
{
    this->executor.after(this->replica != nullptr ? stepInterval : entryStepInterval, [this]() {
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopped) {
                return;
            }
        }
        this->step();
        this->scheduleStep();
    });
}

void CellLinks::step()
{
    if (this->replica == nullptr) {
        return;
    }
    const ReplicaStatus status = this->replica->status();
    if (this->replica->holdsLease()) {
        this->sendBeacons(status);
        this->repairMembership(status);
        this->handOverWhenFull(status);
    } else {
        this->askToJoin(status);
        this->relayBeacon();
    }
}

void CellLinks::relayBeacon()
{
    std::vector<InstanceId> receivers;
    std::string frame;
    {
        const std::lock_guard lock(this->mutex);
        const SteadyTime now = this->clock.steadyNow();
        if (now < this->nextRelay || this->lastBeacon.empty()
            || now - this->hint.heardAt >= hintLifetime) {
            return;
        }
        this->nextRelay = now + relayInterval;
        frame = beaconFrame + this->lastBeacon;
        for (const InstanceId &peer : this->connected) {
            if (!this->keepers.contains(peer)) {
                receivers.push_back(peer);
            }
        }
    }
    for (const InstanceId &receiver : receivers) {
        this->network->send(receiver, frame);
    }
}

void CellLinks::sendBeacons(const ReplicaStatus &status)
{
    std::set<InstanceId> receivers;
    Beacon beacon{.leader = this->ownId,
                  .term = status.term,
                  .voters = {},
                  .keepers = status.membership.voters,
                  .reports = this->settings.listenControl};
    beacon.keepers.insert(status.membership.learners.begin(), status.membership.learners.end());
    for (const InstanceId &voter : status.membership.voters) {
        const auto disk = status.membership.disks.find(voter);
        beacon.voters[voter] = disk == status.membership.disks.end() ? DiskId(0) : disk->second;
    }
    {
        const std::lock_guard lock(this->mutex);
        const SteadyTime now = this->clock.steadyNow();
        if (status.term != this->ledTerm) {
            this->ledTerm = status.term;
            this->ledSince = now;
            this->nextBeacon = now;
            this->joining.clear();
        }
        this->hint = Hint{.leader = this->ownId,
                          .term = status.term,
                          .heardAt = now,
                          .reports = beacon.reports,
                          .voters = beacon.voters};
        this->keepers = beacon.keepers;
        if (now < this->nextBeacon) {
            return;
        }
        this->nextBeacon = now + beaconInterval;
        receivers = this->connected;
    }
    this->updatePeers();
    const std::string frame = beaconFrame + encodeRecord(beacon);
    for (const InstanceId &receiver : receivers) {
        this->network->send(receiver, frame);
    }
}

void CellLinks::askToJoin(const ReplicaStatus &status)
{
    InstanceId leader;
    {
        const std::lock_guard lock(this->mutex);
        const SteadyTime now = this->clock.steadyNow();
        const auto counted = this->hint.voters.find(this->ownId);
        const bool votes = counted != this->hint.voters.end() && counted->second == status.disk;
        if (now - this->hint.heardAt >= hintLifetime || votes || now < this->nextJoin) {
            return;
        }
        this->nextJoin = now + joinInterval;
        leader = this->hint.leader;
    }
    this->network->send(
        leader, joinFrame + encodeRecord(JoinRequest{.node = this->ownId, .disk = status.disk}));
}

void CellLinks::handOverWhenFull(const ReplicaStatus &status)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->handOverUnderWay || !shouldHandOver(status)) {
            return;
        }
        this->handOverUnderWay = true;
    }
    spdlog::warn("event=disk-full term={} action=hand-over", status.term.value);
    this->replica->transferLeadership([this](const Status &result) {
        spdlog::info("event=leadership-handed-over done={}", ok(result));
        const std::lock_guard lock(this->mutex);
        this->handOverUnderWay = false;
    });
}

void CellLinks::repairMembership(const ReplicaStatus &status)
{
    MembershipView view{.self = this->ownId,
                        .membership = status.membership,
                        .peers = status.peers,
                        .joining = {},
                        .target = this->settings.voters,
                        .replaceAfter = std::chrono::milliseconds(1200),
                        .termBegan = {},
                        .now = this->clock.steadyNow()};
    {
        const std::lock_guard lock(this->mutex);
        if (this->changeUnderWay) {
            return;
        }
        view.termBegan = this->ledSince;
        std::erase_if(this->joining, [&](const auto &entry) {
            return view.now - entry.second.askedAt > joinLifetime;
        });
        for (const auto &[node, asked] : this->joining) {
            view.joining.emplace(node, asked.disk);
        }
    }
    const std::optional<MembershipStep> next = nextMembershipStep(view);
    if (!next) {
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->changeUnderWay = true;
    }
    spdlog::info("event=membership-change action={} node={} voters={} learners={}",
                 static_cast<int>(next->action), next->node.value, status.membership.voters.size(),
                 status.membership.learners.size());
    const auto done = [this, node = next->node](const Status &result) {
        if (!ok(result)) {
            spdlog::info("event=membership-unchanged node={} {}", node.value,
                         describe(errorOf(result)));
        }
        const std::lock_guard lock(this->mutex);
        this->changeUnderWay = false;
    };
    switch (next->action) {
    case MembershipAction::AddLearner:
        this->replica->addLearner(next->node, done);
        break;
    case MembershipAction::Promote:
        this->replica->promoteLearner(next->node, done);
        break;
    case MembershipAction::Remove:
        this->replica->remove(next->node, done);
        break;
    }
}

} // namespace gooseberry
