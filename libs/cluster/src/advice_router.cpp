#include <cluster/advice_router.h>

#include <algorithm>

#include "cluster_records.h"

namespace gooseberry {

namespace {

/** What an answer may take beyond the adviser's own time: two links and a slow node. */
constexpr std::chrono::milliseconds answerPatience{700};

} // namespace

const AskingNode &leastBusy(const std::vector<AskingNode> &nodes)
{
    return *std::min_element(nodes.begin(), nodes.end(),
                             [](const AskingNode &left, const AskingNode &right) {
                                 return left.backlog < right.backlog;
                             });
}

AdviceRouter::AdviceRouter(CellLinks &initialLinks, AdviserAccess &initialDirect)
    : links(initialLinks)
    , direct(initialDirect)
{
}

InstanceId AdviceRouter::choose(std::chrono::microseconds cost, std::chrono::microseconds &wait)
{
    std::vector<AskingNode> nodes;
    const std::set<InstanceId> connected = this->links.connectedNodes();
    const std::lock_guard lock(this->mutex);
    const auto add = [&](const InstanceId &node) {
        const Load &load = this->loads[node];
        nodes.push_back(
            AskingNode{.node = node, .backlog = load.backlog, .questions = load.questions});
    };
    add(this->links.self());
    for (const InstanceId &node : connected) {
        add(node);
    }
    InstanceId chosen = leastBusy(nodes).node;
    Load &load = this->loads[chosen];
    load.backlog += cost;
    ++load.questions;
    wait = load.backlog;
    return chosen;
}

void AdviceRouter::finished(const InstanceId &node, std::chrono::microseconds cost)
{
    const std::lock_guard lock(this->mutex);
    Load &load = this->loads[node];
    load.backlog -= std::min(load.backlog, cost);
    load.questions -= std::min<std::size_t>(load.questions, 1);
}

void AdviceRouter::advise(const AdviceRequest &request, std::chrono::microseconds cost,
                          std::function<void(Result<AdviceReply>)> done)
{
    std::chrono::microseconds wait{0};
    const InstanceId node = this->choose(cost, wait);
    const auto finish = [this, node, cost, done = std::move(done)](Result<AdviceReply> result) {
        this->finished(node, cost);
        done(std::move(result));
    };
    if (node == this->links.self()) {
        this->direct.advise(request, wait, finish);
        return;
    }
    const auto patience
        = std::chrono::duration_cast<std::chrono::milliseconds>(wait) + answerPatience;
    this->links.askNode(node, RequestKind::Advice,
                        encodeRecord(AdviceQuestion{.request = request, .expected = wait}),
                        patience, [finish](const Result<std::string> &result) {
                            if (!ok(result)) {
                                finish(errorOf(result));
                                return;
                            }
                            finish(decodeRecord<AdviceReply>(valueOf(result)));
                        });
}

} // namespace gooseberry
