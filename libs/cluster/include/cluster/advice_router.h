#pragma once

#include <map>
#include <mutex>

#include <cluster/cell_links.h>
#include <dispatch/dispatch.h>

namespace gooseberry {

/** What one asking node has before it. */
struct AskingNode
{
    InstanceId node;
    /** How long the adviser will take for the node's questions that are under way. */
    std::chrono::microseconds backlog{0};
    std::size_t questions = 0;
};

/**
 * Returns the node that should ask a question of this cost now, or null when all are busy. A node
 * asks one long question at a time, or several short ones, so that what waits can still be put in
 * another order.
 */
const AskingNode *nodeToAsk(const std::vector<AskingNode> &nodes, std::chrono::microseconds cost);

/**
 * Spreads the questions to the adviser over all nodes, since it answers one question of each node
 * at a time. Questions that wait are asked in the order of their priority.
 */
class AdviceRouter : public AdviserAccess
{
public:
    /** The adviser as this node reaches it. */
    AdviceRouter(CellLinks &initialLinks, AdviserAccess &initialDirect);

    void advise(const AdviceRequest &request, std::chrono::microseconds cost,
                std::function<void(Result<AdviceReply>)> done) override;

private:
    using Done = std::function<void(Result<AdviceReply>)>;
    struct Load
    {
        std::chrono::microseconds backlog{0};
        std::size_t questions = 0;
    };
    struct Waiting
    {
        AdviceRequest request;
        std::chrono::microseconds cost{0};
        Done done;
    };

    /** Sends what can be asked now. */
    void pump();
    std::vector<AskingNode> nodes() const;
    void ask(const InstanceId &node, const Waiting &question, std::chrono::microseconds wait);
    void finished(const InstanceId &node, std::chrono::microseconds cost);

    CellLinks &links;
    AdviserAccess &direct;
    std::mutex mutex; ///< Guards the members below.
    std::map<InstanceId, Load> loads;
    /** By priority and arrival. */
    std::map<std::pair<std::uint32_t, std::uint64_t>, Waiting> waiting;
    std::uint64_t lastArrival = 0;
};

} // namespace gooseberry
