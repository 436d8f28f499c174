#include "replication.h"

#include <algorithm>
#include <iterator>

#include "commit_rule.h"
#include "election.h"
#include "snapshot_transfer.h"

namespace gooseberry {

namespace {

std::set<InstanceId> replicationTargets(const ReplicaState &state)
{
    const Membership &membership = currentMembership(state.log);
    std::set<InstanceId> targets = membership.voters;
    targets.insert(membership.learners.begin(), membership.learners.end());
    targets.erase(state.settings.self);
    return targets;
}

/** Starts tracking new members and drops removed ones. */
void updatePeers(ReplicaState &state, const std::set<InstanceId> &targets)
{
    auto &peers = state.leadership.peers;
    std::erase_if(peers, [&](const auto &peer) { return !targets.contains(peer.first); });
    for (const InstanceId &target : targets) {
        if (!peers.contains(target)) {
            peers[target].nextIndex = LogIndex(state.log.lastIndex.value + 1);
        }
    }
}

void sendAppend(ReplicaState &state, const InstanceId &to, PeerProgress &peer, Effects &effects)
{
    const LogIndex previous = std::max(LogIndex(peer.nextIndex.value - 1), state.log.baseIndex);
    const std::uint64_t inFlight = previous.value - std::min(peer.matchIndex, previous).value;
    const std::uint64_t windowLeft = maxEntriesInFlight - std::min(maxEntriesInFlight, inFlight);
    LogIndex lastEntry(std::min(state.log.lastIndex.value, previous.value + windowLeft));
    if (needsSnapshot(state, peer)) {
        lastEntry = previous;
    } else {
        peer.nextIndex = LogIndex(lastEntry.value + 1);
    }
    effects.messages.push_back({.to = to,
                                .message = Append{.term = state.term,
                                                  .prevIndex = previous,
                                                  .prevTerm = *termAt(state.log, previous),
                                                  .entries = {},
                                                  .commit = state.commit,
                                                  .round = state.leadership.round},
                                .lastEntry = lastEntry});
}

/** Returns the index at which the leader should try next after a rejection. */
LogIndex conflictHint(const ReplicaState &state, const Append &message)
{
    if (message.prevIndex > state.log.lastIndex) {
        return state.log.lastIndex;
    }
    return std::max(state.commit,
                    LogIndex(firstIndexOfTerm(state.log, message.prevIndex).value - 1));
}

/** Stores the entries that are not in the log yet and returns the last index that now matches. */
LogIndex storeEntries(ReplicaState &state, const Append &message, Effects &effects)
{
    for (const LogEntry &entry : message.entries) {
        // Committed entries are identical on all replicas and may have been compacted here.
        if (entry.index > state.commit && termAt(state.log, entry.index) != entry.term) {
            storeEntry(state, entry, effects);
        }
    }
    return LogIndex(message.prevIndex.value + message.entries.size());
}

} // namespace

LogIndex appendOnLeader(ReplicaState &state, LogEntry entry, Effects &effects)
{
    entry.index = LogIndex(state.log.lastIndex.value + 1);
    entry.term = state.term;
    const LogIndex index = entry.index;
    storeEntry(state, std::move(entry), effects);
    return index;
}

void sendAppends(ReplicaState &state, SteadyTime now, bool heartbeat, Effects &effects)
{
    Leadership &leadership = state.leadership;
    updatePeers(state, replicationTargets(state));
    // Messages sent within a short time share a round, whose send time is that of the first one.
    // Therefore the number of rounds to track does not grow with the load.
    const auto current = leadership.roundSentAt.find(leadership.round);
    if (current == leadership.roundSentAt.end()
        || now >= current->second + state.settings.heartbeatInterval / 4) {
        leadership.round += 1;
        leadership.roundSentAt[leadership.round] = now;
    }
    std::erase_if(leadership.roundSentAt, [&](const auto &round) {
        return round.second + state.settings.maxElectionTimeout < now;
    });
    for (auto &[id, peer] : leadership.peers) {
        const bool snapshot = needsSnapshot(state, peer);
        const bool more = !snapshot && peer.nextIndex <= state.log.lastIndex
            && peer.nextIndex.value - peer.matchIndex.value <= maxEntriesInFlight;
        if (heartbeat || more) {
            sendAppend(state, id, peer, effects);
        }
        if (snapshot) {
            sendSnapshotChunk(state, now, id, peer, effects);
        }
    }
}

void setLastSentIndex(ReplicaState &state, const InstanceId &to, LogIndex lastSent)
{
    if (const auto peer = state.leadership.peers.find(to); peer != state.leadership.peers.end()) {
        peer->second.nextIndex = LogIndex(lastSent.value + 1);
    }
}

void followLeader(ReplicaState &state, SteadyTime now, Term term, const InstanceId &leader)
{
    if (term > state.term || state.role != Role::Follower) {
        becomeFollower(state, now, term, leader);
    }
    state.leader = leader;
    state.leaderLastContact = now;
    resetElectionDeadline(state, now);
}

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const Append &message,
            Effects &effects)
{
    AppendReply reply{.term = state.term,
                      .success = false,
                      .matchIndex = {},
                      .round = message.round,
                      .disk = state.settings.disk};
    if (message.term >= state.term) {
        followLeader(state, now, message.term, from);
        reply.term = state.term;
        // Entries before the base are committed and therefore match.
        reply.success = message.prevIndex < state.log.baseIndex
            || termAt(state.log, message.prevIndex) == message.prevTerm;
        reply.matchIndex
            = reply.success ? storeEntries(state, message, effects) : conflictHint(state, message);
        if (reply.success) {
            state.commit = std::max(state.commit, std::min(message.commit, reply.matchIndex));
        }
    }
    effects.messages.push_back({.to = from, .message = reply, .lastEntry = {}});
}

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const AppendReply &message,
            Effects & /*effects*/)
{
    if (message.term > state.term) {
        becomeFollower(state, now, message.term, std::nullopt);
        return;
    }
    const auto found = state.leadership.peers.find(from);
    if (state.role != Role::Leader || message.term < state.term
        || found == state.leadership.peers.end()) {
        return;
    }
    PeerProgress &peer = found->second;
    const auto sent = state.leadership.roundSentAt.find(message.round);
    if (sent == state.leadership.roundSentAt.end()) {
        // The round is too old to tell whether the peer still has the entries it had then.
        return;
    }
    if (peer.disk != message.disk) {
        peer = PeerProgress{};
        peer.disk = message.disk;
        peer.nextIndex = LogIndex(std::min(message.matchIndex, state.log.lastIndex).value + 1);
    }
    peer.ackedRoundSentAt = std::max(peer.ackedRoundSentAt, sent->second);
    peer.lastContact = now;
    if (message.success) {
        peer.matchIndex
            = std::max(peer.matchIndex, std::min(message.matchIndex, state.log.lastIndex));
        peer.nextIndex = std::max(peer.nextIndex, LogIndex(peer.matchIndex.value + 1));
        advanceCommit(state);
    } else if (message.matchIndex.value + 1 < peer.nextIndex.value) {
        if (sent == std::prev(state.leadership.roundSentAt.end())) {
            // A rejection of the latest round is not a delayed message: the peer has lost entries
            // that it had acknowledged and needs them again.
            peer.matchIndex = std::min(peer.matchIndex, message.matchIndex);
        }
        peer.nextIndex = LogIndex(std::max(message.matchIndex, peer.matchIndex).value + 1);
    }
}

} // namespace gooseberry
