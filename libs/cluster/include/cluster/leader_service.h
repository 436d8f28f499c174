#pragma once

#include <functional>

#include <cluster/requests.h>

namespace gooseberry {

/**
 * Serves requests on the leader: reads from the replicated state, and writes through the log. The
 * lease is checked after a reply has been computed; if it is not held, the result is an error with
 * code NotLeader.
 */
class LeaderService
{
public:
    LeaderService(const WorkflowState &initialState, CommandSink &initialLog,
                  Dispatcher &initialDispatcher);

    void serve(const CallerRequest &request, std::function<void(Result<CallerReply>)> done);
    void serve(const OperatorRequest &request, std::function<void(Result<OperatorReply>)> done);
    void serve(const WorkerStatusReport &report,
               const std::function<void(Result<WorkerStatusReply>)> &done);

    /** Handles heartbeats that other nodes received; those of other incarnations are ignored. */
    void serve(const std::vector<WorkerHeartbeat> &workers);

private:
    void submit(const CallerRequest &request, const QueueRule &queue, const CustomerId &customer,
                const WorkflowId &id, std::function<void(Result<CallerReply>)> done);
    CallerReply read(const QueueRule &queue, const WorkflowId &id) const;
    void cancel(const WorkflowId &id, std::function<void(Result<CallerReply>)> done);
    void propose(WorkflowCommand command, std::function<void(Result<OperatorReply>)> done);

    const WorkflowState &state;
    CommandSink &log;
    Dispatcher &dispatcher;
};

/** Returns whether the text is a valid id: 1 to 64 letters, digits, hyphens and underscores. */
bool isWorkflowId(const std::string &text);

} // namespace gooseberry
