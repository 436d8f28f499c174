#pragma once

#include "replica_state.h"

namespace gooseberry {

/**
 * Chooses as the new leader the voter with the highest match index among those that replied
 * recently. The leader accepts no proposals during the transfer. Fails with Unavailable if there is
 * no such voter.
 */
Status beginLeadershipTransfer(ReplicaState &state, SteadyTime now);

/**
 * Sends TimeoutNow to the chosen voter once it has the whole log. If the deadline passes before
 * that, the leader cancels the transfer; if it passes afterwards, the leader steps down, since it
 * can't hold a lease again in this term.
 */
void continueLeadershipTransfer(ReplicaState &state, SteadyTime now, Effects &effects);

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const TimeoutNow &message,
            Effects &effects);

} // namespace gooseberry
