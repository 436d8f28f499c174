#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include <cluster/cell_links.h>
#include <dispatch/dispatch.h>

namespace gooseberry {

/** The adviser requests outstanding on one node. */
struct NodeLoad
{
    InstanceId node;
    /** Expected time until the adviser has answered the node's outstanding requests. */
    std::chrono::microseconds backlog{0};
    std::size_t pendingRequests = 0;
    /** A node without a link may still have requests outstanding, but gets no new ones. */
    bool reachable = true;
};

/**
 * Returns the node that should send a request of this cost now, or null when all are busy. A node
 * sends one long request at a time, or several short ones, so that the waiting requests can still
 * be reordered by priority.
 */
const NodeLoad *selectNode(const std::vector<NodeLoad> &nodes, std::chrono::microseconds cost);

/**
 * Spreads adviser requests over all nodes, since the adviser answers one request of each node at a
 * time. Waiting requests are sent in the order of their priority.
 */
class AdviceRouter : public AdviserAccess
{
public:
    /** The local adviser access sends requests from this node. */
    AdviceRouter(CellLinks &initialLinks, AdviserAccess &initialLocalAdviser);

    void advise(const AdviceRequest &request, std::chrono::microseconds cost,
                std::function<void(Result<AdviceReply>)> done) override;
    std::size_t senderCount() const override;

private:
    using Done = std::function<void(Result<AdviceReply>)>;
    struct PendingRequest
    {
        AdviceRequest request;
        std::chrono::microseconds cost{0};
        Done done;
    };

    /** Sends waiting requests, in order of priority, while a node is available. */
    void sendWaiting();
    /**
     * Brings the list of nodes up to date with the links. Copying the nodes for each request would
     * take more of a leader's processor time than the request itself.
     */
    void updateNodes() const;
    NodeLoad *findNode(const InstanceId &node) const;
    /** Sends the request through the node. Wait is the expected time until its reply. */
    void sendTo(const InstanceId &node, const PendingRequest &pending,
                std::chrono::microseconds wait);
    void requestFinished(const InstanceId &node, std::chrono::microseconds cost);

    CellLinks &links;
    AdviserAccess &localAdviser;
    mutable std::mutex mutex; ///< Guards the members below.
    /** This node, those that it has a link with, and those with outstanding requests. */
    mutable std::vector<NodeLoad> nodes;
    /** The state of the links that the list was made from. */
    mutable std::optional<std::uint64_t> nodesVersion;
    /** By priority and arrival number. */
    std::map<std::pair<std::uint32_t, std::uint64_t>, PendingRequest> waiting;
    std::uint64_t lastArrival = 0;
};

} // namespace gooseberry
