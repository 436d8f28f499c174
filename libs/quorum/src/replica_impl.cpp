#include "replica_impl.h"

#include <random>

#include "leader_lease.h"
#include "protocol.h"

namespace gooseberry {

namespace {

/** Messages beyond this queue length are dropped, which the protocol tolerates like packet loss. */
constexpr std::size_t maxQueuedEvents = 65536;

DiskId generateDiskId()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> distribution(1);
    return DiskId(distribution(device));
}

Error invalidSettings(const std::string &message)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Settings,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

} // namespace

Replica::Impl::Impl(ReplicaSettings initialSettings, StateMachine &initialMachine,
                    ReplicaTransport &initialTransport, const Clock &initialClock)
    : settings(std::move(initialSettings))
    , machine(initialMachine)
    , transport(initialTransport)
    , clock(initialClock)
    , storage(this->settings.dataFolder, this->settings.fileSystem)
    , applyLoop(this->machine, this->storage, this->settings.snapshotInterval)
{
}

Status Replica::Impl::checkSettings() const
{
    const auto &voters = this->settings.initialMembership.voters;
    if (this->settings.self.value.empty()) {
        return invalidSettings("the id of the replica is empty");
    }
    if (!this->settings.dataFolder
        && (voters.size() > 1 || (voters.size() == 1 && !voters.contains(this->settings.self)))) {
        return invalidSettings("a replica without a data folder must be the only voter");
    }
    if (this->settings.bootstrap && !voters.contains(this->settings.self)) {
        return invalidSettings("with bootstrap, the initial voters must include this replica");
    }
    // Followers must refuse to vote for at least as long as the lease that their replies extend.
    if (this->settings.leaderLease > this->settings.minElectionTimeout
        || this->settings.minElectionTimeout > this->settings.maxElectionTimeout
        || this->settings.heartbeatInterval <= std::chrono::milliseconds(0)
        || this->settings.heartbeatInterval >= this->settings.leaderLease) {
        return invalidSettings(
            "required: 0 < heartbeat interval < leader lease <= minimum election timeout "
            "<= maximum election timeout");
    }
    return Done{};
}

Status Replica::Impl::recover()
{
    auto recovered = this->storage.recover();
    if (!ok(recovered)) {
        return errorOf(recovered);
    }
    RecoveredState &found = valueOf(recovered);
    if (found.vote.disk == DiskId(0)) {
        found.vote.disk = generateDiskId();
        if (Status status = this->storage.saveVote(found.vote); !ok(status)) {
            return status;
        }
    }
    if (found.state) {
        if (Status status = this->machine.restore(*found.state); !ok(status)) {
            return status;
        }
    }
    ProtocolSettings &protocol = this->state.settings;
    protocol.self = this->settings.self;
    protocol.disk = found.vote.disk;
    protocol.bootstrap = this->settings.bootstrap;
    protocol.initialMembership = this->settings.initialMembership;
    if (!this->settings.dataFolder) {
        protocol.bootstrap = true;
        protocol.initialMembership.voters = {this->settings.self};
    }
    protocol.heartbeatInterval = this->settings.heartbeatInterval;
    protocol.leaderLease = this->settings.leaderLease;
    protocol.minElectionTimeout = this->settings.minElectionTimeout;
    protocol.maxElectionTimeout = this->settings.maxElectionTimeout;
    // Mixes in the id, so that replicas with equal seeds use different election timeouts.
    this->state.random.seed(static_cast<std::minstd_rand::result_type>(
        this->settings.seed ^ std::hash<std::string>{}(this->settings.self.value)));
    this->state.term = found.vote.term;
    this->state.votedFor = found.vote.votedFor;
    this->state.log = std::move(found.log);
    this->state.snapshot = std::move(found.snapshot);
    initialize(this->state, this->clock.steadyNow());
    return Done{};
}

