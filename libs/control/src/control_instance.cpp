#include <control/control_instance.h>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

constexpr std::chrono::milliseconds startDeadline{2000};

} // namespace

ControlInstance::ControlInstance(Settings initialSettings)
    : settings(std::move(initialSettings))
    , executor(settings.threads)
    , client(executor)
    , workerPort(client, startDeadline)
    , log(state, clock)
    , coordinator(state, log, workerPort, clock, CoordinatorSettings{})
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
    this->gateway.handle(request, respond);
}

void ControlInstance::runSteps()
{
    std::unique_lock lock(this->mutex);
    while (!this->wake.wait_for(lock, this->settings.stepInterval,
                                [this]() { return this->stepsEnded; })) {
        lock.unlock();
        this->coordinator.step();
        lock.lock();
    }
}

} // namespace gooseberry
