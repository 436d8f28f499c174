#include "hand_over.h"

#include "election.h"

namespace gooseberry {

Status beginHandOver(ReplicaState &state, SteadyTime now)
{
    Error refusal{.code = ErrorCode::NotLeader,
                  .step = Step::Commit,
                  .peer = state.settings.self.value,
                  .message = "this replica does not lead",
                  .outcome = Outcome::NotRun};
    if (state.role != Role::Leader) {
        return refusal;
    }
    std::optional<InstanceId> best;
    for (const auto &[id, peer] : state.leadership.peers) {
        const bool alive = peer.heardAt != SteadyTime::min()
            && now < peer.heardAt + state.settings.minElectionTimeout;
        if (alive && countsInQuorum(state, id)
            && (!best || peer.match > state.leadership.peers.at(*best).match)) {
            best = id;
        }
    }
    if (!best) {
        refusal.code = ErrorCode::Unavailable;
        refusal.message = "no other voter answers";
        return refusal;
    }
    if (!state.leadership.handOver) {
        state.leadership.handOver = HandOver{.target = *best,
                                             .deadline = now + state.settings.maxElectionTimeout,
                                             .signalled = false};
    }
    return Done{};
}

void continueHandOver(ReplicaState &state, SteadyTime now, Effects &effects)
{
    auto &handOver = state.leadership.handOver;
    if (state.role != Role::Leader || !handOver) {
        return;
    }
    if (now >= handOver->deadline) {
        if (handOver->signalled) {
            becomeFollower(state, now, state.term, std::nullopt);
        } else {
            handOver.reset();
        }
        return;
    }
    const auto target = state.leadership.peers.find(handOver->target);
    if (!handOver->signalled && target != state.leadership.peers.end()
        && target->second.match == state.log.last) {
        handOver->signalled = true;
        effects.messages.push_back(
            {.to = handOver->target, .message = TimeoutNow{.term = state.term}, .lastEntry = {}});
    }
}

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const TimeoutNow &message,
            Effects &effects)
{
    if (message.term == state.term && state.role != Role::Leader && state.leader == from
        && mayVote(state)) {
        startElection(state, now, true, effects);
    }
}

} // namespace gooseberry
