#pragma once

#include <functional>

#include <cluster/requests.h>

namespace gooseberry {

/**
 * Serves requests on the leader, from the replicated state and through the log. Every answer is
 * checked against the leader's lease after it was made up; without a lease the result is an error
 * with code NotLeader.
 */
class LeaderService
{
public:
    LeaderService(const WorkflowState &initialState, CommandSink &initialLog,
                  Dispatcher &initialDispatcher);

    void serve(const CallerRequest &request, std::function<void(Result<CallerReply>)> done);
    void serve(const OperatorRequest &request, std::function<void(Result<OperatorReply>)> done);
    void serve(const WorkerNotice &report,
               const std::function<void(Result<WorkerNoticeReply>)> &done);

    /** Takes what other nodes have heard. */
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

/** Returns whether the text can name a workflow: 1 to 64 letters, digits, hyphens, underscores. */
bool isWorkflowId(const std::string &text);

} // namespace gooseberry
