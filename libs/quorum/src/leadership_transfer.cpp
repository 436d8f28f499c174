#include "leadership_transfer.h"

#include "election.h"

namespace gooseberry {

Status beginLeadershipTransfer(ReplicaState &state, SteadyTime now)
{
    Error rejection{.code = ErrorCode::NotLeader,
                    .step = Step::Commit,
                    .peer = state.settings.self.value,
                    .message = "this replica does not lead",
                    .outcome = Outcome::NotRun};
    if (state.role != Role::Leader) {
        return rejection;
    }
    std::optional<InstanceId> best;
    for (const auto &[id, peer] : state.leadership.peers) {
        const bool alive = peer.lastContact != SteadyTime::min()
            && now < peer.lastContact + state.settings.minElectionTimeout;
        if (alive && countsInQuorum(state, id)
            && (!best || peer.matchIndex > state.leadership.peers.at(*best).matchIndex)) {
            best = id;
        }
    }
    if (!best) {
        rejection.code = ErrorCode::Unavailable;
        rejection.message = "no other voter answers";
        return rejection;
    }
    if (!state.leadership.transfer) {
        state.leadership.transfer
            = LeadershipTransfer{.target = *best,
                                 .deadline = now + state.settings.maxElectionTimeout,
                                 .timeoutNowSent = false};
    }
    return Done{};
}

void continueLeadershipTransfer(ReplicaState &state, SteadyTime now, Effects &effects)
{
    auto &transfer = state.leadership.transfer;
    if (state.role != Role::Leader || !transfer) {
        return;
    }
    if (now >= transfer->deadline) {
        if (transfer->timeoutNowSent) {
            becomeFollower(state, now, state.term, std::nullopt);
        } else {
            transfer.reset();
        }
        return;
    }
    const auto target = state.leadership.peers.find(transfer->target);
    if (!transfer->timeoutNowSent && target != state.leadership.peers.end()
        && target->second.matchIndex == state.log.lastIndex) {
        transfer->timeoutNowSent = true;
        effects.messages.push_back(
            {.to = transfer->target, .message = TimeoutNow{.term = state.term}, .lastEntry = {}});
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
