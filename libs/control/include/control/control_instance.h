#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include <cell/cell.h>
#include <control/cell_network.h>
#include <control/instance_metrics.h>
#include <control/replicated_log.h>
#include <control/settings.h>
#include <gateway/gateway.h>
#include <link/link.h>
#include <quorum/quorum.h>

namespace gooseberry {

/**
 * A running control instance. It accepts requests of callers, workers and operators. The leader
 * handles them; every other instance forwards them to the leader.
 */
class ControlInstance
{
public:
    explicit ControlInstance(Settings initialSettings);
    ~ControlInstance();

    ControlInstance(const ControlInstance &) = delete;
    ControlInstance &operator=(const ControlInstance &) = delete;

    /** Recovers the stored state, starts to serve and returns the address it listens on. */
    Result<Address> start();
    /**
     * Shuts down gracefully: rejects new requests, waits for those in flight and transfers
     * leadership. Returns whether all requests in flight finished within the drain timeout.
     */
    bool stop();

private:
    void handle(const HttpRequest &request, const HttpServer::Respond &respond);
    HttpResponse readiness();
    void transferLeadership();
    void runStepLoop();
    void requestStep();
    InstanceStats stats();

    Settings settings;
    SystemClock clock;
    InstanceMetrics metrics;
    CellState state;
    Executor executor;
    HttpClient client;
    HttpWorkerPort workerPort;
    ReplicatedLog log;
    Coordinator coordinator;
    HttpGateway gateway;
    CellNetwork network;
    /** Empty on an instance that does not vote. */
    std::unique_ptr<Replica> replica;
    HttpServer server;

    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    bool stepLoopStopped = false;
    bool stepRequested = false;
    std::thread stepThread;
};

} // namespace gooseberry
