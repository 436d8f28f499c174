#pragma once

#include "replica_state.h"

namespace gooseberry {

/**
 * Chooses the voter with most of the log among those heard lately. From then on the leader accepts
 * no proposals. Fails with Unavailable without such a voter.
 */
Status beginLeadershipTransfer(ReplicaState &state, SteadyTime now);

/**
 * Signals the chosen voter once it has the whole log. When the time is up before, the leader goes
 * on; after the signal it stops leading instead, since its lease can't come back in this term.
 */
void continueLeadershipTransfer(ReplicaState &state, SteadyTime now, Effects &effects);

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const TimeoutNow &message,
            Effects &effects);

} // namespace gooseberry
