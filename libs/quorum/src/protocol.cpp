#include "protocol.h"

#include <algorithm>

#include "bootstrap.h"
#include "commit_rule.h"
#include "election.h"
#include "hand_over.h"
#include "leader_lease.h"
#include "membership.h"
#include "replication.h"
#include "snapshot_transfer.h"

namespace gooseberry {

namespace {

bool isLoneVoter(const ReplicaState &state)
{
    return mayVote(state) && currentMembership(state.log).voters.size() == 1;
}

void tickLeader(ReplicaState &state, SteadyTime now, Effects &effects)
{
    const SteadyTime answered = std::max(state.leadership.beganAt, quorumAnsweredAt(state, now));
    if (isRemovedLeader(state) || now >= answered + state.settings.maxElectionTimeout) {
        becomeFollower(state, now, state.term, std::nullopt);
        return;
    }
    continueHandOver(state, now, effects);
}

} // namespace

void begin(ReplicaState &state, SteadyTime now)
{
    state.commit = state.snapshot.lastIndex;
    state.durable = state.log.last;
    if (state.term > Term(0) && !state.settings.breaches.forgetHeardLeaderOnRestart) {
        state.leaderHeardAt = now;
    }
    resetElectionDeadline(state, now);
    if (createsNewCell(state) || isLoneVoter(state)) {
        state.electionDeadline = now;
    }
}

void receive(ReplicaState &state, SteadyTime now, const InstanceId &from,
             const QuorumMessage &message, Effects &effects)
{
    std::visit([&](const auto &content) { handle(state, now, from, content, effects); }, message);
}

void tick(ReplicaState &state, SteadyTime now, Effects &effects)
{
    if (state.role == Role::Leader) {
        tickLeader(state, now, effects);
    } else if (now >= state.electionDeadline) {
        if (createsNewCell(state)) {
            askForReadiness(state, now, effects);
        } else if (isLoneVoter(state)) {
            startElection(state, now, false, effects);
        } else if (mayVote(state)) {
            startPreVote(state, now, effects);
        } else {
            state.leader.reset();
            resetElectionDeadline(state, now);
        }
    }
}

void finishBatch(ReplicaState &state, SteadyTime now, Effects &effects)
{
    if (state.role != Role::Leader) {
        return;
    }
    const bool heartbeat = now >= state.leadership.nextHeartbeat;
    if (heartbeat) {
        state.leadership.nextHeartbeat = now + state.settings.heartbeatInterval;
    }
    sendAppends(state, now, heartbeat, effects);
}

void entriesStored(ReplicaState &state)
{
    state.durable = state.log.last;
    if (state.role == Role::Leader) {
        advanceCommit(state);
    }
}

SteadyTime nextTick(const ReplicaState &state)
{
    if (state.role != Role::Leader) {
        return state.electionDeadline;
    }
    const auto &handOver = state.leadership.handOver;
    return handOver ? std::min(handOver->deadline, state.leadership.nextHeartbeat)
                    : state.leadership.nextHeartbeat;
}

} // namespace gooseberry
