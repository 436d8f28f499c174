#pragma once

#include <map>
#include <optional>
#include <set>

#include <base/base.h>
#include <quorum/quorum.h>

namespace gooseberry {

/** What a leader knows when it decides on the voters of the log. */
struct MembershipView
{
    InstanceId self;
    Membership membership;
    /** What the leader has heard from the other members, and when. */
    std::map<InstanceId, PeerStatus> peers;
    /** Nodes that ask to become voters, with their data folders. */
    std::map<InstanceId, DiskId> joinRequests;
    /** How many voters the cell keeps. */
    std::size_t target = 5;
    /** A voter not heard for this long may be replaced. */
    std::chrono::milliseconds replaceAfter{1200};
    /** When this leader's term began; nobody counts as silent before it has lasted that long. */
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
 * Returns the next change that brings the voters nearer to the target, or nothing. A voter that is
 * silent or has lost its disk is taken out only when another node can take its place, and before
 * that node counts, so that the number of losses that the cell survives never falls by the repair.
 */
std::optional<MembershipStep> nextMembershipStep(const MembershipView &view);

/**
 * Returns whether a leader should give up leadership although it could keep it: its disk takes no
 * more records, so it refuses all work, while the others can still store.
 */
bool shouldTransferLeadership(const ReplicaStatus &status);

} // namespace gooseberry
