#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Returns the highest index that a majority of voters has stored, or 0. */
LogIndex majorityMatchIndex(const ReplicaState &state);

/**
 * Advances the leader's commit index. Only entries of the current term are committed by counting
 * replicas; entries of earlier terms are committed indirectly with them, since an entry of an
 * earlier term can still be overwritten although a majority has stored it.
 */
void advanceCommit(ReplicaState &state);

} // namespace gooseberry
