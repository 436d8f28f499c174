#include <dispatch/run_evidence.h>

#include <algorithm>

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
    return now > evidence.startMayArriveUntil && (evidence.absent || now > evidence.leasesExpireBy);
}

} // namespace gooseberry
