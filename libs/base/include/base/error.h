#pragma once

#include <string>
#include <variant>

namespace gooseberry {

/** What went wrong, in the terms that callers act on. */
enum class ErrorCode {
    InvalidArgument, ///< The request can't be understood or names something that doesn't exist.
    TooLarge, ///< A size limit is exceeded.
    Unauthenticated, ///< No key, an unknown key or a withdrawn key.
    PermissionDenied, ///< The key belongs to another team.
    NotFound, ///< The named job, worker or key is not known.
    Conflict, ///< Another change won, or the request id was used with other content.
    Impossible, ///< No instance could ever hold the shape.
    LimitExceeded, ///< A limit or a queue is full; the same request may succeed later.
    Overloaded, ///< Work is shed; the same request may succeed later.
    NotLeader, ///< This instance can't decide and can't reach the one that does.
    Unavailable, ///< No quorum, no connection, or the instance is stopping.
    DeadlineExceeded, ///< No reply arrived in time.
    StorageFull, ///< The disk can't take another record.
    Corrupt, ///< Stored or received bytes failed their check.
    Expired, ///< The answer or lease was valid once and no longer is.
    Internal, ///< A defect of this program.
};

/** The step of the request's path at which an error arose. */
enum class Step {
    Settings,
    Receive,
    Parse,
    Authenticate,
    Admit,
    Forward,
    Commit,
    Place,
    Send,
    Run,
    Answer,
    Store,
    Recover,
};

/** Whether the work that the request asked for may have run. */
enum class Outcome {
    NotRun, ///< The work has not run and will not run because of this request.
    Unknown, ///< The work may have run; only a resend with the same id settles it.
};

/**
 * An error with the place it came from. Peer is the address or id of the other party, empty when
 * the error arose within this process.
 */
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    Step step = Step::Receive;
    std::string peer;
    std::string message;
    Outcome outcome = Outcome::NotRun;
    /** The code of the policy's reason, such as "queue-full"; empty when no policy decided. */
    std::string reason{};

    bool operator==(const Error &other) const = default;
};

/** Returns the lower-case, hyphenated form used on the wire, such as "invalid-argument". */
std::string toString(ErrorCode code);
std::string toString(Step step);
std::string toString(Outcome outcome);

/** Returns one line for logs: code, step, peer, outcome and message. */
std::string describe(const Error &error);

/** Either a value or the error that took its place. */
template<typename T>
using Result = std::variant<T, Error>;

/** Success without a value. */
struct Done
{
    bool operator==(const Done &other) const = default;
};
using Status = Result<Done>;

/** Returns whether the result holds a value. */
template<typename T>
bool ok(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

/** Returns the value. The caller checks ok() first. */
template<typename T>
T &valueOf(Result<T> &result)
{
    return std::get<T>(result);
}

template<typename T>
const T &valueOf(const Result<T> &result)
{
    return std::get<T>(result);
}

template<typename T>
T &&valueOf(Result<T> &&result)
{
    return std::get<T>(std::move(result));
}

/** Returns the error. The caller checks ok() first. */
template<typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

} // namespace gooseberry
