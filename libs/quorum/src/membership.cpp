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
    // Without an entry of the own term committed, an earlier change may be under way unseen.
    if (state.commit < state.leadership.noOpIndex) {
        return rejection(ErrorCode::Unavailable, state.settings.self, "the term has just begun");
    }
    if (membershipIndex(state.log) > state.commit) {
        return rejection(ErrorCode::Conflict, state.settings.self,
                         "another membership change is under way");
    }
    return Done{};
}

Result<Membership> withLearner(const ReplicaState &state, const InstanceId &id)
{
    Membership membership = currentMembership(state.log);
    if (membership.voters.contains(id)) {
        return rejection(ErrorCode::Conflict, id,
                         "it is a voter; remove it first if it has lost its disk");
    }
    membership.learners.insert(id);
    return membership;
}

Result<Membership> withVoter(const ReplicaState &state, const InstanceId &id)
{
    Membership membership = currentMembership(state.log);
    const auto peer = state.leadership.peers.find(id);
    if (!membership.learners.contains(id) || peer == state.leadership.peers.end()) {
        return rejection(ErrorCode::NotFound, id, "it is not a learner");
    }
    if (peer->second.matchIndex < state.commit || peer->second.heardAt == SteadyTime::min()) {
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
        return rejection(ErrorCode::NotFound, id, "it is not a member");
    }
    if (membership.voters.empty()) {
        return rejection(ErrorCode::InvalidArgument, id, "it is the last voter");
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
