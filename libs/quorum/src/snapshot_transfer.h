#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Returns whether the next entry of the peer is no longer in the leader's log. */
bool needsSnapshot(const ReplicaState &state, const PeerProgress &peer);

/**
 * Asks the driver to send the part that the peer waits for, unless one is under way. The driver
 * adds the bytes and the last flag, since snapshots are not part of the state.
 */
void sendSnapshotChunk(ReplicaState &state, SteadyTime now, const InstanceId &to,
                       PeerProgress &peer, Effects &effects);

/**
 * Returns up to where the log can be cut after a snapshot. A leader keeps what a follower that is
 * alive still lacks, since sending it a whole snapshot costs much more.
 */
LogIndex compactionIndex(const ReplicaState &state, SteadyTime now);

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from,
            const InstallSnapshot &message, Effects &effects);
void handle(ReplicaState &state, SteadyTime now, const InstanceId &from,
            const InstallSnapshotReply &message, Effects &effects);

} // namespace gooseberry
