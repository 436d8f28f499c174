// The orders of operators, and what keeps an old one from taking effect after a later one.

#include <cluster/cluster_node.h>

#include <spdlog/spdlog.h>

#include "cluster_records.h"

namespace gooseberry {

namespace {

Error oldOrder(const std::string &reason)
{
    return Error{.code = ErrorCode::Unavailable,
                 .step = Step::Forward,
                 .peer = {},
                 .message = reason,
                 .outcome = Outcome::NotRun};
}

Result<OperatorReply> decodeOperatorReply(const LeaderAnswer &answer)
{
    return ok(answer.reply) ? decodeRecord<OperatorReply>(valueOf(answer.reply))
                            : errorOf(answer.reply);
}

} // namespace

void ClusterNode::handle(const OperatorRequest &request, std::chrono::milliseconds timeout,
                         std::function<void(Result<OperatorReply>)> done)
{
    const SteadyTime requestedAt = this->clock.steadyNow();
    const auto counted
        = [this, requestedAt, done = std::move(done)](const Result<OperatorReply> &result) {
              this->nodeMetrics.operatorRequestAnswered(ok(result) && valueOf(result).done,
                                                        this->clock.steadyNow() - requestedAt);
              done(result);
          };
    const SteadyTime deadline = requestedAt + timeout;
    if (request.action == OperatorAction::Evacuate
        || request.action == OperatorAction::EndEvacuation) {
        this->orderEvacuation(request, deadline, counted);
        return;
    }
    this->callLeader(request, deadline, counted);
}

void ClusterNode::callLeader(const OperatorRequest &request, SteadyTime deadline,
                             std::function<void(Result<OperatorReply>)> done)
{
    this->links.callLeader(RequestKind::Operator, encodeRecord(request), deadline,
                           [done = std::move(done)](const LeaderAnswer &answer) {
                               done(decodeOperatorReply(answer));
                           });
}

std::optional<Error> ClusterNode::checkAge(const OperatorRequest &request) const
{
    if (request.senderLeft && request.senderLeft()) {
        return oldOrder("the sender of the order has closed the connection");
    }
    if (this->links.pausedRecently()) {
        return oldOrder("this node stood still a moment ago, and the order may be old");
    }
    return std::nullopt;
}

void ClusterNode::orderEvacuation(const OperatorRequest &request, SteadyTime deadline,
                                  const std::function<void(Result<OperatorReply>)> &done)
{
    const auto refuseOld = [this, request, done]() {
        const std::optional<Error> old = this->checkAge(request);
        if (old) {
            spdlog::info("event=evacuation-order-refused domain={} {}", request.domain.value,
                         describe(*old));
            done(*old);
        }
        return old.has_value();
    };
    if (refuseOld()) {
        return;
    }
    OperatorRequest question;
    question.action = OperatorAction::ReadEvacuation;
    question.domain = request.domain;
    this->callLeader(
        question, deadline,
        [this, request, deadline, done, refuseOld](const Result<OperatorReply> &result) {
            if (!ok(result)) {
                done(result);
                return;
            }
            // The node may have paused, or the sender may have left, meanwhile.
            if (refuseOld()) {
                return;
            }
            OperatorRequest order = request;
            order.expectedRevision = valueOf(result).revision;
            this->callLeader(order, deadline, done);
        });
}

} // namespace gooseberry
