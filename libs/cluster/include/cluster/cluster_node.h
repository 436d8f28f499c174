#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
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
 * One node of a cell: its links, its part of the log if it has a data folder, and the leader's
 * duties while it leads. Front ends pass typed requests to it, on any node.
 */
class ClusterNode
{
public:
    /** The orders and the adviser are how this node reaches workers and the adviser. */
    ClusterNode(NodeSettings initialSettings, const Clock &initialClock, Executor &initialExecutor,
                WorkerOrders &initialOrders, AdviserAccess &initialAdviser);
    ~ClusterNode();

    ClusterNode(const ClusterNode &) = delete;
    ClusterNode &operator=(const ClusterNode &) = delete;

    /** Recovers what is stored and joins the cell. */
    Status start();
    /** Hands leadership over and reports itself as not ready, while it goes on serving. */
    void prepareStop();
    void stop();
    void setSeeds(const std::vector<Address> &seeds);

    /** Returns whether callers should come here: a leader is known and no stop is under way. */
    bool ready() const;

    void handle(const CallerRequest &request, std::chrono::milliseconds timeout,
                std::function<void(CallerReply)> done);
    void handle(const OperatorRequest &request, std::chrono::milliseconds timeout,
                std::function<void(Result<OperatorReply>)> done);
    void handle(const WorkerNotice &report, std::chrono::milliseconds timeout,
                std::function<void(Result<WorkerNoticeReply>)> done);

    /** Returns the node's metrics in the text format of Prometheus. */
    std::string metrics() const;

private:
    void serve(RequestKind kind, const std::string &request,
               std::function<void(Result<std::string>)> done);
    /** Passes the workers that were pendingHeartbeats on to the leader, a few times a second. */
    void forwardHeartbeats();
    void onApplied(const WorkflowCommand &command, const CommandOutcome &outcome);

    const NodeSettings settings;
    const Clock &clock;
    Executor &executor;
    AdviserAccess &adviser;
    WorkflowState state;
    NodeMetrics nodeMetrics;
    CellLinks links;
    AdviceRouter router;
    WorkflowLog log;
    Dispatcher dispatcher;
    LeaderService leaderService;
    /** Empty on a node without a data folder. */
    std::unique_ptr<Replica> replica;
    std::mutex heartbeatMutex; ///< Guards pendingHeartbeats and its timer.
    std::vector<WorkerHeartbeat> pendingHeartbeats;
    bool forwardScheduled = false;
    std::atomic<bool> stopping{false};
};

} // namespace gooseberry
