// The way of requests through the links: from a node to the leader and back.

#include <cluster/cell_links.h>

namespace gooseberry {

void CellLinks::callLeader(RequestKind kind, std::string request, SteadyTime deadline,
                           std::function<void(const LeaderAnswer &)> done)
{
    this->requests.callLeader(kind, std::move(request), deadline, std::move(done));
}

void CellLinks::callNode(const InstanceId &node, RequestKind kind, const std::string &request,
                         std::chrono::milliseconds timeout,
                         std::function<void(Result<std::string>)> done)
{
    this->requests.callNode(node, kind, request, timeout, std::move(done));
}

bool CellLinks::leads() const
{
    return this->replica != nullptr && this->replica->holdsLease();
}

bool CellLinks::isConnected(const InstanceId &node) const
{
    const std::lock_guard lock(this->mutex);
    return this->connected.contains(node);
}

std::vector<InstanceId> CellLinks::connectedReplicas() const
{
    std::vector<InstanceId> replicas;
    const std::lock_guard lock(this->mutex);
    for (const InstanceId &node : this->logReplicas) {
        if (node != this->ownId && this->connected.contains(node)) {
            replicas.push_back(node);
        }
    }
    return replicas;
}

void CellLinks::call(const InstanceId &node, const std::string &frame,
                     std::chrono::milliseconds timeout,
                     std::function<void(Result<std::string>)> done)
{
    // Replies are handled on the executor, since a handler may wait for a lock or work for long.
    this->network->call(node, frame, timeout,
                        [this, done = std::move(done)](Result<std::string> result) {
                            this->executor.post([done, result = std::move(result)]() mutable {
                                done(std::move(result));
                            });
                        });
}

void CellLinks::after(Duration delay, std::function<void()> task)
{
    this->executor.after(delay, std::move(task));
}

void CellLinks::onRequest(const std::string &frame, const PeerHandlers::Reply &reply)
{
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopped) {
            return;
        }
        number = ++this->lastReplyNumber;
        this->pendingReplies.emplace(number, reply);
    }
    this->executor.post([this, frame, number]() {
        this->requests.serveFrame(frame, [this, number](std::string answer) {
            this->answerRequest(number, std::move(answer));
        });
    });
}

void CellLinks::answerRequest(std::uint64_t number, std::string answer)
{
    PeerHandlers::Reply reply;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->pendingReplies.find(number);
        if (found == this->pendingReplies.end()) {
            return;
        }
        reply = std::move(found->second);
        this->pendingReplies.erase(found);
    }
    reply(std::move(answer));
}

} // namespace gooseberry
