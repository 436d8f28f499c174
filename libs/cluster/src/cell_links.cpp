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

/** How often a node with a log replica runs step(); a fraction of the replica's lease. */
constexpr std::chrono::milliseconds stepInterval{100};
constexpr std::chrono::milliseconds stepIntervalWithoutLog{500};
constexpr std::chrono::milliseconds watchInterval{500};
/**
 * A leader whose executor has run nothing for this long serves no caller although its lease goes
 * on. Longer than any step of work that only waits for the processor.
 */
constexpr std::chrono::milliseconds maxExecutorStall{3000};
/** A node without a log learns of a new leader within this and its links' silence limit. */
constexpr std::chrono::milliseconds beaconInterval{250};
/** Relayed beacons only let a node find the leader, which then sends its own. */
constexpr std::chrono::milliseconds relayInterval{1000};

PeerNetworkSettings networkSettings(const NodeSettings &settings)
{
    PeerNetworkSettings network;
    network.listen = peerAddress(settings.host, settings.peerPort);
    network.self = peerId(network.listen);
    network.cellName = "cell";
    network.heartbeatInterval = std::chrono::milliseconds(300);
    network.heartbeatTimeout = settings.linkSilence;
    network.maxReconnectDelay = std::chrono::milliseconds(500);
    network.seed = std::hash<std::string>{}(network.self.value);
    return network;
}

} // namespace

CellLinks::CellLinks(Executor &initialExecutor, Executor &initialLinkExecutor,
                     const Clock &initialClock, const NodeSettings &initialSettings,
                     RequestHandler initialServe)
    : executor(initialExecutor)
    , linkExecutor(initialLinkExecutor)
    , clock(initialClock)
    , settings(initialSettings)
    , ownId(peerId(peerAddress(initialSettings.host, initialSettings.peerPort)))
    , pauses(initialClock)
    , requests(*this, initialClock, std::move(initialServe))
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
                leaderLinked
                    = this->connected.insert(peer).second && peer == this->leaderInfo.leader;
                this->nextBeacon = SteadyTime{};
                this->nextRelay = SteadyTime{};
            } else {
                this->connected.erase(peer);
            }
            ++this->changesOfConnected;
        }
        if (leaderLinked) {
            this->executor.post([this, peer]() { this->requests.retryWithNewLeader(peer); });
        }
    };
    this->network = std::make_unique<PeerNetwork>(
        this->linkExecutor, networkSettings(this->settings), std::move(handlers));
}

void CellLinks::setReplica(Replica *initialReplica)
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
        this->logReplicas.insert(membership.voters.begin(), membership.voters.end());
        this->logReplicas.insert(membership.learners.begin(), membership.learners.end());
    }
    this->setSeeds(this->settings.seeds);
    this->scheduleStep();
    if (this->replica != nullptr) {
        this->watchExecutor();
    }
    return Done{};
}

void CellLinks::stop()
{
    this->requests.stop();
    std::map<std::uint64_t, PeerHandlers::Reply> unsent;
    {
        const std::lock_guard lock(this->mutex);
        this->stopped = true;
        unsent.swap(this->pendingReplies);
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
        wanted.insert(this->logReplicas.begin(), this->logReplicas.end());
        wanted.erase(this->ownId);
        for (const InstanceId &id : wanted) {
            const Result<Address> address = parseAddress(id.value);
            if (ok(address)) {
                peers.emplace(id, valueOf(address));
            }
        }
        if (peers == this->configuredPeers) {
            return;
        }
        this->configuredPeers = peers;
    }
    this->network->setPeers(peers);
}

const InstanceId &CellLinks::self() const
{
    return this->ownId;
}

void CellLinks::send(const InstanceId &to, QuorumMessage message)
{
    // The quorum protocol resends lost messages, so a full send queue needs no handling here.
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
            && now - status.leaderLastContact < leaderInfoLifetime) {
            return status.leader;
        }
    }
    const std::lock_guard lock(this->mutex);
    const bool fresh = now - this->leaderInfo.receivedAt < leaderInfoLifetime
        && this->leaderInfo.leader != this->ownId && !this->leaderInfo.leader.value.empty();
    return fresh ? std::optional(this->leaderInfo.leader) : std::nullopt;
}

