#include "caller_reply.h"

#include "cluster_records.h"

namespace gooseberry {

namespace {

/** The retry delay that callers get while a leader is being elected. */
constexpr std::chrono::milliseconds electionRetryDelay{1000};

} // namespace

bool isRefusal(const CallerReply &reply)
{
    switch (reply.outcome) {
    case CallerOutcome::NoConfiguration:
    case CallerOutcome::UnknownQueue:
    case CallerOutcome::UnknownKey:
    case CallerOutcome::Invalid:
    case CallerOutcome::Overloaded:
    case CallerOutcome::Unavailable:
        return true;
    default:
        return false;
    }
}

CallerReply callerReply(CallerAction action, const LeaderAnswer &answer)
{
    CallerReply reply;
    const Result<CallerReply> result = ok(answer.reply)
        ? decodeRecord<CallerReply>(valueOf(answer.reply))
        : errorOf(answer.reply);
    if (!ok(result)) {
        // A reply that can't be read may have confirmed the request.
        const bool notRun = !ok(answer.reply) && errorOf(result).outcome == Outcome::NotRun;
        // Without a leader's word, a node knows nothing of the copies of a submission that the
        // caller has handed to others, and "not run" would be a promise for all of them.
        const bool mayPromise = notRun && action != CallerAction::Submit;
        reply.outcome = mayPromise ? CallerOutcome::Unavailable : CallerOutcome::OutcomeUnknown;
        reply.retryAfter = electionRetryDelay;
        reply.message = errorOf(result).message;
        return reply;
    }
    if (action != CallerAction::Read && answer.otherAttempts == Outcome::Unknown
        && isRefusal(valueOf(result))) {
        reply.outcome = CallerOutcome::OutcomeUnknown;
        reply.message = "an earlier attempt may have run; the last one was refused: "
            + valueOf(result).message;
        return reply;
    }
    return valueOf(result);
}

} // namespace gooseberry
