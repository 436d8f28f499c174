#pragma once

#include <cluster/leader_requests.h>
#include <cluster/requests.h>

namespace gooseberry {

/** Returns whether the reply says that a submission or a cancellation was not carried out. */
bool isRefusal(const CallerReply &reply);

/**
 * Returns the reply for a caller. Its request has not run only if that holds for all attempts to
 * have it served.
 */
CallerReply callerReply(CallerAction action, const LeaderAnswer &answer);

} // namespace gooseberry
