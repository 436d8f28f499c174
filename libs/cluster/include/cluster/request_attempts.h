#pragma once

#include <optional>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** One attempt to have the leader serve a request. */
struct RequestAttempt
{
    /** The node that it was sent to; empty if none was available. */
    InstanceId target;
    /** Empty while the attempt has neither a reply nor an error, and so may still have an effect.
     */
    std::optional<Outcome> outcome;
};

/** Returns Unknown if an attempt may have had, or may still have, an effect, and NotRun otherwise.
 */
Outcome combinedOutcome(const std::vector<RequestAttempt> &attempts);

/**
 * Returns target and outcome of the last attempts, for logs. Attempts for which no node was
 * available are only counted.
 */
std::string describeAttempts(const std::vector<RequestAttempt> &attempts);

} // namespace gooseberry
