#include "leader_lease.h"

#include <algorithm>
#include <functional>

namespace gooseberry {

SteadyTime quorumAnsweredAt(const ReplicaState &state, SteadyTime now)
{
    const Membership &membership = currentMembership(state.log);
    std::vector<SteadyTime> times;
    for (const InstanceId &voter : membership.voters) {
        if (!countsInQuorum(state, voter)) {
            times.push_back(SteadyTime::min());
        } else if (voter == state.settings.self) {
            times.push_back(now);
        } else {
            const Progress &peer = state.leadership.peers.at(voter);
            times.push_back(state.settings.breaches.leaseFromReceipt ? peer.heardAt
                                                                     : peer.answeredSentAt);
        }
    }
    if (times.empty()) {
        return SteadyTime::min();
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[quorumSize(membership) - 1];
}

std::optional<SteadyTime> leaseEnd(const ReplicaState &state, SteadyTime now)
{
    const Leadership &leadership = state.leadership;
    if (state.role != Role::Leader
        || (leadership.handOver && leadership.handOver->signalled
            && !state.settings.breaches.keepLeaseDuringHandOver)) {
        return std::nullopt;
    }
    const Membership &membership = currentMembership(state.log);
    if (membership.voters.size() == 1 && membership.voters.contains(state.settings.self)) {
        return SteadyTime::max();
    }
    const SteadyTime answered = quorumAnsweredAt(state, now);
    if (answered == SteadyTime::min()) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> length(state.settings.leaderLease);
    return answered
        + std::chrono::duration_cast<Duration>(length * (1.0 - maxClockDriftOfReplicas));
}

bool hearsLeader(const ReplicaState &state, SteadyTime now)
{
    if (state.settings.breaches.voteWhileLeaderIsHeard) {
        return false;
    }
    const SteadyTime heard
        = state.role == Role::Leader ? quorumAnsweredAt(state, now) : state.leaderHeardAt;
    return heard != SteadyTime::min() && now < heard + state.settings.minElectionTimeout;
}

} // namespace gooseberry
