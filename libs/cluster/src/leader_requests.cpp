// Requests to the leader: routing, retries, and relaying for nodes without a link to the leader.

#include <cluster/leader_requests.h>

#include <algorithm>

namespace gooseberry {

namespace {

constexpr char answerFrame = 'y';
constexpr char refusalFrame = 'n';
/**
 * Second byte of a request: whether the receiver may relay it to the leader. A relayed request is
 * not relayed again, so that it can't circulate.
 */
constexpr char mayRelay = '0';
constexpr char relayed = '1';

/** How long a relaying node waits for the leader's reply. */
constexpr std::chrono::milliseconds relayTimeout{1500};
/** The delay before a failed request is sent again. */
constexpr std::chrono::milliseconds retryDelay{40};

Error linkError(ErrorCode code, const std::string &message, Outcome outcome)
{
    return Error{
        .code = code, .step = Step::Forward, .peer = {}, .message = message, .outcome = outcome};
}

} // namespace

/** A request to the leader that has no final reply yet. */
struct LeaderRequests::PendingRequest
{
    RequestKind kind = RequestKind::Caller;
    std::string request;
    SteadyTime deadline;
    std::function<void(const LeaderAnswer &)> done;
    /** In the order in which they were made; the number of an attempt is its index plus one. */
    std::vector<RequestAttempt> attempts;

    /** Returns the node that the latest attempt was sent to; empty if none was available. */
    InstanceId target() const
    {
        return this->attempts.empty() ? InstanceId{} : this->attempts.back().target;
    }
};

LeaderRequests::LeaderRequests(RequestRoutes &initialRoutes, const Clock &initialClock,
                               RequestHandler initialServe)
    : routes(initialRoutes)
    , clock(initialClock)
    , serve(std::move(initialServe))
{
}

void LeaderRequests::stop()
{
    std::set<std::shared_ptr<PendingRequest>> unanswered;
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    unanswered.swap(this->pendingRequests);
}

void LeaderRequests::callLeader(RequestKind kind, std::string request, SteadyTime deadline,
                                std::function<void(const LeaderAnswer &)> done)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->kind = kind;
    pending->request = std::move(request);
    pending->deadline = deadline;
    pending->done = std::move(done);
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopped) {
            return;
        }
        this->pendingRequests.insert(pending);
    }
    this->sendAttempt(pending, 0);
}

void LeaderRequests::sendAttempt(const std::shared_ptr<PendingRequest> &pending,
                                 std::size_t earlier)
{
    InstanceId previousTarget;
    {
        const std::lock_guard lock(this->mutex);
        previousTarget = pending->target();
    }
    const bool leads = this->routes.leads();
    const std::optional<InstanceId> target
        = leads ? std::optional(this->routes.self()) : this->nextHop(previousTarget);
    std::size_t number = 0;
    {
        const std::lock_guard lock(this->mutex);
        // Another attempt is in progress, or the request has been completed.
        if (pending->attempts.size() != earlier || !this->pendingRequests.contains(pending)) {
            return;
        }
        pending->attempts.push_back(
            RequestAttempt{.target = target.value_or(InstanceId{}), .outcome = {}});
        number = pending->attempts.size();
    }
    const auto answer = [this, pending, number](Result<std::string> result) {
        this->onReply(pending, number, std::move(result));
    };
    if (leads) {
        this->serve(pending->kind, pending->request, answer);
    } else if (target) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            pending->deadline - this->clock.steadyNow());
        this->callNode(*target, pending->kind, pending->request,
                       std::max(left, std::chrono::milliseconds(1)), answer);
    } else {
        answer(linkError(ErrorCode::NotLeader, "no leader is known", Outcome::NotRun));
    }
}

