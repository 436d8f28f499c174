#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Returns whether this replica has no log and is configured to bootstrap a new cell. */
bool readyToBootstrap(const ReplicaState &state);

/**
 * Returns whether this replica creates the new cell, which the voter with the lowest id does once
 * all other voters have replied that they have no log. The initial membership lists the data folder
 * of each voter, so that a voter that loses its disk afterwards is no longer accepted as the same
 * voter.
 */
bool isBootstrapCoordinator(const ReplicaState &state);

/**
 * Requests readiness from the voters that have not replied yet. Creates the cell at once if no
 * replies are missing, as with a single voter.
 */
void requestReadiness(ReplicaState &state, SteadyTime now, Effects &effects);
void handleReadinessReply(ReplicaState &state, SteadyTime now, const InstanceId &from,
                          const PreVoteReply &message, Effects &effects);

} // namespace gooseberry
