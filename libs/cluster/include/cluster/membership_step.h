#pragma once

#include <map>
#include <optional>
#include <set>

#include <base/base.h>
#include <quorum/quorum.h>

namespace gooseberry {

/** The input of the leader's decision on membership changes of the log. */
struct MembershipView
{
    InstanceId self;
    Membership membership;
    /** State and last contact of the other members. */
    std::map<InstanceId, PeerStatus> peers;
    /** Nodes that ask to become voters, and the ids of their disks. */
    std::map<InstanceId, DiskId> joinRequests;
    /** The target number of voters. */
    std::size_t target = 5;
    /** A voter without contact for this long counts as silent and may be replaced. */
    std::chrono::milliseconds replaceAfter{1200};
    /** When this leader's term began; counts as a contact with every member. */
    SteadyTime termBegan;
    SteadyTime now;
};

enum class MembershipAction {
    AddLearner,
    Promote,
    Remove,
};
struct MembershipStep
{
    MembershipAction action = MembershipAction::AddLearner;
    InstanceId node;
};

/**
 * Returns the next membership change towards the target, or nothing. A silent voter is removed only
 * once a learner has caught up and can replace it, and is removed before the learner is promoted,
 * so that the repair never reduces the number of failures that the cell tolerates. A voter that
 * asks to join with another disk has lost its log; it is removed at once and then added like a new
 * node.
 */
std::optional<MembershipStep> nextMembershipStep(const MembershipView &view);

/**
 * Returns whether a healthy leader should transfer leadership: its disk is full, so it refuses all
 * work, while another voter has caught up and may still be able to store.
 */
bool shouldTransferLeadership(const ReplicaStatus &status);

} // namespace gooseberry