void LeaderRequests::onReply(const std::shared_ptr<PendingRequest> &pending, std::size_t attempt,
                             Result<std::string> result)
{
    LeaderAnswer answer;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->pendingRequests.contains(pending)) {
            return;
        }
        // What an answered attempt did is in its reply.
        std::optional<Outcome> &outcome = pending->attempts[attempt - 1].outcome;
        outcome = ok(result) ? Outcome::NotRun : errorOf(result).outcome;
        if (!ok(result)) {
            // A later attempt is in progress and decides the result.
            if (attempt != pending->attempts.size()) {
                return;
            }
            if (this->clock.steadyNow() + retryDelay < pending->deadline) {
                this->routes.after(retryDelay, [this, pending, attempt]() {
                    this->sendAttempt(pending, attempt);
                });
                return;
            }
        }
        this->pendingRequests.erase(pending);
        answer.attempts = pending->attempts;
    }
    answer.otherAttempts = combinedOutcome(answer.attempts);
    if (!ok(result)) {
        Error error = errorOf(result);
        error.outcome = answer.otherAttempts;
        result = error;
    }
    answer.reply = std::move(result);
    pending->done(answer);
}

void LeaderRequests::retryWithNewLeader(const InstanceId &leader)
{
    std::vector<std::pair<std::shared_ptr<PendingRequest>, std::size_t>> waiting;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &pending : this->pendingRequests) {
            if (pending->target() != leader) {
                waiting.emplace_back(pending, pending->attempts.size());
            }
        }
    }
    for (const auto &[pending, attempt] : waiting) {
        this->sendAttempt(pending, attempt);
    }
}

std::optional<InstanceId> LeaderRequests::nextHop(const InstanceId &previousTarget)
{
    std::optional<InstanceId> known = this->routes.leader();
    if (known && this->routes.isConnected(*known)) {
        return known;
    }
    std::vector<InstanceId> others = this->routes.connectedReplicas();
    const std::lock_guard lock(this->mutex);
    // The previous target may be unresponsive although its link has not been detected as broken.
    if (others.size() > 1) {
        std::erase(others, previousTarget);
    }
    if (others.empty()) {
        return std::nullopt;
    }
    return others[this->nextHopIndex++ % others.size()];
}

void LeaderRequests::callNode(const InstanceId &node, RequestKind kind, const std::string &request,
                              std::chrono::milliseconds timeout,
                              std::function<void(Result<std::string>)> done)
{
    this->callPeer(node, std::string{static_cast<char>(kind), mayRelay} + request, timeout,
                   std::move(done));
}

void LeaderRequests::callPeer(const InstanceId &node, const std::string &frame,
                              std::chrono::milliseconds timeout,
                              std::function<void(Result<std::string>)> done)
{
    this->routes.call(
        node, frame, timeout, [done = std::move(done), node](const Result<std::string> &result) {
            if (!ok(result)) {
                done(errorOf(result));
                return;
            }
            const std::string &answer = valueOf(result);
            if (!answer.empty() && answer.front() == answerFrame) {
                done(answer.substr(1));
                return;
            }
            // Anything but a plain refusal may come from a node that has passed the request on.
            const bool refused = answer == std::string{refusalFrame};
            Error error = linkError(ErrorCode::NotLeader, "the node refused the request",
                                    refused ? Outcome::NotRun : Outcome::Unknown);
            error.peer = node.value;
            done(error);
        });
}

void LeaderRequests::serveFrame(const std::string &frame,
                                const std::function<void(std::string)> &reply)
{
    if (frame.size() < 2) {
        reply(std::string{refusalFrame});
        return;
    }
    const auto answer = [reply](const Result<std::string> &result) {
        if (ok(result)) {
            reply(answerFrame + valueOf(result));
        } else if (errorOf(result).outcome == Outcome::Unknown) {
            reply(std::string{refusalFrame, 'u'});
        } else {
            reply(std::string{refusalFrame});
        }
    };
    const auto kind = static_cast<RequestKind>(frame.front());
    const bool leads = this->routes.leads();
    if (kind != RequestKind::Advice && !leads && frame[1] == mayRelay) {
        if (this->routes.pausedRecently()) {
            // The sender has repeated what waited here with another node. A copy that reaches the
            // leader now may undo what the sender has ordered since.
            reply(std::string{refusalFrame});
            return;
        }
        const std::optional<InstanceId> known = this->routes.leader();
        if (known && *known != this->routes.self()) {
            std::string passedOn = frame;
            passedOn[1] = relayed;
            this->callPeer(*known, passedOn, relayTimeout, answer);
            return;
        }
    }
    this->serve(kind, frame.substr(2), answer);
}

} // namespace gooseberry
