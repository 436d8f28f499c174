#include "replica_state.h"

namespace gooseberry {

void storeEntry(ReplicaState &state, LogEntry entry, Effects &effects)
{
    addEntry(state.log, entry);
    while (!effects.entries.empty() && effects.entries.back().index >= entry.index) {
        effects.entries.pop_back();
    }
    effects.entries.push_back(std::move(entry));
}

bool mayVote(const ReplicaState &state)
{
    const Membership &membership = currentMembership(state.log);
    if (!membership.voters.contains(state.settings.self)) {
        return false;
    }
    const auto disk = membership.disks.find(state.settings.self);
    return (disk != membership.disks.end() && disk->second == state.settings.disk)
        || state.settings.injectedBugs.voteAfterLostDisk;
}

bool mayVoteFor(const ReplicaState &state, DiskId expectedDisk)
{
    return expectedDisk == state.settings.disk || state.settings.injectedBugs.voteAfterLostDisk;
}

bool countsInQuorum(const ReplicaState &state, const InstanceId &id)
{
    if (id == state.settings.self) {
        return mayVote(state);
    }
    const Membership &membership = currentMembership(state.log);
    const auto progress = state.leadership.peers.find(id);
    const auto disk = membership.disks.find(id);
    return membership.voters.contains(id) && progress != state.leadership.peers.end()
        && ((disk != membership.disks.end() && disk->second == progress->second.disk)
            || state.settings.injectedBugs.voteAfterLostDisk);
}

std::size_t quorumSize(const Membership &membership)
{
    return membership.voters.size() / 2 + 1;
}

} // namespace gooseberry
