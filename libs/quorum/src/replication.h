#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Appends an entry to the leader's log and returns its index. */
LogIndex appendOnLeader(ReplicaState &state, LogEntry entry, Effects &effects);

/**
 * Sends the missing entries to each replica, and with heartbeat at least an empty Append. The
 * messages carry the number of the current round; replies to it extend the lease.
 */
void sendAppends(ReplicaState &state, SteadyTime now, bool heartbeat, Effects &effects);

/** Records that the driver sent fewer entries than requested because of the size limit. */
void setLastSentIndex(ReplicaState &state, const InstanceId &to, LogIndex lastSent);

/** Follows the sender of a leader's message whose term is at least the current one. */
void followLeader(ReplicaState &state, SteadyTime now, Term term, const InstanceId &leader);

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const Append &message,
            Effects &effects);
void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const AppendReply &message,
            Effects &effects);

} // namespace gooseberry
