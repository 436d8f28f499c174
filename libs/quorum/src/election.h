#pragma once

#include "replica_state.h"

namespace gooseberry {

/** Sets a new random election deadline, counted from now. */
void resetElectionDeadline(ReplicaState &state, SteadyTime now);

/** Follows, in this term or a newer one. The leader may not be known yet. */
void becomeFollower(ReplicaState &state, SteadyTime now, Term term,
                    const std::optional<InstanceId> &leader);
/** Leads, beginning with a no-op entry that commits all entries of earlier terms. */
void becomeLeader(ReplicaState &state, SteadyTime now, Effects &effects);

/** Asks the voters whether an election could be won, so that no term is used up in vain. */
void startPreVote(ReplicaState &state, SteadyTime now, Effects &effects);
/** Asks for votes in a new term. With handOver, voters ignore the old leader's lease. */
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
