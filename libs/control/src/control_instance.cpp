#include <control/control_instance.h>

#include <cmath>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

constexpr std::chrono::milliseconds startDeadline{2000};

/** Returns the sum over teams of |got - entitled|, entitled being the team's part of what is used.
 */
double shareDistance(const std::vector<TeamOverview> &teams)
{
    double used = 0.0;
    double weights = 0.0;
    for (const TeamOverview &team : teams) {
        used += team.dominantShare;
        weights += team.weight;
    }
    double distance = 0.0;
    for (const TeamOverview &team : teams) {
        const double entitled = weights > 0.0 ? used * team.weight / weights : 0.0;
        distance += std::abs(team.dominantShare - entitled);
    }
    return distance;
}

} // namespace

ControlInstance::ControlInstance(Settings initialSettings)
    : settings(std::move(initialSettings))
    , metrics([this]() { this->wakeStepper(); })
    , executor(settings.threads)
    , client(executor)
    , workerPort(client, startDeadline)
    , log(state, clock)
    , coordinator(state, log, workerPort, clock, metrics, CoordinatorSettings{})
    , gateway(coordinator, state,
              GatewaySettings{.operatorToken = settings.operatorToken,
                              .workerToken = settings.workerToken})
    , server(executor, HttpServerLimits{},
             [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                 this->handle(request, respond);
             })
{
}

ControlInstance::~ControlInstance()
{
    this->stop();
}

Result<Address> ControlInstance::start()
{
    spdlog::warn("event=no-data-folder instance={} message=\"nothing survives this process\"",
                 this->settings.id.value);
    this->coordinator.beginTerm(this->log.term());
    Result<Address> address = this->server.listen(this->settings.listen);
    if (ok(address)) {
        this->stepper = std::thread([this]() { this->runSteps(); });
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
    const bool drained = this->server.drain(this->settings.drainPatience);
    {
        const std::lock_guard lock(this->mutex);
        this->stepsEnded = true;
    }
    this->wake.notify_all();
    if (this->stepper.joinable()) {
        this->stepper.join();
    }
    this->executor.stop();
    return drained;
}

void ControlInstance::handle(const HttpRequest &request, const HttpServer::Respond &respond)
{
    if (request.target == "/healthz" || request.target == "/readyz") {
        const std::lock_guard lock(this->mutex);
        const bool ready = request.target == "/healthz" || !this->stopping;
        respond(jsonResponse(ready ? 200 : 503, ready ? "{}" : R"({"reason":"stopping"})"));
        return;
    }
    if (request.target == "/metrics") {
        HttpResponse response;
        response.headers["content-type"] = "text/plain; version=0.0.4";
        response.body = this->metrics.serialize(this->readings());
        respond(std::move(response));
        return;
    }
    this->gateway.handle(request, respond);
}

void ControlInstance::wakeStepper()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stepWanted = true;
    }
    this->wake.notify_one();
}

InstanceReadings ControlInstance::readings()
{
    InstanceReadings readings;
    readings.leads = this->log.holdsLease();
    readings.term = this->log.term();
    for (const Instance &instance : this->state.fleet().snapshot()) {
        ++readings.workers;
        readings.workersUnreachable += instance.reachable ? 0 : 1;
        readings.capacity
            = add(readings.capacity, instance.spec.capacity).value_or(readings.capacity);
        readings.used = add(readings.used, instance.promised).value_or(readings.used);
    }
    readings.shareDistance = shareDistance(this->coordinator.top());
    return readings;
}

void ControlInstance::runSteps()
{
    std::unique_lock lock(this->mutex);
    while (!this->stepsEnded) {
        this->wake.wait_for(lock, this->settings.stepInterval,
                            [this]() { return this->stepsEnded || this->stepWanted; });
        this->stepWanted = false;
        lock.unlock();
        this->coordinator.step();
        lock.lock();
    }
}

} // namespace gooseberry
