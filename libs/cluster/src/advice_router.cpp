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
        nodes.begin(), nodes.end(), [](const NodeLoad &left, const NodeLoad &right) {
            return left.reachable != right.reachable ? left.reachable
                                                     : left.backlog < right.backlog;
        });
    if (least == nodes.end() || !least->reachable
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

void AdviceRouter::updateNodes() const
{
    const std::uint64_t version = this->links.connectionChanges();
    if (this->nodesVersion == version) {
        return;
    }
    std::set<InstanceId> reachable = this->links.connectedNodes();
    reachable.insert(this->links.self());
    std::vector<NodeLoad> updated;
    for (const NodeLoad &known : this->nodes) {
        const bool linked = reachable.erase(known.node) > 0;
        if (linked || known.pendingRequests > 0) {
            updated.push_back(known);
            updated.back().reachable = linked;
        }
    }
    for (const InstanceId &node : reachable) {
        NodeLoad added;
        added.node = node;
        updated.push_back(added);
    }
    this->nodes = std::move(updated);
    this->nodesVersion = version;
}

NodeLoad *AdviceRouter::findNode(const InstanceId &node) const
{
    const auto found = std::find_if(this->nodes.begin(), this->nodes.end(),
                                    [&](const NodeLoad &known) { return known.node == node; });
    return found == this->nodes.end() ? nullptr : &*found;
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
    const std::lock_guard lock(this->mutex);
    this->updateNodes();
    return static_cast<std::size_t>(
        std::count_if(this->nodes.begin(), this->nodes.end(),
                      [](const NodeLoad &node) { return node.reachable; }));
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
        this->updateNodes();
        while (!this->waiting.empty()) {
            const auto next = this->waiting.begin();
            const NodeLoad *chosen = selectNode(this->nodes, next->second.cost);
            if (chosen == nullptr) {
                break;
            }
            NodeLoad &changed = this->nodes[static_cast<std::size_t>(chosen - this->nodes.data())];
            changed.backlog += next->second.cost;
            ++changed.pendingRequests;
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
        if (NodeLoad *load = this->findNode(node)) {
            load->backlog -= std::min(load->backlog, cost);
            load->pendingRequests -= std::min<std::size_t>(load->pendingRequests, 1);
        }
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
