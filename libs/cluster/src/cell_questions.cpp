// Requests to the leader: whom a node asks, when it asks again, and what it does with the requests
// of others.

#include <cluster/cell_links.h>

#include <algorithm>

#include "cluster_records.h"

namespace gooseberry {

namespace {

constexpr char answerFrame = 'y';
constexpr char refusalFrame = 'n';
/** Second byte of a request: whether the receiver may pass it on to the leader. */
constexpr char mayRelay = '0';
constexpr char relayed = '1';

/** What a node that is asked in place of the leader waits for the leader's answer. */
constexpr std::chrono::milliseconds relayPatience{1500};
/** The pause before the leader is asked again. */
constexpr std::chrono::milliseconds askPause{40};

Error linkError(ErrorCode code, const std::string &message, Outcome outcome)
{
    return Error{
        .code = code, .step = Step::Forward, .peer = {}, .message = message, .outcome = outcome};
}

} // namespace

/** A request to the leader that has not been answered. */
struct CellLinks::Question
{
    RequestKind kind = RequestKind::Caller;
    std::string request;
    SteadyTime deadline;
    std::function<void(Result<std::string>)> done;
    /** The node that the latest attempt went to, and the number of that attempt. */
    InstanceId asked;
    std::uint64_t attempt = 0;
    Outcome outcome = Outcome::NotRun;
};

void CellLinks::askLeader(RequestKind kind, std::string request, SteadyTime deadline,
                          std::function<void(Result<std::string>)> done)
{
    auto question = std::make_shared<Question>();
    question->kind = kind;
    question->request = std::move(request);
    question->deadline = deadline;
    question->done = std::move(done);
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopped) {
            return;
        }
        this->openQuestions.insert(question);
    }
    this->attempt(question, 0);
}

void CellLinks::attempt(const std::shared_ptr<Question> &question, std::uint64_t earlier)
{
    InstanceId askedBefore;
    {
        const std::lock_guard lock(this->mutex);
        askedBefore = question->asked;
    }
    const bool leads = this->replica != nullptr && this->replica->holdsLease();
    const std::optional<InstanceId> target
        = leads ? std::optional(this->ownId) : this->nextHop(askedBefore);
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(this->mutex);
        // Another attempt is under way, or the question has been answered.
        if (question->attempt != earlier || !this->openQuestions.contains(question)) {
            return;
        }
        number = ++question->attempt;
        question->asked = target.value_or(InstanceId{});
    }
    const auto answer = [this, question, number](Result<std::string> result) {
        this->answered(question, number, std::move(result));
    };
    if (leads) {
        this->serve(question->kind, question->request, answer);
    } else if (target) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            question->deadline - this->clock.steadyNow());
        this->askNode(*target, question->kind, question->request,
                      std::max(left, std::chrono::milliseconds(1)), answer);
    } else {
        answer(linkError(ErrorCode::NotLeader, "no leader is known", Outcome::NotRun));
    }
}

void CellLinks::answered(const std::shared_ptr<Question> &question, std::uint64_t attempt,
                         Result<std::string> result)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->openQuestions.contains(question)) {
            return;
        }
        if (!ok(result)) {
            if (errorOf(result).outcome == Outcome::Unknown) {
                question->outcome = Outcome::Unknown;
            }
            // A later attempt will tell.
            if (attempt != question->attempt) {
                return;
            }
            Error error = errorOf(result);
            error.outcome = question->outcome;
            result = error;
        }
        if (ok(result) || this->clock.steadyNow() + askPause >= question->deadline) {
            this->openQuestions.erase(question);
        } else {
            this->executor.after(askPause,
                                 [this, question, attempt]() { this->attempt(question, attempt); });
            return;
        }
    }
    question->done(std::move(result));
}

void CellLinks::askNewLeader(const InstanceId &leader)
{
    std::vector<std::pair<std::shared_ptr<Question>, std::uint64_t>> waiting;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &question : this->openQuestions) {
            if (question->asked != leader) {
                waiting.emplace_back(question, question->attempt);
            }
        }
    }
    for (const auto &[question, attempt] : waiting) {
        this->attempt(question, attempt);
    }
}

std::optional<InstanceId> CellLinks::nextHop(const InstanceId &askedBefore)
{
    std::optional<InstanceId> known = this->leader();
    const std::lock_guard lock(this->mutex);
    if (known && this->connected.contains(*known)) {
        return known;
    }
    std::vector<InstanceId> others;
    for (const InstanceId &keeper : this->keepers) {
        if (keeper != this->ownId && this->connected.contains(keeper)) {
            others.push_back(keeper);
        }
    }
    // The node that did not answer before may be silent behind a link that still looks sound.
    if (others.size() > 1) {
        std::erase(others, askedBefore);
    }
    if (others.empty()) {
        return std::nullopt;
    }
    return others[this->lastHop++ % others.size()];
}

void CellLinks::askNode(const InstanceId &node, RequestKind kind, const std::string &request,
                        std::chrono::milliseconds patience,
                        std::function<void(Result<std::string>)> done)
{
    this->call(node, std::string{static_cast<char>(kind), mayRelay} + request, patience,
               std::move(done));
}

void CellLinks::call(const InstanceId &node, const std::string &frame,
                     std::chrono::milliseconds patience,
                     std::function<void(Result<std::string>)> done)
{
    this->network->call(
        node, frame, patience, [done = std::move(done), node](const Result<std::string> &result) {
            if (!ok(result)) {
                done(errorOf(result));
                return;
            }
            const std::string &answer = valueOf(result);
            if (!answer.empty() && answer.front() == answerFrame) {
                done(answer.substr(1));
                return;
            }
            const bool unknown = answer == std::string{refusalFrame, 'u'};
            Error error = linkError(ErrorCode::NotLeader, "the node refused the request",
                                    unknown ? Outcome::Unknown : Outcome::NotRun);
            error.peer = node.value;
            done(error);
        });
}

void CellLinks::onRequest(const std::string &frame, const PeerHandlers::Reply &reply)
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
    const bool leads = this->replica != nullptr && this->replica->holdsLease();
    if (kind != RequestKind::Advice && !leads && frame[1] == mayRelay) {
        const std::optional<InstanceId> known = this->leader();
        if (known && *known != this->ownId) {
            std::string passedOn = frame;
            passedOn[1] = relayed;
            this->call(*known, passedOn, relayPatience, answer);
            return;
        }
    }
    this->serve(kind, frame.substr(2), answer);
}

} // namespace gooseberry
