#include <cluster/advice_router.h>

#include <algorithm>

#include "cluster_records.h"

namespace gooseberry {

namespace {

/** Allowance beyond the adviser's expected time, for two network hops and a slow node. */
constexpr std::chrono::milliseconds replyAllowance{700};
/**
 * Up to this backlog, a node sends short requests one after another without waiting for replies,
 * which saves a round trip for each.
 */
constexpr std::chrono::milliseconds maxSharedBacklog{60};

} // namespace

const NodeLoad *selectNode(const std::vector<NodeLoad> &nodes, std::chrono::microseconds cost)
{
    const auto least = std::min_element(
        nodes.begin(), nodes.end(),
        [](const NodeLoad &left, const NodeLoad &right) { return left.backlog < right.backlog; });
    if (least == nodes.end()
        || (least->pendingRequests > 0 && least->backlog + cost > maxSharedBacklog)) {
        return nullptr;
    }
    return &*least;
}

AdviceRouter::AdviceRouter(CellLinks &initialLinks, AdviserAccess &initialLocalAdviser)
    : links(initialLinks)
    , localAdviser(initialLocalAdviser)
{
}

std::vector<NodeLoad> AdviceRouter::nodes() const
{
    std::set<InstanceId> reachable = this->links.connectedNodes();
    reachable.insert(this->links.self());
    std::vector<NodeLoad> found;
    for (const InstanceId &node : reachable) {
        const auto load = this->loads.find(node);
        found.push_back(load == this->loads.end()
                            ? NodeLoad{.node = node, .backlog = {}, .pendingRequests = 0}
                            : NodeLoad{.node = node,
                                       .backlog = load->second.backlog,
                                       .pendingRequests = load->second.pendingRequests});
    }
    return found;
}

void AdviceRouter::advise(const AdviceRequest &request, std::chrono::microseconds cost, Done done)
{
    {
        const std::lock_guard lock(this->mutex);
        this->waiting.emplace(
            std::pair(request.priority, ++this->lastArrival),
            PendingRequest{.request = request, .cost = cost, .done = std::move(done)});
    }
    this->sendWaiting();
}

std::size_t AdviceRouter::senderCount() const
{
    return this->links.connectedNodes().size() + 1;
}

void AdviceRouter::sendWaiting()
{
    struct Sending
    {
        InstanceId node;
        PendingRequest request;
        std::chrono::microseconds wait{0};
    };
    std::vector<Sending> sending;
    {
        const std::lock_guard lock(this->mutex);
        if (this->waiting.empty()) {
            return;
        }
        std::vector<NodeLoad> known = this->nodes();
        while (!this->waiting.empty()) {
            const auto next = this->waiting.begin();
            const NodeLoad *chosen = selectNode(known, next->second.cost);
            if (chosen == nullptr) {
                break;
            }
            NodeLoad &changed = known[static_cast<std::size_t>(chosen - known.data())];
            changed.backlog += next->second.cost;
            ++changed.pendingRequests;
            this->loads[changed.node]
                = Load{.backlog = changed.backlog, .pendingRequests = changed.pendingRequests};
            sending.push_back(Sending{
                .node = changed.node, .request = std::move(next->second), .wait = changed.backlog});
            this->waiting.erase(next);
        }
    }
    for (const Sending &sent : sending) {
        this->sendTo(sent.node, sent.request, sent.wait);
    }
}

void AdviceRouter::requestFinished(const InstanceId &node, std::chrono::microseconds cost)
{
    {
        const std::lock_guard lock(this->mutex);
        Load &load = this->loads[node];
        load.backlog -= std::min(load.backlog, cost);
        load.pendingRequests -= std::min<std::size_t>(load.pendingRequests, 1);
    }
    this->sendWaiting();
}

void AdviceRouter::sendTo(const InstanceId &node, const PendingRequest &pending,
                          std::chrono::microseconds wait)
{
    const auto finish
        = [this, node, cost = pending.cost, done = pending.done](Result<AdviceReply> result) {
              this->requestFinished(node, cost);
              done(std::move(result));
          };
    if (node == this->links.self()) {
        this->localAdviser.advise(pending.request, wait, finish);
        return;
    }
    const auto timeout
        = std::chrono::duration_cast<std::chrono::milliseconds>(wait) + replyAllowance;
    this->links.callNode(
        node, RequestKind::Advice,
        encodeRecord(ForwardedAdviceRequest{.request = pending.request, .expected = wait}), timeout,
        [finish](const Result<std::string> &result) {
            if (!ok(result)) {
                finish(errorOf(result));
                return;
            }
            finish(decodeRecord<AdviceReply>(valueOf(result)));
        });
}

} // namespace gooseberry
