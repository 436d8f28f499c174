#pragma once

#include <string>
#include <variant>

namespace gooseberry {

/** The kind of an error, by which callers decide how to react. */
enum class ErrorCode {
    InvalidArgument, ///< The request is malformed or refers to something that doesn't exist.
    TooLarge, ///< A size limit is exceeded.
    Unauthenticated, ///< The key is missing, unknown or withdrawn.
    PermissionDenied, ///< The key belongs to another team.
    NotFound, ///< The job, worker or key is unknown.
    Conflict, ///< A concurrent change won, or the request id was used with other content.
    Impossible, ///< No instance could ever provide the requested resources.
    LimitExceeded, ///< A limit or a queue is full; the same request may succeed later.
    Overloaded, ///< Rejected by load shedding; the same request may succeed later.
    NotLeader, ///< This instance is not the leader and can't reach the leader.
    Unavailable, ///< No quorum or no connection, or the instance is stopping.
    DeadlineExceeded, ///< No reply arrived in time.
    StorageFull, ///< The disk has no space for another record.
    Corrupt, ///< Stored or received data failed validation.
    Expired, ///< The answer or lease is no longer valid.
    Internal, ///< A bug in this program.
};

/** The step of request processing in which an error occurred. */
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

/** Whether the requested work may have run. */
enum class Outcome {
    NotRun, ///< The work has not run and will not run because of this request.
    Unknown, ///< The work may have run; only a resend with the same request id can tell.
};

/**
 * An error and its origin. The peer is the address or id of the remote party, empty when the error
 * occurred within this process.
 */
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    Step step = Step::Receive;
    std::string peer;
    std::string message;
    Outcome outcome = Outcome::NotRun;
    /** The code of the policy's reason, such as "queue-full"; empty for errors without one. */
    std::string reason{};

    bool operator==(const Error &other) const = default;
};

/** Returns the lower-case, hyphenated form used on the wire, such as "invalid-argument". */
std::string toString(ErrorCode code);
std::string toString(Step step);
std::string toString(Outcome outcome);

/** Returns one line for logs: code, step, peer, outcome and message. */
std::string describe(const Error &error);

/** Either a value or an error. */
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
