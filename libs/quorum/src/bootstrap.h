#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Returns whether this replica has no state and its operator wants a new cell. */
bool readyToBootstrap(const ReplicaState &state);

/**
 * Returns whether this replica is the one that creates the new cell: the first voter by name. It
 * does so once all other voters have answered that they have no log. The membership names all their
 * data folders, so a voter that loses its disk afterwards is not taken for the same voter.
 */
bool isBootstrapCoordinator(const ReplicaState &state);

/** Asks the voters that have not answered yet, or creates the cell when it has one voter only. */
void requestReadiness(ReplicaState &state, SteadyTime now, Effects &effects);
void handleReadinessReply(ReplicaState &state, SteadyTime now, const InstanceId &from,
                          const PreVoteReply &message, Effects &effects);

} // namespace gooseberry
