#include <dispatch/run_evidence.h>

#include <algorithm>

#include <dispatch/upstream_worker.h>

namespace gooseberry {

SteadyTime latestStartArrival(SteadyTime sentAt, std::optional<SteadyTime> ticketExpiresBy)
{
    const SteadyTime latest = sentAt + maxOrderDelay;
    return ticketExpiresBy ? std::min(latest, *ticketExpiresBy) : latest;
}

bool isOver(const RunEvidence &evidence, SteadyTime now)
{
    if (evidence.replaced) {
        return true;
    }
    if (now <= evidence.startMayArriveUntil) {
        return false;
    }
    // Until then, a start may have begun the run in an incarnation that nobody has heard of.
    const bool absentSince = evidence.absent && evidence.absentAsOf >= evidence.startMayArriveUntil;
    const bool mayHaveLateLease = evidence.lateLease.count() > 0 && !absentSince
        && evidence.startMayArriveUntil != SteadyTime{};
    if (mayHaveLateLease
        && now <= latestExpiryOf(evidence.lateLease, evidence.startMayArriveUntil)) {
        return false;
    }
    return evidence.absent || now > evidence.leasesExpireBy;
}

} // namespace gooseberry
