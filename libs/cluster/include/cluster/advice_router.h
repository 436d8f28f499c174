#pragma once

#include <map>
#include <mutex>

#include <cluster/cell_links.h>
#include <dispatch/dispatch.h>

namespace gooseberry {

/** What one asking node has before it. */
struct NodeLoad
{
    InstanceId node;
    /** How long the adviser will take for the node's pendingRequests that are under way. */
    std::chrono::microseconds backlog{0};
    std::size_t pendingRequests = 0;
};

/**
 * Returns the node that should sendTo a pending of this cost now, or null when all are busy. A node
 * asks one long pending at a time, or several short ones, so that what waits can still be put in
 * another order.
 */
const NodeLoad *selectNode(const std::vector<NodeLoad> &nodes, std::chrono::microseconds cost);

/**
 * Spreads the pendingRequests to the adviser over all nodes, since it answers one pending of each
 * node at a time. Questions that wait are asked in the order of their priority.
 */
class AdviceRouter : public AdviserAccess
{
public:
    /** The adviser as this node reaches it. */
    AdviceRouter(CellLinks &initialLinks, AdviserAccess &initialLocalAdviser);

    void advise(const AdviceRequest &request, std::chrono::microseconds cost,
                std::function<void(Result<AdviceReply>)> done) override;

private:
    using Done = std::function<void(Result<AdviceReply>)>;
    struct Load
    {
        std::chrono::microseconds backlog{0};
        std::size_t pendingRequests = 0;
    };
    struct PendingRequest
    {
        AdviceRequest request;
        std::chrono::microseconds cost{0};
        Done done;
    };

    /** Sends what can be asked now. */
    void sendWaiting();
    std::vector<NodeLoad> nodes() const;
    void sendTo(const InstanceId &node, const PendingRequest &pending,
                std::chrono::microseconds wait);
    void requestFinished(const InstanceId &node, std::chrono::microseconds cost);

    CellLinks &links;
    AdviserAccess &localAdviser;
    std::mutex mutex; ///< Guards the members below.
    std::map<InstanceId, Load> loads;
    /** By priority and arrival. */
    std::map<std::pair<std::uint32_t, std::uint64_t>, PendingRequest> waiting;
    std::uint64_t lastArrival = 0;
};

} // namespace gooseberry
