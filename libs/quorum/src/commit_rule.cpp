#include "commit_rule.h"

#include <algorithm>
#include <functional>

namespace gooseberry {

LogIndex majorityMatchIndex(const ReplicaState &state)
{
    const Membership &membership = currentMembership(state.log);
    std::vector<LogIndex> matchIndexes;
    for (const InstanceId &voter : membership.voters) {
        if (!countsInQuorum(state, voter)) {
            matchIndexes.emplace_back(0);
        } else if (voter == state.settings.self) {
            matchIndexes.push_back(state.durable);
        } else {
            matchIndexes.push_back(state.leadership.peers.at(voter).matchIndex);
        }
    }
    if (matchIndexes.empty()) {
        return LogIndex(0);
    }
    std::sort(matchIndexes.begin(), matchIndexes.end(), std::greater<>());
    return matchIndexes[quorumSize(membership) - 1];
}

void advanceCommit(ReplicaState &state)
{
    const LogIndex index = majorityMatchIndex(state);
    if (index > state.commit
        && (termAt(state.log, index) == state.term
            || state.settings.injectedBugs.commitEarlierTermsByCounting)) {
        state.commit = index;
    }
}

} // namespace gooseberry
