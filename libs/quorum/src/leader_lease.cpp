#include "leader_lease.h"

#include <algorithm>
#include <functional>

namespace gooseberry {

SteadyTime lastQuorumRoundSentAt(const ReplicaState &state, SteadyTime now)
{
    const Membership &membership = currentMembership(state.log);
    std::vector<SteadyTime> times;
    for (const InstanceId &voter : membership.voters) {
        if (!countsInQuorum(state, voter)) {
            times.push_back(SteadyTime::min());
        } else if (voter == state.settings.self) {
            times.push_back(now);
        } else {
            const PeerProgress &peer = state.leadership.peers.at(voter);
            times.push_back(state.settings.injectedBugs.leaseFromReplyTime ? peer.lastContact
                                                                           : peer.ackedRoundSentAt);
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
        || (leadership.transfer && leadership.transfer->timeoutNowSent
            && !state.settings.injectedBugs.keepLeaseDuringTransfer)) {
        return std::nullopt;
    }
    const Membership &membership = currentMembership(state.log);
    if (membership.voters.size() == 1 && membership.voters.contains(state.settings.self)) {
        return SteadyTime::max();
    }
    const SteadyTime roundSentAt = lastQuorumRoundSentAt(state, now);
    if (roundSentAt == SteadyTime::min()) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> length(state.settings.leaderLease);
    return roundSentAt
        + std::chrono::duration_cast<Duration>(length * (1.0 - maxClockDriftOfReplicas));
}

bool hasRecentLeaderContact(const ReplicaState &state, SteadyTime now)
{
    if (state.settings.injectedBugs.voteDespiteLeaderContact) {
        return false;
    }
    const SteadyTime lastContactAt
        = state.role == Role::Leader ? lastQuorumRoundSentAt(state, now) : state.leaderLastContact;
    return lastContactAt != SteadyTime::min()
        && now < lastContactAt + state.settings.minElectionTimeout;
}

} // namespace gooseberry
