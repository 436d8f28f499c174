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

/** How often a node with a log looks at its duties; a part of the replica's lease. */
constexpr std::chrono::milliseconds stepInterval{100};
constexpr std::chrono::milliseconds entryStepInterval{500};
/** A node without a log notices a change of leader within this and its link's silence limit. */
constexpr std::chrono::milliseconds beaconInterval{250};
/** Relayed beacons only lead a node to the leader, which then sends its own. */
constexpr std::chrono::milliseconds relayInterval{1000};

PeerNetworkSettings networkSettings(const NodeSettings &settings)
{
    PeerNetworkSettings network;
    network.listen = peerAddress(settings.host, settings.peerPort);
    network.self = peerId(network.listen);
    network.cellName = "cell";
    network.heartbeatInterval = std::chrono::milliseconds(300);
    network.silenceLimit = settings.linkSilence;
    network.maxReconnectDelay = std::chrono::milliseconds(500);
    network.seed = std::hash<std::string>{}(network.self.value);
    return network;
}

} // namespace

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
        bool leaderLinked = false;
        {
            const std::lock_guard lock(this->mutex);
            if (up) {
                leaderLinked = this->connected.insert(peer).second && peer == this->hint.leader;
                this->nextBeacon = SteadyTime{};
                this->nextRelay = SteadyTime{};
            } else {
                this->connected.erase(peer);
            }
        }
        if (leaderLinked) {
            this->askNewLeader(peer);
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
    std::set<std::shared_ptr<Question>> unanswered;
    {
        const std::lock_guard lock(this->mutex);
        this->stopped = true;
        unanswered.swap(this->openQuestions);
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
    bool leaderChanged = false;
    {
        const std::lock_guard lock(this->mutex);
        if (beacon.term < this->hint.term) {
            return;
        }
        leaderChanged = beacon.term > this->hint.term;
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
    if (leaderChanged) {
        this->askNewLeader(beacon.leader);
    }
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

} // namespace gooseberry
