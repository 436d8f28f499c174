#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Sets the election deadline to a random timeout from now. */
void resetElectionDeadline(ReplicaState &state, SteadyTime now);

/** Becomes a follower in the current or a newer term. The leader may not be known yet. */
void becomeFollower(ReplicaState &state, SteadyTime now, Term term,
                    const std::optional<InstanceId> &leader);
/** Becomes the leader and appends a no-op entry, which commits all entries of earlier terms. */
void becomeLeader(ReplicaState &state, SteadyTime now, Effects &effects);

/** Starts a pre-vote, so that an election that can't be won does not increment the term. */
void startPreVote(ReplicaState &state, SteadyTime now, Effects &effects);
/** Requests votes in a new term. In a leadership transfer, voters ignore the leader's lease. */
void startElection(ReplicaState &state, SteadyTime now, bool leadershipTransfer, Effects &effects);

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const PreVote &message,
            Effects &effects);
void handle(ReplicaState &state, SteadyTime now, const InstanceId &from,
            const PreVoteReply &message, Effects &effects);
void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const Vote &message,
            Effects &effects);
void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const VoteReply &message,
            Effects &effects);

} // namespace gooseberry
