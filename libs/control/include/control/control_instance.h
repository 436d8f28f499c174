#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include <cell/cell.h>
#include <control/instance_metrics.h>
#include <control/local_log.h>
#include <control/settings.h>
#include <gateway/gateway.h>
#include <link/link.h>

namespace gooseberry {

/** A running control instance. */
class ControlInstance
{
public:
    explicit ControlInstance(Settings initialSettings);
    ~ControlInstance();

    ControlInstance(const ControlInstance &) = delete;
    ControlInstance &operator=(const ControlInstance &) = delete;

    /** Starts to serve and returns the address it listens on. */
    Result<Address> start();
    /** Stops gracefully: takes no new work and lets every request in flight finish. */
    bool stop();

private:
    void handle(const HttpRequest &request, const HttpServer::Respond &respond);
    void runSteps();
    void wakeStepper();
    InstanceReadings readings();

    Settings settings;
    SystemClock clock;
    InstanceMetrics metrics;
    CellState state;
    Executor executor;
    HttpClient client;
    HttpWorkerPort workerPort;
    LocalLog log;
    Coordinator coordinator;
    HttpGateway gateway;
    HttpServer server;

    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    bool stepsEnded = false;
    bool stepWanted = false;
    std::thread stepper;
};

} // namespace gooseberry
