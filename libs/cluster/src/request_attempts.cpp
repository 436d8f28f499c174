#include <cluster/request_attempts.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** Bounds the length of a log line; a request is retried some 70 times in three seconds. */
constexpr std::size_t maxDescribed = 6;

const char *describeOutcome(const std::optional<Outcome> &outcome)
{
    if (!outcome) {
        return "open";
    }
    return *outcome == Outcome::Unknown ? "unknown" : "not-run";
}

} // namespace

Outcome combinedOutcome(const std::vector<RequestAttempt> &attempts)
{
    const bool mayHaveRun
        = std::any_of(attempts.begin(), attempts.end(), [](const RequestAttempt &attempt) {
              return attempt.outcome != Outcome::NotRun;
          });
    return mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

std::string describeAttempts(const std::vector<RequestAttempt> &attempts)
{
    std::vector<std::string> described;
    for (const RequestAttempt &attempt : attempts) {
        if (!attempt.target.value.empty()) {
            described.push_back(attempt.target.value + '=' + describeOutcome(attempt.outcome));
        }
    }
    std::string text = "attempts=" + std::to_string(attempts.size()) + " sent=\"";
    const std::size_t first = described.size() - std::min(described.size(), maxDescribed);
    for (std::size_t i = first; i < described.size(); ++i) {
        text += (i == first ? "" : " ") + described[i];
    }
    return text + '"';
}

} // namespace gooseberry