Status Replica::Impl::start()
{
    Status status = this->checkSettings();
    if (ok(status)) {
        status = this->recover();
    }
    if (!ok(status)) {
        return status;
    }
    this->now = this->clock.steadyNow();
    this->publish();
    this->applyLoop.start(
        this->state.snapshot,
        {.snapshotTaken = [this](const SnapshotInfo &info) { this->post(SnapshotTaken{info}); },
         .failed = [this](const Error &error) { this->post(ApplyFailed{error}); }});
    // Processes one batch on this thread, so that a single voter accepts proposals as soon as
    // start() returns.
    std::vector<ReplicaEvent> none;
    this->processBatch(none);
    if (this->failure) {
        this->applyLoop.stop();
        return *this->failure;
    }
    {
        const std::lock_guard lock(this->inboxMutex);
        this->running = true;
    }
    this->thread = std::thread([this] { this->run(); });
    return Done{};
}

void Replica::Impl::stop()
{
    {
        const std::lock_guard lock(this->inboxMutex);
        this->running = false;
    }
    this->inboxChanged.notify_one();
    if (this->thread.joinable()) {
        this->thread.join();
        this->applyLoop.stop();
    }
}

void Replica::Impl::post(ReplicaEvent event)
{
    {
        const std::lock_guard lock(this->inboxMutex);
        if (this->running) {
            if (!std::holds_alternative<ReceivedMessage>(event)
                || this->inbox.size() < maxQueuedEvents) {
                this->inbox.push_back(std::move(event));
                this->inboxChanged.notify_one();
            }
            return;
        }
    }
    this->reject(event, this->unavailable("the replica is stopped", Outcome::NotRun));
}

void Replica::Impl::reject(ReplicaEvent &event, const Error &error)
{
    if (auto *const proposal = std::get_if<Proposal>(&event)) {
        proposal->failed(error);
    } else if (auto *const change = std::get_if<MembershipChange>(&event)) {
        change->done(error);
    } else if (auto *const transfer = std::get_if<TransferRequest>(&event)) {
        transfer->done(error);
    }
}

Error Replica::Impl::unavailable(const std::string &message, Outcome outcome) const
{
    return Error{.code = ErrorCode::Unavailable,
                 .step = Step::Commit,
                 .peer = this->settings.self.value,
                 .message = message,
                 .outcome = outcome};
}

bool Replica::Impl::holdsLease() const
{
    // The state machine may still act for an earlier term of this replica if the apply loop lags
    // behind. It then lacks what another leader has committed since.
    return this->clock.steadyNow() < SteadyTime(Duration(this->publishedLeaseEnd))
        && this->applyLoop.announcedTerm() == Term(this->publishedLeaseTerm);
}

ReplicaStatus Replica::Impl::status() const
{
    const std::lock_guard lock(this->statusMutex);
    ReplicaStatus status = this->published;
    status.applied = this->applyLoop.appliedIndex();
    return status;
}

void Replica::Impl::publish()
{
    const auto lease = this->failure ? std::nullopt : leaseEnd(this->state, this->now);
    // In this order: the end of a lease is never visible together with an earlier term.
    this->publishedLeaseTerm = this->state.term.value;
    this->publishedLeaseEnd = lease ? lease->time_since_epoch().count() : 0;
    const bool leads = this->state.role == Role::Leader && !this->failure;
    const std::lock_guard lock(this->statusMutex);
    this->published.leads = leads;
    this->published.term = this->state.term;
    this->published.leader = this->state.leader;
    this->published.leaderLastContact
        = leads ? lastQuorumRoundSentAt(this->state, this->now) : this->state.leaderLastContact;
    this->published.committed = this->state.commit;
    this->published.membership = currentMembership(this->state.log);
    this->published.disk = this->state.settings.disk;
    this->published.peers.clear();
    if (leads) {
        for (const auto &[id, peer] : this->state.leadership.peers) {
            this->published.peers[id] = PeerStatus{
                .lastContact = peer.lastContact, .caughtUp = peer.matchIndex >= this->state.commit};
        }
    }
    this->published.storageFull = this->storageFull;
    this->published.failure = this->failure;
}

} // namespace gooseberry
