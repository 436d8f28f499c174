#pragma once

#include "replica_state.h"

namespace gooseberry {

// A driver processes events in batches. For each batch it calls receive() for each message and
// appendOnLeader() for each proposal, then tick() and finishBatch(). It then makes the effects
// durable, calls entriesStored() and sends the messages.

/**
 * Initializes the volatile state after recovery. The replica then refuses to vote for
 * minElectionTimeout, since it may have replied to a leader just before it stopped.
 */
void initialize(ReplicaState &state, SteadyTime now);

void receive(ReplicaState &state, SteadyTime now, const InstanceId &from,
             const QuorumMessage &message, Effects &effects);

/**
 * Performs actions whose deadline has passed: starts elections, steps down as leader after losing
 * contact with a quorum, and continues a leadership transfer.
 */
void tick(ReplicaState &state, SteadyTime now, Effects &effects);

/** On the leader, sends the entries that this batch has appended, and heartbeats that are due. */
void finishBatch(ReplicaState &state, SteadyTime now, Effects &effects);

/** Records that the entries of the batch are durable on this replica, which may commit them. */
void entriesStored(ReplicaState &state);

/** Returns the time of the next tick() call that is needed. */
SteadyTime nextTick(const ReplicaState &state);

} // namespace gooseberry
