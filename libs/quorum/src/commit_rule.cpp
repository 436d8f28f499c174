#include "commit_rule.h"

#include <algorithm>
#include <functional>

namespace gooseberry {

LogIndex majorityStored(const ReplicaState &state)
{
    const Membership &membership = currentMembership(state.log);
    std::vector<LogIndex> stored;
    for (const InstanceId &voter : membership.voters) {
        if (!countsInQuorum(state, voter)) {
            stored.emplace_back(0);
        } else if (voter == state.settings.self) {
            stored.push_back(state.durable);
        } else {
            stored.push_back(state.leadership.peers.at(voter).match);
        }
    }
    if (stored.empty()) {
        return LogIndex(0);
    }
    std::sort(stored.begin(), stored.end(), std::greater<>());
    return stored[quorumSize(membership) - 1];
}

void advanceCommit(ReplicaState &state)
{
    const LogIndex index = majorityStored(state);
    if (index > state.commit
        && (termAt(state.log, index) == state.term
            || state.settings.breaches.commitEarlierTermsByCounting)) {
        state.commit = index;
    }
}

} // namespace gooseberry
