#pragma once

#include "replica_state.h"

namespace gooseberry {

// Only one membership change may be in progress, and it changes one replica, so that any majority
// of the old voters and any majority of the new voters overlap.

/** Returns Done if the leader can change the membership now, otherwise the reason why not. */
Status checkMembershipChange(const ReplicaState &state);

// These return the membership after the change, or the reason why it is rejected.

Result<Membership> withLearner(const ReplicaState &state, const InstanceId &id);
/** Fails with Unavailable until the learner has stored all committed entries. */
Result<Membership> withVoter(const ReplicaState &state, const InstanceId &id);
Result<Membership> withoutMember(const ReplicaState &state, const InstanceId &id);

/** Returns whether this leader has committed its own removal and must step down. */
bool isRemovedLeader(const ReplicaState &state);

} // namespace gooseberry
