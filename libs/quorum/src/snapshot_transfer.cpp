#include "snapshot_transfer.h"

#include <algorithm>

#include "election.h"
#include "replication.h"

namespace gooseberry {

namespace {

/** Replaces the log by the received snapshot. */
void installSnapshot(ReplicaState &state, Effects &effects)
{
    IncomingSnapshot &snapshot = state.incoming;
    resetLog(state.log, snapshot.lastIndex, snapshot.lastTerm, snapshot.membership);
    state.snapshot = SnapshotInfo{.lastIndex = snapshot.lastIndex,
                                  .lastTerm = snapshot.lastTerm,
                                  .membership = snapshot.membership};
    state.commit = snapshot.lastIndex;
    effects.entries.clear();
    effects.install = std::move(snapshot);
    state.incoming = {};
}

} // namespace

bool needsSnapshot(const ReplicaState &state, const PeerProgress &peer)
{
    return peer.nextIndex <= state.log.baseIndex;
}

void sendSnapshotChunk(ReplicaState &state, SteadyTime now, const InstanceId &to,
                       PeerProgress &peer, Effects &effects)
{
    if (peer.snapshotIndex != state.snapshot.lastIndex) {
        peer.snapshotIndex = state.snapshot.lastIndex;
        peer.snapshotOffset = 0;
        peer.chunkSentAt.reset();
    }
    if (peer.chunkSentAt && now < *peer.chunkSentAt + 2 * state.settings.heartbeatInterval) {
        return;
    }
    peer.chunkSentAt = now;
    effects.messages.push_back({.to = to,
                                .message = InstallSnapshot{.term = state.term,
                                                           .lastIndex = state.snapshot.lastIndex,
                                                           .lastTerm = state.snapshot.lastTerm,
                                                           .membership = state.snapshot.membership,
                                                           .offset = peer.snapshotOffset,
                                                           .chunk = {},
                                                           .last = false},
                                .lastEntry = {}});
}

LogIndex compactionIndex(const ReplicaState &state, SteadyTime now)
{
    LogIndex target = std::min(state.snapshot.lastIndex, state.durable);
    for (const auto &[id, peer] : state.leadership.peers) {
        if (peer.lastContact != SteadyTime::min()
            && now < peer.lastContact + state.settings.maxElectionTimeout
            && !needsSnapshot(state, peer)) {
            target = std::min(target, peer.matchIndex);
        }
    }
    return std::max(target, state.log.baseIndex);
}

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from,
            const InstallSnapshot &message, Effects &effects)
{
    InstallSnapshotReply reply{
        .term = state.term, .lastIndex = message.lastIndex, .nextOffset = 0, .complete = false};
    if (message.term >= state.term) {
        followLeader(state, now, message.term, from);
        reply.term = state.term;
        IncomingSnapshot &incoming = state.incoming;
        if (message.lastIndex <= state.commit
            || termAt(state.log, message.lastIndex) == message.lastTerm) {
            // The log contains all entries of the snapshot, and possibly later ones that must be
            // kept.
            state.commit = std::max(state.commit, message.lastIndex);
            incoming = {};
            reply.complete = true;
        } else {
            if (incoming.lastIndex != message.lastIndex || message.offset == 0) {
                incoming = IncomingSnapshot{.lastIndex = message.lastIndex,
                                            .lastTerm = message.lastTerm,
                                            .membership = message.membership,
                                            .bytes = {}};
            }
            const bool expected = message.offset == incoming.bytes.size();
            if (expected) {
                incoming.bytes += message.chunk;
            }
            reply.nextOffset = incoming.bytes.size();
            if (expected && message.last) {
                installSnapshot(state, effects);
                reply.complete = true;
            }
        }
    }
    effects.messages.push_back({.to = from, .message = reply, .lastEntry = {}});
}

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from,
            const InstallSnapshotReply &message, Effects & /*effects*/)
{
    if (message.term > state.term) {
        becomeFollower(state, now, message.term, std::nullopt);
        return;
    }
    const auto found = state.leadership.peers.find(from);
    if (state.role != Role::Leader || message.term < state.term
        || found == state.leadership.peers.end()
        || found->second.snapshotIndex != message.lastIndex) {
        return;
    }
    PeerProgress &peer = found->second;
    peer.chunkSentAt.reset();
    if (message.complete) {
        // matchIndex is advanced only by the reply to the next Append, which shows whether the
        // follower still has the snapshot.
        peer.nextIndex = std::max(peer.nextIndex, LogIndex(message.lastIndex.value + 1));
        peer.snapshotIndex = LogIndex(0);
    } else {
        peer.snapshotOffset = message.nextOffset;
    }
}

} // namespace gooseberry
