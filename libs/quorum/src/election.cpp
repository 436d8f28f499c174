#include "election.h"

#include "bootstrap.h"
#include "leader_lease.h"

namespace gooseberry {

namespace {

void setRandomDeadline(ReplicaState &state, SteadyTime now, Duration shortest, Duration longest)
{
    std::uniform_int_distribution<Duration::rep> jitter(shortest.count(), longest.count());
    state.electionDeadline = now + Duration(jitter(state.random));
}

bool hasQuorumOfVotes(const ReplicaState &state)
{
    const Membership &membership = currentMembership(state.log);
    std::size_t granted = 0;
    for (const InstanceId &voter : membership.voters) {
        granted += state.grantedVotes.contains(voter) ? 1 : 0;
    }
    return granted >= quorumSize(membership);
}

template<typename Message>
void requestVotes(const ReplicaState &state, Message message, Effects &effects)
{
    const Membership &membership = currentMembership(state.log);
    for (const InstanceId &voter : membership.voters) {
        if (const auto disk = membership.disks.find(voter);
            voter != state.settings.self && disk != membership.disks.end()) {
            message.disk = disk->second;
            effects.messages.push_back({.to = voter, .message = message, .lastEntry = {}});
        }
    }
}

} // namespace

void resetElectionDeadline(ReplicaState &state, SteadyTime now)
{
    setRandomDeadline(state, now, state.settings.minElectionTimeout,
                      state.settings.maxElectionTimeout);
}

void becomeFollower(ReplicaState &state, SteadyTime now, Term term,
                    const std::optional<InstanceId> &leader)
{
    if (term > state.term) {
        state.term = term;
        state.votedFor.reset();
    }
    if (state.role != Role::Follower) {
        resetElectionDeadline(state, now);
    }
    state.role = Role::Follower;
    state.leader = leader;
    state.grantedVotes.clear();
    state.leadership = {};
}

void becomeLeader(ReplicaState &state, SteadyTime now, Effects &effects)
{
    state.role = Role::Leader;
    state.leader = state.settings.self;
    state.leadership = {};
    state.leadership.electedAt = now;
    state.leadership.nextHeartbeat = now;
    // Starts at the clock value, so that replies to rounds that a previous process sent in the same
    // term are not mistaken for replies to new rounds.
    state.leadership.round = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const LogIndex noOpIndex(state.log.lastIndex.value + 1);
    state.leadership.noOpIndex = noOpIndex;
    storeEntry(state,
               LogEntry{.index = noOpIndex,
                        .term = state.term,
                        .kind = EntryKind::NoOp,
                        .payload = {},
                        .membership = {}},
               effects);
}

void startPreVote(ReplicaState &state, SteadyTime now, Effects &effects)
{
    state.role = Role::PreCandidate;
    state.leader.reset();
    state.grantedVotes = {state.settings.self};
    // A pre-vote disrupts no other replica, so a failed one is retried after a short timeout.
    setRandomDeadline(state, now, state.settings.heartbeatInterval,
                      2 * state.settings.heartbeatInterval);
    if (hasQuorumOfVotes(state)) {
        startElection(state, now, false, effects);
        return;
    }
    requestVotes(state,
                 PreVote{.term = Term(state.term.value + 1),
                         .lastIndex = state.log.lastIndex,
                         .lastTerm = lastTerm(state.log),
                         .disk = {}},
                 effects);
}

void startElection(ReplicaState &state, SteadyTime now, bool leadershipTransfer, Effects &effects)
{
    state.role = Role::Candidate;
    state.leader.reset();
    state.leadership = {};
    state.term = Term(state.term.value + 1);
    state.votedFor = state.settings.self;
    state.grantedVotes = {state.settings.self};
    setRandomDeadline(state, now, state.settings.minElectionTimeout / 2,
                      state.settings.minElectionTimeout);
    if (hasQuorumOfVotes(state)) {
        becomeLeader(state, now, effects);
        return;
    }
    requestVotes(state,
                 Vote{.term = state.term,
                      .lastIndex = state.log.lastIndex,
                      .lastTerm = lastTerm(state.log),
                      .handOver = leadershipTransfer,
                      .disk = {}},
                 effects);
}

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const PreVote &message,
            Effects &effects)
{
    PreVoteReply reply{.term = state.term, .granted = false, .disk = state.settings.disk};
    if (message.term == Term(0)) {
        reply.granted = readyToBootstrap(state);
    } else if (mayVoteFor(state, message.disk) && message.term > state.term
               && !hasRecentLeaderContact(state, now)
               && isUpToDate(message.lastIndex, message.lastTerm, state.log)) {
        reply.granted = true;
        reply.term = message.term;
    }
    effects.messages.push_back({.to = from, .message = reply, .lastEntry = {}});
}

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from,
            const PreVoteReply &message, Effects &effects)
{
    if (isBootstrapCoordinator(state)) {
        handleReadinessReply(state, now, from, message, effects);
        return;
    }
    if (message.granted) {
        if (state.role == Role::PreCandidate && message.term.value == state.term.value + 1) {
            state.grantedVotes.insert(from);
            if (hasQuorumOfVotes(state)) {
                startElection(state, now, false, effects);
            }
        }
    } else if (message.term > state.term && mayVote(state)) {
        becomeFollower(state, now, message.term, std::nullopt);
    }
}

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const Vote &message,
            Effects &effects)
{
    const bool allowed = mayVoteFor(state, message.disk)
        && (message.handOver || !hasRecentLeaderContact(state, now));
    if (allowed && message.term > state.term) {
        becomeFollower(state, now, message.term, std::nullopt);
    }
    const bool granted = allowed && message.term == state.term
        && (!state.votedFor || *state.votedFor == from)
        && isUpToDate(message.lastIndex, message.lastTerm, state.log);
    if (granted) {
        state.votedFor = from;
        resetElectionDeadline(state, now);
    }
    effects.messages.push_back({.to = from,
                                .message = VoteReply{.term = state.term, .granted = granted},
                                .lastEntry = {}});
}

void handle(ReplicaState &state, SteadyTime now, const InstanceId &from, const VoteReply &message,
            Effects &effects)
{
    if (message.term > state.term) {
        becomeFollower(state, now, message.term, std::nullopt);
    } else if (message.granted && message.term == state.term && state.role == Role::Candidate) {
        state.grantedVotes.insert(from);
        if (hasQuorumOfVotes(state)) {
            becomeLeader(state, now, effects);
        }
    }
}

} // namespace gooseberry
