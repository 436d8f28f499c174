#include <cluster/membership_step.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** A learner that no longer asks to join is removed after replaceAfter times this. */
constexpr int learnerTimeoutFactor = 4;

SteadyTime lastContact(const MembershipView &view, const InstanceId &id)
{
    const auto peer = view.peers.find(id);
    return peer == view.peers.end() ? view.termBegan
                                    : std::max(peer->second.lastContact, view.termBegan);
}

bool caughtUp(const MembershipView &view, const InstanceId &id)
{
    const auto peer = view.peers.find(id);
    return peer != view.peers.end() && peer->second.caughtUp
        && view.now - peer->second.lastContact < view.replaceAfter;
}

/** Returns the voter with the oldest contact, if that is longer ago than replaceAfter. */
std::optional<InstanceId> silentVoter(const MembershipView &view)
{
    std::optional<InstanceId> silent;
    SteadyTime oldest = view.now - view.replaceAfter;
    for (const InstanceId &voter : view.membership.voters) {
        if (voter != view.self && lastContact(view, voter) < oldest) {
            oldest = lastContact(view, voter);
            silent = voter;
        }
    }
    return silent;
}

/** Returns whether the node is a voter that was registered with another disk. */
bool hasReplacedDisk(const MembershipView &view, const InstanceId &id, DiskId disk)
{
    const auto known = view.membership.disks.find(id);
    return view.membership.voters.contains(id) && known != view.membership.disks.end()
        && known->second != disk;
}

} // namespace

bool shouldTransferLeadership(const ReplicaStatus &status)
{
    return status.leads && status.storageFull
        && std::any_of(status.peers.begin(), status.peers.end(), [&](const auto &peer) {
               return peer.second.caughtUp && status.membership.voters.contains(peer.first);
           });
}

std::optional<MembershipStep> nextMembershipStep(const MembershipView &view)
{
    const Membership &membership = view.membership;
    for (const auto &[node, disk] : view.joinRequests) {
        if (hasReplacedDisk(view, node, disk)) {
            return MembershipStep{.action = MembershipAction::Remove, .node = node};
        }
    }
    const std::optional<InstanceId> silent = silentVoter(view);
    const bool vacancy = membership.voters.size() < view.target;
    for (const InstanceId &learner : membership.learners) {
        if (!caughtUp(view, learner)) {
            continue;
        }
        if (vacancy) {
            return MembershipStep{.action = MembershipAction::Promote, .node = learner};
        }
        if (silent) {
            return MembershipStep{.action = MembershipAction::Remove, .node = *silent};
        }
    }
    for (const auto &[node, disk] : view.joinRequests) {
        if ((vacancy || silent) && !membership.voters.contains(node)
            && !membership.learners.contains(node)) {
            return MembershipStep{.action = MembershipAction::AddLearner, .node = node};
        }
    }
    for (const InstanceId &learner : membership.learners) {
        if (!view.joinRequests.contains(learner)
            && view.now - lastContact(view, learner) > learnerTimeoutFactor * view.replaceAfter) {
            return MembershipStep{.action = MembershipAction::Remove, .node = learner};
        }
    }
    return std::nullopt;
}

} // namespace gooseberry
