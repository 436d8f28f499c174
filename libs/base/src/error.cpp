#include <base/error.h>

namespace gooseberry {

std::string toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::TooLarge:
        return "too-large";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::PermissionDenied:
        return "permission-denied";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Impossible:
        return "impossible";
    case ErrorCode::LimitExceeded:
        return "limit-exceeded";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::NotLeader:
        return "not-leader";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorCode::StorageFull:
        return "storage-full";
    case ErrorCode::Corrupt:
        return "corrupt";
    case ErrorCode::Expired:
        return "expired";
    case ErrorCode::Internal:
        return "internal";
    }
    return "unknown";
}

std::string toString(Step step)
{
    switch (step) {
    case Step::Settings:
        return "settings";
    case Step::Receive:
        return "receive";
    case Step::Parse:
        return "parse";
    case Step::Authenticate:
        return "authenticate";
    case Step::Admit:
        return "admit";
    case Step::Forward:
        return "forward";
    case Step::Commit:
        return "commit";
    case Step::Place:
        return "place";
    case Step::Send:
        return "send";
    case Step::Run:
        return "run";
    case Step::Answer:
        return "answer";
    case Step::Store:
        return "store";
    case Step::Recover:
        return "recover";
    }
    return "unknown";
}

std::string toString(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not-run" : "unknown";
}

std::string describe(const Error &error)
{
    return "code=" + toString(error.code) + " step=" + toString(error.step)
        + (error.reason.empty() ? "" : " reason=" + error.reason)
        + " peer=" + (error.peer.empty() ? "-" : error.peer) + " outcome=" + toString(error.outcome)
        + " message=\"" + error.message + '"';
}

} // namespace gooseberry
