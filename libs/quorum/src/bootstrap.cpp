#include "bootstrap.h"

#include "election.h"

namespace gooseberry {

namespace {

void bootstrapWhenReady(ReplicaState &state, SteadyTime now, Effects &effects)
{
    Membership membership = state.settings.initialMembership;
    membership.disks = state.readyDisks;
    membership.disks[state.settings.self] = state.settings.disk;
    if (membership.disks.size() < membership.voters.size()) {
        return;
    }
    state.term = Term(1);
    state.votedFor = state.settings.self;
    storeEntry(state,
               LogEntry{.index = LogIndex(1),
                        .term = state.term,
                        .kind = EntryKind::Membership,
                        .payload = {},
                        .membership = membership},
               effects);
    becomeLeader(state, now, effects);
}

} // namespace

bool readyToBootstrap(const ReplicaState &state)
{
    // In term 1 only the coordinator votes for itself. If it has no entries in that term, it
    // crashed between storing its vote and the initial entries.
    const bool unused
        = state.term == Term(0) || (state.term == Term(1) && state.votedFor == state.settings.self);
    return state.settings.bootstrap && unused && state.log.lastIndex == LogIndex(0)
        && !state.logExistsElsewhere;
}

bool isBootstrapCoordinator(const ReplicaState &state)
{
    const auto &voters = state.settings.initialMembership.voters;
    return readyToBootstrap(state) && !voters.empty() && *voters.begin() == state.settings.self;
}

void requestReadiness(ReplicaState &state, SteadyTime now, Effects &effects)
{
    state.electionDeadline = now + state.settings.heartbeatInterval;
    for (const InstanceId &voter : state.settings.initialMembership.voters) {
        if (voter != state.settings.self && !state.readyDisks.contains(voter)) {
            effects.messages.push_back({.to = voter, .message = PreVote{}, .lastEntry = {}});
        }
    }
    bootstrapWhenReady(state, now, effects);
}

void handleReadinessReply(ReplicaState &state, SteadyTime now, const InstanceId &from,
                          const PreVoteReply &message, Effects &effects)
{
    if (message.granted && state.settings.initialMembership.voters.contains(from)) {
        state.readyDisks[from] = message.disk;
        bootstrapWhenReady(state, now, effects);
    } else if (message.term > Term(0)) {
        state.logExistsElsewhere = true;
    }
}

} // namespace gooseberry