std::optional<Address> CellLinks::leaderReportAddress() const
{
    const std::lock_guard lock(this->mutex);
    return this->clock.steadyNow() - this->leaderInfo.receivedAt < leaderInfoLifetime
        ? this->leaderInfo.reportAddress
        : std::nullopt;
}

bool CellLinks::pausedRecently() const
{
    return this->pauses.pausedRecently();
}

std::set<InstanceId> CellLinks::connectedNodes() const
{
    const std::lock_guard lock(this->mutex);
    return this->connected;
}

std::uint64_t CellLinks::connectionChanges() const
{
    return this->changesOfConnected;
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
        if (beacon.term < this->leaderInfo.term) {
            return;
        }
        leaderChanged = beacon.term > this->leaderInfo.term;
        this->lastBeacon = bytes;
        if (beacon.term != this->leaderInfo.term || beacon.logReplicas != this->logReplicas) {
            this->nextRelay = SteadyTime{};
        }
        if (beacon.leader != this->leaderInfo.leader) {
            spdlog::info("event=leader-known leader={} term={}", beacon.leader.value,
                         beacon.term.value);
        }
        this->leaderInfo = LeaderInfo{.leader = beacon.leader,
                                      .term = beacon.term,
                                      .receivedAt = this->clock.steadyNow(),
                                      .reportAddress = beacon.reportAddress,
                                      .voters = beacon.voters};
        this->logReplicas = beacon.logReplicas;
    }
    this->updatePeers();
    if (leaderChanged) {
        this->executor.post(
            [this, leader = beacon.leader]() { this->requests.retryWithNewLeader(leader); });
    }
}

void CellLinks::scheduleStep()
{
    this->executor.after(this->replica != nullptr ? stepInterval : stepIntervalWithoutLog,
                         [this]() {
                             {
                                 const std::lock_guard lock(this->mutex);
                                 if (this->stopped) {
                                     return;
                                 }
                                 this->lastStepAt = this->clock.steadyNow();
                             }
                             this->step();
                             this->scheduleStep();
                         });
}

void CellLinks::watchExecutor()
{
    this->linkExecutor.after(watchInterval, [this]() {
        this->pauses.tick();
        bool stalled = false;
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopped) {
                return;
            }
            stalled = this->lastStepAt != SteadyTime{}
                && this->clock.steadyNow() - this->lastStepAt > maxExecutorStall;
        }
        if (stalled && this->replica->holdsLease()) {
            spdlog::error("event=executor-stalled limit={}ms", maxExecutorStall.count());
            this->replica->transferLeadership([](const Status &result) {
                spdlog::info("event=leadership-handed-over done={}", ok(result));
            });
        }
        this->watchExecutor();
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
        this->transferLeadershipWhenDiskFull(status);
    } else {
        this->requestJoin(status);
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
            || now - this->leaderInfo.receivedAt >= leaderInfoLifetime) {
            return;
        }
        this->nextRelay = now + relayInterval;
        frame = beaconFrame + this->lastBeacon;
        for (const InstanceId &peer : this->connected) {
            if (!this->logReplicas.contains(peer)) {
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
                  .logReplicas = status.membership.voters,
                  .reportAddress = this->settings.listenControl};
    beacon.logReplicas.insert(status.membership.learners.begin(), status.membership.learners.end());
    for (const InstanceId &voter : status.membership.voters) {
        const auto disk = status.membership.disks.find(voter);
        beacon.voters[voter] = disk == status.membership.disks.end() ? DiskId(0) : disk->second;
    }
    {
        const std::lock_guard lock(this->mutex);
        const SteadyTime now = this->clock.steadyNow();
        if (status.term != this->ledTerm) {
            this->ledTerm = status.term;
            this->leadingSince = now;
            this->nextBeacon = now;
            this->joinRequests.clear();
        }
        this->leaderInfo = LeaderInfo{.leader = this->ownId,
                                      .term = status.term,
                                      .receivedAt = now,
                                      .reportAddress = beacon.reportAddress,
                                      .voters = beacon.voters};
        this->logReplicas = beacon.logReplicas;
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
