#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Returns when the latest round that a majority of voters has answered was sent. */
SteadyTime lastQuorumRoundSentAt(const ReplicaState &state, SteadyTime now);

/**
 * Returns when the leader's lease ends, nothing without a lease. The lease counts from the time at
 * which the answered round was sent, since every voter that answered refuses votes from a later
 * time on. It is shortened by the drift bound, since those voters count by other clocks. After a
 * hand-over was timeoutNowSent there is none for the rest of the term: the signal can't be taken
 * back.
 */
std::optional<SteadyTime> leaseEnd(const ReplicaState &state, SteadyTime now);

/** Returns whether a leader is known to be alive, so that this replica refuses to vote. */
bool hasRecentLeaderContact(const ReplicaState &state, SteadyTime now);

} // namespace gooseberry
