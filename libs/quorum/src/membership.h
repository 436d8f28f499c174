#pragma once

#include "replica_state.h"

namespace gooseberry {

// One change at a time, by one replica each, so that any majority of the old voters and any of the
// new ones have a voter in common.

/** Returns why the leader can't change the membership now, or Done. */
Status checkMembershipChange(const ReplicaState &state);

/** Return the membership after the change, or why it is refused. */
Result<Membership> withLearner(const ReplicaState &state, const InstanceId &id);
/** Refused with Unavailable until the learner has stored all that is committed. */
Result<Membership> withVoter(const ReplicaState &state, const InstanceId &id);
Result<Membership> withoutMember(const ReplicaState &state, const InstanceId &id);

/** Returns whether this leader has committed its own removal and must stop leading. */
bool isRemovedLeader(const ReplicaState &state);

} // namespace gooseberry
