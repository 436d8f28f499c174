#include <control/control_instance.h>

#include <cmath>
#include <future>
#include <random>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

constexpr std::chrono::milliseconds startRequestDeadline{2000};
/** After this time the transfer is abandoned, and the other voters elect a leader themselves. */
constexpr std::chrono::seconds leadershipTransferTimeout{2};

std::uint64_t randomNumber()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>{1}(device);
}

ReplicaSettings replicaSettings(const Settings &settings)
{
    ReplicaSettings replica;
    replica.self = settings.id;
    replica.dataFolder = settings.dataFolder;
    replica.bootstrap = settings.bootstrap || settings.peers.empty();
    replica.initialMembership.voters.insert(settings.id);
    for (const PeerSettings &peer : settings.peers) {
        if (peer.voter) {
            replica.initialMembership.voters.insert(peer.id);
        }
    }
    replica.seed = randomNumber();
    return replica;
}

bool hasReplica(const Settings &settings)
{
    return settings.voter || settings.peers.empty();
}

/** Returns the sum over teams of |dominant share - fair share|. The fair share is the team's part,
 * by weight, of what is allocated.
 */
double shareDistance(const std::vector<TeamOverview> &teams)
{
    double allocated = 0.0;
    double totalWeight = 0.0;
    for (const TeamOverview &team : teams) {
        allocated += team.dominantShare;
        totalWeight += team.weight;
    }
    double distance = 0.0;
    for (const TeamOverview &team : teams) {
        const double fairShare = totalWeight > 0.0 ? allocated * team.weight / totalWeight : 0.0;
        distance += std::abs(team.dominantShare - fairShare);
    }
    return distance;
}

} // namespace

ControlInstance::ControlInstance(Settings initialSettings)
    : settings(std::move(initialSettings))
    , metrics([this]() { this->requestStep(); })
    , executor(settings.threads)
    , client(executor)
    , workerPort(client, startRequestDeadline)
    , log(state, clock, randomNumber())
    , coordinator(state, log, workerPort, clock, metrics, CoordinatorSettings{})
    , gateway(coordinator, state,
              GatewaySettings{.operatorToken = settings.operatorToken,
                              .workerToken = settings.workerToken})
    , network(executor, clock, settings,
              [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                  this->gateway.handle(request, respond);
              })
    , server(executor, HttpServerLimits{},
             [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                 this->handle(request, respond);
             })
{
    if (hasReplica(this->settings)) {
        this->replica = std::make_unique<Replica>(replicaSettings(this->settings), this->log,
                                                  this->network, this->clock);
    }
    this->log.connect(this->replica.get(), this->coordinator);
    this->network.setReplica(this->replica.get());
}

ControlInstance::~ControlInstance()
{
    this->stop();
}

Result<Address> ControlInstance::start()
{
    if (this->replica && !this->settings.dataFolder) {
        spdlog::warn(
            "event=no-data-folder instance={} message=\"state is lost when this process ends\"",
            this->settings.id.value);
    }
    if (this->replica) {
        if (Status started = this->replica->start(); !ok(started)) {
            return errorOf(started);
        }
    }
    if (!this->settings.peers.empty()) {
        if (Status started = this->network.start(); !ok(started)) {
            return errorOf(started);
        }
    }
    Result<Address> address = this->server.listen(this->settings.listen);
    if (ok(address)) {
        this->stepThread = std::thread([this]() { this->runStepLoop(); });
    }
    return address;
}

bool ControlInstance::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping) {
            return true;
        }
        this->stopping = true;
    }
    // Requests in flight need steps to finish, so stepping ends only after the server has drained.
    const bool drained = this->server.drain(this->settings.drainTimeout);
    this->transferLeadership();
    {
        const std::lock_guard lock(this->mutex);
        this->stepLoopStopped = true;
    }
    this->wake.notify_all();
    if (this->stepThread.joinable()) {
        this->stepThread.join();
    }
    this->network.stop();
    if (this->replica) {
        this->replica->stop();
    }
    this->executor.stop();
    return drained;
}

void ControlInstance::transferLeadership()
{
    if (!this->replica || !this->replica->holdsLease() || this->settings.peers.empty()) {
        return;
    }
    // Shared, since the callback may come after this function has stopped waiting.
    auto completion = std::make_shared<std::promise<Status>>();
    std::future<Status> result = completion->get_future();
    this->replica->transferLeadership(
        [completion](const Status &status) { completion->set_value(status); });
    const bool completed = result.wait_for(leadershipTransferTimeout) == std::future_status::ready;
    spdlog::info("event=leadership-handed-over instance={} done={}", this->settings.id.value,
                 completed && ok(result.get()));
}

void ControlInstance::handle(const HttpRequest &request, const HttpServer::Respond &respond)
{
    if (request.target == "/healthz") {
        respond(jsonResponse(200, "{}"));
    } else if (request.target == "/readyz") {
        respond(this->readiness());
    } else if (request.target == "/metrics") {
        HttpResponse response;
        response.headers["content-type"] = "text/plain; version=0.0.4";
        response.body = this->metrics.serialize(this->stats());
        respond(std::move(response));
    } else if (this->log.holdsLease()) {
        this->gateway.handle(request, respond);
    } else {
        this->network.forward(request, respond);
    }
}

HttpResponse ControlInstance::readiness()
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping) {
            return jsonResponse(503, R"({"reason":"stopping"})");
        }
    }
    if (!this->log.holdsLease() && !this->network.leader()) {
        return jsonResponse(503, R"({"reason":"no-leader"})");
    }
    return jsonResponse(200, "{}");
}

void ControlInstance::requestStep()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stepRequested = true;
    }
    this->wake.notify_one();
}

InstanceStats ControlInstance::stats()
{
    InstanceStats stats;
    stats.isLeader = this->log.holdsLease();
    stats.term = this->log.term();
    for (const Instance &instance : this->state.fleet().snapshot()) {
        ++stats.workers;
        stats.unreachableWorkers += instance.reachable ? 0 : 1;
        stats.capacity = add(stats.capacity, instance.spec.capacity).value_or(stats.capacity);
        stats.allocated = add(stats.allocated, instance.allocated).value_or(stats.allocated);
    }
    stats.shareDistance = shareDistance(this->coordinator.teamOverview());
    return stats;
}

void ControlInstance::runStepLoop()
{
    std::unique_lock lock(this->mutex);
    while (!this->stepLoopStopped) {
        this->wake.wait_for(lock, this->settings.stepInterval,
                            [this]() { return this->stepLoopStopped || this->stepRequested; });
        this->stepRequested = false;
        lock.unlock();
        this->coordinator.step();
        this->network.step();
        lock.lock();
    }
}

} // namespace gooseberry
