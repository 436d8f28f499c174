#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Returns whether the next entry that the peer needs was compacted from the leader's log. */
bool needsSnapshot(const ReplicaState &state, const PeerProgress &peer);

/**
 * Queues the next chunk for the peer, unless one is in flight. The driver adds the bytes and the
 * last flag, since the contents of snapshots are not part of ReplicaState.
 */
void sendSnapshotChunk(ReplicaState &state, SteadyTime now, const InstanceId &to,
                       PeerProgress &peer, Effects &effects);

/**
 * Returns the last index that can be compacted after a snapshot. A leader keeps the entries that an
 * active follower still needs, since sending it a whole snapshot costs much more.
 */
LogIndex compactionIndex(const ReplicaState &state, SteadyTime now);

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from,
            const InstallSnapshot &message, Effects &effects);
void handle(ReplicaState &state, SteadyTime now, const InstanceId &from,
            const InstallSnapshotReply &message, Effects &effects);

} // namespace gooseberry
