#pragma once

#include "replica_state.h"

namespace gooseberry {

// The order of one batch: receive() and append calls, then tick() and finishBatch(); the driver
// makes the effects durable, calls entriesStored() and sends the messages.

/**
 * Begins with the recovered durable part of the state. Until minElectionTimeout has passed the
 * replica refuses to vote, since it may have answered a leader just before it stopped.
 */
void initialize(ReplicaState &state, SteadyTime now);

void receive(ReplicaState &state, SteadyTime now, const InstanceId &from,
             const QuorumMessage &message, Effects &effects);

/** Does what is due: elections, heartbeats, the end of a leadership without quorum, hand-over. */
void tick(ReplicaState &state, SteadyTime now, Effects &effects);

/** Sends what this batch has added. */
void finishBatch(ReplicaState &state, SteadyTime now, Effects &effects);

/** The entries of the batch are durable here, which may commit them. */
void entriesStored(ReplicaState &state);

/** Returns when tick() has something to do again. */
SteadyTime nextTick(const ReplicaState &state);

} // namespace gooseberry
