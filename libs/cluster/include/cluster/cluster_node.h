#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <cluster/advice_router.h>
#include <cluster/cell_links.h>
#include <cluster/leader_service.h>
#include <cluster/node_metrics.h>
#include <cluster/node_settings.h>
#include <cluster/workflow_log.h>

namespace gooseberry {

/**
 * One node of a cell: its links, its log replica if it has a data folder, and the leader's service
 * and scheduling while it leads. Front ends on any node pass typed requests to it.
 */
class ClusterNode
{
public:
    /** Orders and adviser send this node's requests to workers and to the adviser. */
    ClusterNode(NodeSettings initialSettings, const Clock &initialClock, Executor &initialExecutor,
                WorkerOrders &initialOrders, AdviserAccess &initialAdviser);
    ~ClusterNode();

    ClusterNode(const ClusterNode &) = delete;
    ClusterNode &operator=(const ClusterNode &) = delete;

    /** Recovers the stored log and joins the cell. */
    Status start();
    /** Transfers leadership and reports not ready, but continues to serve requests. */
    void prepareStop();
    void stop();
    void setSeeds(const std::vector<Address> &seeds);

    /** Readiness: returns whether a leader is known and no stop is in progress. */
    bool ready() const;

    void handle(const CallerRequest &request, std::chrono::milliseconds timeout,
                std::function<void(CallerReply)> done);
    void handle(const OperatorRequest &request, std::chrono::milliseconds timeout,
                std::function<void(Result<OperatorReply>)> done);
    void handle(const WorkerStatusReport &report, std::chrono::milliseconds timeout,
                std::function<void(Result<WorkerStatusReply>)> done);

    /** Returns the node's metrics in the text format of Prometheus. */
    std::string metrics() const;

private:
    // cluster_node_orders.cpp: orders of operators.
    void callLeader(const OperatorRequest &request, SteadyTime deadline,
                    std::function<void(Result<OperatorReply>)> done);
    /** Returns an error if the order may have waited since its sender gave up. */
    std::optional<Error> checkAge(const OperatorRequest &request) const;
    /**
     * Reads the revision of the evacuation and sends the order with it, so that the order has no
     * effect if it reaches the state after a later one.
     */
    void orderEvacuation(const OperatorRequest &request, SteadyTime deadline,
                         const std::function<void(Result<OperatorReply>)> &done);

    void serve(RequestKind kind, const std::string &request,
               std::function<void(Result<std::string>)> done);
    /** Forwards the collected heartbeats to the leader in one request. */
    void forwardHeartbeats();
    void onApplied(const WorkflowCommand &command, const CommandOutcome &outcome);

    const NodeSettings settings;
    const Clock &clock;
    Executor &executor;
    AdviserAccess &adviser;
    WorkflowState state;
    NodeMetrics nodeMetrics;
    /** Runs the links to other nodes only; see CellLinks. */
    Executor linkExecutor;
    CellLinks links;
    AdviceRouter router;
    WorkflowLog log;
    Dispatcher dispatcher;
    LeaderService leaderService;
    /** Empty on a node without a data folder. */
    std::unique_ptr<Replica> replica;
    std::mutex heartbeatMutex; ///< Guards the next two members.
    std::vector<WorkerHeartbeat> pendingHeartbeats;
    bool forwardScheduled = false;
    std::atomic<bool> stopping{false};
};

} // namespace gooseberry
