#include <dispatch/upstream_worker.h>

#include <algorithm>

#include <dispatch/run_evidence.h>

namespace gooseberry {

namespace {

/**
 * Restarts of one worker that the tokens of one term tell apart. The token stays below 2^53, which
 * JSON numbers hold exactly, up to term 2^41.
 */
constexpr std::uint64_t restartsPerTerm = 4096;

} // namespace

FencingToken fencingToken(Term term, std::uint32_t workerRestarts)
{
    return FencingToken(term.value * restartsPerTerm
                        + std::min<std::uint64_t>(workerRestarts, restartsPerTerm - 1));
}

WorkerTime earliestWorkerTime(const ClockReading &reading, SteadyTime now)
{
    const auto elapsed = std::max(now - reading.at, Duration::zero());
    const std::chrono::duration<double, std::milli> elapsedMillis(elapsed);
    return reading.clock
        + std::chrono::duration_cast<std::chrono::milliseconds>(elapsedMillis
                                                                * (1.0 - maxWorkerClockLag));
}

SteadyTime latestLeaseExpiry(const ClockReading &reading, WorkerTime leaseEnd)
{
    const std::chrono::duration<double, std::milli> remaining(leaseEnd - reading.clock);
    return reading.at + std::chrono::duration_cast<Duration>(remaining / (1.0 - maxWorkerClockLag));
}

SteadyTime latestExpiryOf(std::chrono::milliseconds lease, SteadyTime now)
{
    const std::chrono::duration<double, std::milli> length(lease);
    return now + std::chrono::duration_cast<Duration>(length / (1.0 - maxWorkerClockLag));
}

SteadyTime earlierLeasesExpiry(const FenceConfirmation &confirmation)
{
    const bool mayHoldEarlierLease = confirmation.hasRestarted
        || (confirmation.timeSinceRestart
            && *confirmation.timeSinceRestart < maxOrderDelay + confirmation.longestLease);
    return mayHoldEarlierLease ? latestExpiryOf(confirmation.longestLease, confirmation.at)
                               : latestExpiryOf(confirmation.usualLease, confirmation.termBegan);
}

SteadyTime lastLeaseExpiry(const UpstreamWorker &worker)
{
    return std::max(worker.leaseExpiresBy, worker.earlierLeasesExpireBy);
}

bool isFromAnotherClock(const ClockReading &reading, WorkerTime answered, SteadyTime sentAt)
{
    // An answer to another order, which overtook this one, may have given the reading.
    const auto readLater = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(reading.at - sentAt, Duration::zero()));
    constexpr std::chrono::milliseconds rounding{1};
    return answered < earliestWorkerTime(reading, sentAt) - readLater - rounding;
}

bool isReplacedBy(const WorkerRecord &worker, const WorkerRecord &successor)
{
    // The addresses of workers that have left are not known.
    return worker.id != successor.id && !worker.address.host.empty()
        && worker.address == successor.address && worker.incarnation < successor.incarnation;
}

Resources freeCapacity(const UpstreamWorker &worker)
{
    const Resources &capacity = worker.record.capacity;
    Resources reserved = worker.reserved;
    for (const auto &[task, orphan] : worker.orphanedRuns) {
        reserved = add(reserved, orphan.size).value_or(capacity);
    }
    return Resources{
        .cpu = CpuMillis(std::max<std::int64_t>(capacity.cpu.value - reserved.cpu.value, 0)),
        .memory = Bytes(std::max<std::int64_t>(capacity.memory.value - reserved.memory.value, 0)),
        .accelerators = AcceleratorCount(
            std::max<std::int64_t>(capacity.accelerators.value - reserved.accelerators.value, 0)),
        .slots = SlotCount(0)};
}

std::uint64_t highestAcknowledgeableEnd(const UpstreamWorker &worker)
{
    return worker.unstoredEnds.empty() ? worker.lastSeenEnd : *worker.unstoredEnds.begin() - 1;
}

std::uint64_t acknowledgementToSend(const UpstreamWorker &worker)
{
    const std::uint64_t highest = highestAcknowledgeableEnd(worker);
    const bool answers = worker.fenceConfirmed && worker.lastRenewalAnswered;
    return answers && highest > worker.acknowledgedEnds ? highest : 0;
}

} // namespace gooseberry
