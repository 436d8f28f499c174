#include "membership.h"

namespace gooseberry {

namespace {

Error rejection(ErrorCode code, const InstanceId &id, const std::string &message)
{
    return Error{.code = code,
                 .step = Step::Commit,
                 .peer = id.value,
                 .message = message,
                 .outcome = Outcome::NotRun};
}

} // namespace

Status checkMembershipChange(const ReplicaState &state)
{
    if (state.role != Role::Leader) {
        return rejection(ErrorCode::NotLeader, state.settings.self, "this replica does not lead");
    }
    // Until an entry of the current term is committed, a change of an earlier term may still be in
    // progress without this leader knowing.
    if (state.commit < state.leadership.noOpIndex) {
        return rejection(ErrorCode::Unavailable, state.settings.self,
                         "no entry of the current term is committed yet");
    }
    if (membershipIndex(state.log) > state.commit) {
        return rejection(ErrorCode::Conflict, state.settings.self,
                         "another membership change is in progress");
    }
    return Done{};
}

Result<Membership> withLearner(const ReplicaState &state, const InstanceId &id)
{
    Membership membership = currentMembership(state.log);
    if (membership.voters.contains(id)) {
        return rejection(ErrorCode::Conflict, id,
                         "the replica is a voter; remove it first if it has lost its disk");
    }
    membership.learners.insert(id);
    return membership;
}

Result<Membership> withVoter(const ReplicaState &state, const InstanceId &id)
{
    Membership membership = currentMembership(state.log);
    const auto peer = state.leadership.peers.find(id);
    if (!membership.learners.contains(id) || peer == state.leadership.peers.end()) {
        return rejection(ErrorCode::NotFound, id, "the replica is not a learner");
    }
    if (peer->second.matchIndex < state.commit || peer->second.lastContact == SteadyTime::min()) {
        return rejection(ErrorCode::Unavailable, id, "the learner has not caught up");
    }
    membership.learners.erase(id);
    membership.voters.insert(id);
    membership.disks[id] = peer->second.disk;
    return membership;
}

Result<Membership> withoutMember(const ReplicaState &state, const InstanceId &id)
{
    Membership membership = currentMembership(state.log);
    if (membership.voters.erase(id) + membership.learners.erase(id) == 0) {
        return rejection(ErrorCode::NotFound, id, "the replica is not a member");
    }
    if (membership.voters.empty()) {
        return rejection(ErrorCode::InvalidArgument, id, "the last voter can't be removed");
    }
    membership.disks.erase(id);
    return membership;
}

bool isRemovedLeader(const ReplicaState &state)
{
    return state.role == Role::Leader && membershipIndex(state.log) <= state.commit
        && !currentMembership(state.log).voters.contains(state.settings.self);
}

} // namespace gooseberry
