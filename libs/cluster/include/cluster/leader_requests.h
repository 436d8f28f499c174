#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <base/base.h>
#include <cluster/request_attempts.h>

namespace gooseberry {

/** The kind of a request between nodes; its value is sent as the first byte. */
enum class RequestKind : char {
    Caller = 'c',
    Operator = 'o',
    Announcement = 'w',
    Advice = 'a',
    Heartbeats = 'h', ///< Heartbeats of workers whose records are unchanged.
};

/** The result of a request to the leader. */
struct LeaderAnswer
{
    /** The error's outcome covers all attempts. */
    Result<std::string> reply;
    /**
     * Unknown if an attempt other than the one that was answered may have had, or may still have,
     * an effect. A reply by which a request was refused is then not the whole truth.
     */
    Outcome otherAttempts = Outcome::NotRun;
    std::vector<RequestAttempt> attempts;
};

/** Handles a request; on an error with code NotLeader the sender retries with the leader. */
using RequestHandler = std::function<void(RequestKind, const std::string &,
                                          std::function<void(Result<std::string>)>)>;

/** What requests to the leader need from the node. */
class RequestRoutes
{
public:
    virtual ~RequestRoutes() = default;

    virtual const InstanceId &self() const = 0;
    /** Returns whether this node leads and may act on it. */
    virtual bool leads() const = 0;
    /** Returns the leader, if a message or beacon of it was received recently. */
    virtual std::optional<InstanceId> leader() const = 0;
    virtual bool isConnected(const InstanceId &node) const = 0;
    /** Returns the other nodes with a log replica that this node has a link with. */
    virtual std::vector<InstanceId> connectedReplicas() const = 0;
    /** Returns whether this process stood still a moment ago. */
    virtual bool pausedRecently() const = 0;
    /**
     * Sends a frame to a node and waits for the reply. The error's outcome is NotRun only if
     * nothing of the frame was sent.
     */
    virtual void call(const InstanceId &node, const std::string &frame,
                      std::chrono::milliseconds timeout,
                      std::function<void(Result<std::string>)> done)
        = 0;
    /** Runs the task after the delay. */
    virtual void after(Duration delay, std::function<void()> task) = 0;
};

/**
 * Requests to the leader of a cell: where each attempt is sent, when another one follows, what is
 * relayed, and what may be said of the outcome. It opens no connections and has no thread.
 */
class LeaderRequests
{
public:
    LeaderRequests(RequestRoutes &initialRoutes, const Clock &initialClock,
                   RequestHandler initialServe);

    /**
     * Sends a request to the leader, which may be this node, and retries until the deadline, so the
     * request must be idempotent. The error's outcome is NotRun only if no attempt can have had, or
     * can still have, an effect.
     */
    void callLeader(RequestKind kind, std::string request, SteadyTime deadline,
                    std::function<void(const LeaderAnswer &)> done);
    /** Sends a request to one node, without retries. */
    void callNode(const InstanceId &node, RequestKind kind, const std::string &request,
                  std::chrono::milliseconds timeout, std::function<void(Result<std::string>)> done);
    /** Resends to a new leader what waits for another node's reply, which may never come. */
    void retryWithNewLeader(const InstanceId &leader);
    /** Serves a frame of another node, or relays it to the leader. */
    void serveFrame(const std::string &frame, const std::function<void(std::string)> &reply);
    /** Drops all requests without an answer, and takes no more. */
    void stop();

private:
    struct PendingRequest;

    /** Sends the request again, unless another attempt was made after the given one. */
    void sendAttempt(const std::shared_ptr<PendingRequest> &pending, std::size_t earlier);
    void onReply(const std::shared_ptr<PendingRequest> &pending, std::size_t attempt,
                 Result<std::string> result);
    void callPeer(const InstanceId &node, const std::string &frame,
                  std::chrono::milliseconds timeout, std::function<void(Result<std::string>)> done);
    /**
     * Returns the leader if there is a link with it, or else another log replica, if possible not
     * the target of the previous attempt.
     */
    std::optional<InstanceId> nextHop(const InstanceId &previousTarget);

    RequestRoutes &routes;
    const Clock &clock;
    const RequestHandler serve;

    std::mutex mutex; ///< Guards the members below.
    bool stopped = false;
    std::set<std::shared_ptr<PendingRequest>> pendingRequests;
    std::size_t nextHopIndex = 0;
};

} // namespace gooseberry
