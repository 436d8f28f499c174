#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Returns the highest index that a majority of voters has stored, 0 when there is none. */
LogIndex majorityMatchIndex(const ReplicaState &state);

/**
 * Advances the leader's commit index. Only entries of the own term are committed by counting;
 * earlier ones follow with them, since a majority can still lose an entry of an earlier term.
 */
void advanceCommit(ReplicaState &state);

} // namespace gooseberry
