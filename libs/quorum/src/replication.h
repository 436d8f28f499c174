#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Appends an entry on the leader and returns its index. */
LogIndex appendOnLeader(ReplicaState &state, LogEntry entry, Effects &effects);

/**
 * Sends each other replica what it lacks; with heartbeat, something to all of them. One call is one
 * round, whose answers extend the lease.
 */
void sendAppends(ReplicaState &state, SteadyTime now, bool heartbeat, Effects &effects);

/** Tells the leader that fewer entries were sent than asked for, since they were too large. */
void setLastSentIndex(ReplicaState &state, const InstanceId &to, LogIndex lastSent);

/** Takes note of a message of the leader of a term that is at least the own one. */
void followLeader(ReplicaState &state, SteadyTime now, Term term, const InstanceId &leader);

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const Append &message,
            Effects &effects);
void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const AppendReply &message,
            Effects &effects);

} // namespace gooseberry
