#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Returns the send time of the latest round that a majority of voters has acknowledged. */
SteadyTime lastQuorumRoundSentAt(const ReplicaState &state, SteadyTime now);

/**
 * Returns when the leader lease expires, or nullopt without a lease. The lease starts when the
 * acknowledged round was sent, since the time during which a voter refuses to vote starts later,
 * when it receives the round. The lease is shortened by the maximum clock drift, since the voters
 * use other clocks. After TimeoutNow was sent there is no lease for the rest of the term, since the
 * message can't be revoked.
 */
std::optional<SteadyTime> leaseEnd(const ReplicaState &state, SteadyTime now);

/**
 * Returns whether the last contact with a leader is less than the minimum election timeout ago. If
 * so, this replica refuses to vote.
 */
bool hasRecentLeaderContact(const ReplicaState &state, SteadyTime now);

} // namespace gooseberry
