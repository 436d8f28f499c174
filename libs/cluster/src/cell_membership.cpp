// Membership of the replicated log: join requests, replacement of voters, leadership transfer.

#include <cluster/cell_links.h>

#include <spdlog/spdlog.h>

#include <cluster/membership_step.h>

#include "cluster_records.h"

namespace gooseberry {

namespace {

constexpr std::chrono::milliseconds joinInterval{300};
/** A join request that was not repeated for this long has expired. */
constexpr std::chrono::milliseconds joinRequestLifetime{1000};

} // namespace

void CellLinks::onJoin(const std::string &bytes)
{
    const Result<JoinRequest> decoded = decodeRecord<JoinRequest>(bytes);
    if (!ok(decoded)) {
        spdlog::warn("event=join-not-readable {}", describe(errorOf(decoded)));
        return;
    }
    const std::lock_guard lock(this->mutex);
    this->joinRequests[valueOf(decoded).node]
        = PendingJoin{.disk = valueOf(decoded).disk, .requestedAt = this->clock.steadyNow()};
}

void CellLinks::requestJoin(const ReplicaStatus &status)
{
    InstanceId leader;
    {
        const std::lock_guard lock(this->mutex);
        const SteadyTime now = this->clock.steadyNow();
        const auto ownEntry = this->leaderInfo.voters.find(this->ownId);
        const bool isVoter
            = ownEntry != this->leaderInfo.voters.end() && ownEntry->second == status.disk;
        if (now - this->leaderInfo.receivedAt >= leaderInfoLifetime || isVoter
            || now < this->nextJoinRequest) {
            return;
        }
        this->nextJoinRequest = now + joinInterval;
        leader = this->leaderInfo.leader;
    }
    this->network->send(
        leader, joinFrame + encodeRecord(JoinRequest{.node = this->ownId, .disk = status.disk}));
}

void CellLinks::transferLeadershipWhenDiskFull(const ReplicaStatus &status)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->leadershipTransferPending || !shouldTransferLeadership(status)) {
            return;
        }
        this->leadershipTransferPending = true;
    }
    spdlog::warn("event=disk-full term={} action=hand-over", status.term.value);
    this->replica->transferLeadership([this](const Status &result) {
        spdlog::info("event=leadership-handed-over done={}", ok(result));
        const std::lock_guard lock(this->mutex);
        this->leadershipTransferPending = false;
    });
}

void CellLinks::repairMembership(const ReplicaStatus &status)
{
    MembershipView view{.self = this->ownId,
                        .membership = status.membership,
                        .peers = status.peers,
                        .joinRequests = {},
                        .target = this->settings.voters,
                        .replaceAfter = std::chrono::milliseconds(1200),
                        .termBegan = {},
                        .now = this->clock.steadyNow()};
    {
        const std::lock_guard lock(this->mutex);
        if (this->membershipChangePending) {
            return;
        }
        view.termBegan = this->leadingSince;
        std::erase_if(this->joinRequests, [&](const auto &entry) {
            return view.now - entry.second.requestedAt > joinRequestLifetime;
        });
        for (const auto &[node, request] : this->joinRequests) {
            view.joinRequests.emplace(node, request.disk);
        }
    }
    const std::optional<MembershipStep> next = nextMembershipStep(view);
    if (!next) {
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->membershipChangePending = true;
    }
    spdlog::info("event=membership-change action={} node={} voters={} learners={}",
                 static_cast<int>(next->action), next->node.value, status.membership.voters.size(),
                 status.membership.learners.size());
    const auto done = [this, node = next->node](const Status &result) {
        if (!ok(result)) {
            spdlog::info("event=membership-unchanged node={} {}", node.value,
                         describe(errorOf(result)));
        }
        const std::lock_guard lock(this->mutex);
        this->membershipChangePending = false;
    };
    switch (next->action) {
    case MembershipAction::AddLearner:
        this->replica->addLearner(next->node, done);
        break;
    case MembershipAction::Promote:
        this->replica->promoteLearner(next->node, done);
        break;
    case MembershipAction::Remove:
        this->replica->remove(next->node, done);
        break;
    }
}

} // namespace gooseberry
