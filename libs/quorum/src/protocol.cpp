#include "protocol.h"

#include <algorithm>

#include "bootstrap.h"
#include "commit_rule.h"
#include "election.h"
#include "leader_lease.h"
#include "leadership_transfer.h"
#include "membership.h"
#include "replication.h"
#include "snapshot_transfer.h"

namespace gooseberry {

namespace {

bool isSingleVoter(const ReplicaState &state)
{
    return mayVote(state) && currentMembership(state.log).voters.size() == 1;
}

void tickLeader(ReplicaState &state, SteadyTime now, Effects &effects)
{
    const SteadyTime lastContactAt
        = std::max(state.leadership.electedAt, lastQuorumRoundSentAt(state, now));
    if (isRemovedLeader(state) || now >= lastContactAt + state.settings.maxElectionTimeout) {
        becomeFollower(state, now, state.term, std::nullopt);
        return;
    }
    continueLeadershipTransfer(state, now, effects);
}

} // namespace

void initialize(ReplicaState &state, SteadyTime now)
{
    state.commit = state.snapshot.lastIndex;
    state.durable = state.log.lastIndex;
    if (state.term > Term(0) && !state.settings.injectedBugs.forgetLeaderContactOnRestart) {
        state.leaderLastContact = now;
    }
    resetElectionDeadline(state, now);
    if (isBootstrapCoordinator(state) || isSingleVoter(state)) {
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
        if (isBootstrapCoordinator(state)) {
            requestReadiness(state, now, effects);
        } else if (isSingleVoter(state)) {
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
    state.durable = state.log.lastIndex;
    if (state.role == Role::Leader) {
        advanceCommit(state);
    }
}

SteadyTime nextTick(const ReplicaState &state)
{
    if (state.role != Role::Leader) {
        return state.electionDeadline;
    }
    const auto &transfer = state.leadership.transfer;
    return transfer ? std::min(transfer->deadline, state.leadership.nextHeartbeat)
                    : state.leadership.nextHeartbeat;
}

} // namespace gooseberry
