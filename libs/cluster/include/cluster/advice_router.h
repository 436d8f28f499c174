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

/** Returns the node whose questions are answered first; there is at least one. */
const AskingNode &leastBusy(const std::vector<AskingNode> &nodes);

/**
 * Spreads the questions to the adviser over all nodes, since it answers one question of each node
 * at a time.
 */
class AdviceRouter : public AdviserAccess
{
public:
    /** The adviser as this node reaches it. */
    AdviceRouter(CellLinks &initialLinks, AdviserAccess &initialDirect);

    void advise(const AdviceRequest &request, std::chrono::microseconds cost,
                std::function<void(Result<AdviceReply>)> done) override;

private:
    struct Load
    {
        std::chrono::microseconds backlog{0};
        std::size_t questions = 0;
    };

    InstanceId choose(std::chrono::microseconds cost, std::chrono::microseconds &wait);
    void finished(const InstanceId &node, std::chrono::microseconds cost);

    CellLinks &links;
    AdviserAccess &direct;
    std::mutex mutex; ///< Guards loads.
    std::map<InstanceId, Load> loads;
};

} // namespace gooseberry
