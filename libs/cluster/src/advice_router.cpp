#include <cluster/advice_router.h>

#include <algorithm>

#include "cluster_records.h"

namespace gooseberry {

namespace {

/** What an answer may take beyond the adviser's own time: two links and a slow node. */
constexpr std::chrono::milliseconds answerPatience{700};
/** Short questions may follow each other without waiting for the answer's way back. */
constexpr std::chrono::milliseconds shortBacklog{60};

} // namespace

const AskingNode *nodeToAsk(const std::vector<AskingNode> &nodes, std::chrono::microseconds cost)
{
    const auto least = std::min_element(nodes.begin(), nodes.end(),
                                        [](const AskingNode &left, const AskingNode &right) {
                                            return left.backlog < right.backlog;
                                        });
    if (least == nodes.end() || (least->questions > 0 && least->backlog + cost > shortBacklog)) {
        return nullptr;
    }
    return &*least;
}

AdviceRouter::AdviceRouter(CellLinks &initialLinks, AdviserAccess &initialDirect)
    : links(initialLinks)
    , direct(initialDirect)
{
}

std::vector<AskingNode> AdviceRouter::nodes() const
{
    std::set<InstanceId> reachable = this->links.connectedNodes();
    reachable.insert(this->links.self());
    std::vector<AskingNode> found;
    for (const InstanceId &node : reachable) {
        const auto load = this->loads.find(node);
        found.push_back(load == this->loads.end()
                            ? AskingNode{.node = node, .backlog = {}, .questions = 0}
                            : AskingNode{.node = node,
                                         .backlog = load->second.backlog,
                                         .questions = load->second.questions});
    }
    return found;
}

void AdviceRouter::advise(const AdviceRequest &request, std::chrono::microseconds cost, Done done)
{
    {
        const std::lock_guard lock(this->mutex);
        this->waiting.emplace(std::pair(request.priority, ++this->lastArrival),
                              Waiting{.request = request, .cost = cost, .done = std::move(done)});
    }
    this->pump();
}

void AdviceRouter::pump()
{
    while (true) {
        Waiting next;
        InstanceId node;
        std::chrono::microseconds wait{0};
        {
            const std::lock_guard lock(this->mutex);
            if (this->waiting.empty()) {
                return;
            }
            const std::vector<AskingNode> known = this->nodes();
            const AskingNode *chosen = nodeToAsk(known, this->waiting.begin()->second.cost);
            if (chosen == nullptr) {
                return;
            }
            next = std::move(this->waiting.begin()->second);
            this->waiting.erase(this->waiting.begin());
            node = chosen->node;
            Load &load = this->loads[node];
            load.backlog += next.cost;
            ++load.questions;
            wait = load.backlog;
        }
        this->ask(node, next, wait);
    }
}

void AdviceRouter::finished(const InstanceId &node, std::chrono::microseconds cost)
{
    {
        const std::lock_guard lock(this->mutex);
        Load &load = this->loads[node];
        load.backlog -= std::min(load.backlog, cost);
        load.questions -= std::min<std::size_t>(load.questions, 1);
    }
    this->pump();
}

void AdviceRouter::ask(const InstanceId &node, const Waiting &question,
                       std::chrono::microseconds wait)
{
    const auto finish
        = [this, node, cost = question.cost, done = question.done](Result<AdviceReply> result) {
              this->finished(node, cost);
              done(std::move(result));
          };
    if (node == this->links.self()) {
        this->direct.advise(question.request, wait, finish);
        return;
    }
    const auto patience
        = std::chrono::duration_cast<std::chrono::milliseconds>(wait) + answerPatience;
    this->links.askNode(node, RequestKind::Advice,
                        encodeRecord(AdviceQuestion{.request = question.request, .expected = wait}),
                        patience, [finish](const Result<std::string> &result) {
                            if (!ok(result)) {
                                finish(errorOf(result));
                                return;
                            }
                            finish(decodeRecord<AdviceReply>(valueOf(result)));
                        });
}

} // namespace gooseberry
