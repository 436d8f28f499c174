// Restarts of an upstream scheduler's workers: new incarnations, signs of those that nobody has
// announced, and the orders to earlier ones.

#include <dispatch/upstream_scheduler.h>

#include <algorithm>

#include <spdlog/spdlog.h>

namespace gooseberry {

void UpstreamScheduler::expectEarlierOrders(UpstreamWorker &worker) const
{
    worker.hasRestarted = true;
    // The lease end in such an order is far ahead on the clock of the later incarnation.
    worker.earlierLeasesExpireBy = std::max(
        worker.earlierLeasesExpireBy,
        latestExpiryOf(this->settings.longestWorkerLease, this->context.clock.steadyNow()));
}

void UpstreamScheduler::beginIncarnation(UpstreamWorker &worker, const WorkerRecord &record,
                                         Effects &effects)
{
    const SteadyTime now = this->context.clock.steadyNow();
    const std::map<TaskKey, RunNumber> runs = worker.runs;
    worker.hasRestarted = !worker.record.id.value.empty();
    if (worker.hasRestarted) {
        spdlog::info("event=worker-restarted worker={} incarnation={} earlier={} runs={} ends={} "
                     "acknowledged={}",
                     record.id.value, record.incarnation.time_since_epoch().count(),
                     worker.record.incarnation.time_since_epoch().count(), runs.size(),
                     worker.lastSeenEnd, worker.acknowledgedEnds);
    }
    worker.record = record;
    worker.slot = ++this->lastSlotNumber;
    this->clearOrphanedRuns(worker);
    worker.clock.reset();
    worker.leaseGranted = WorkerTime{};
    worker.lastSeenEnd = 0;
    worker.acknowledgedEnds = 0;
    worker.unstoredEnds.clear();
    worker.fenceConfirmed = false;
    worker.left = false;
    worker.replaced = false;
    ++worker.restarts;
    worker.failuresInRow = 0;
    worker.lastRenewalFailed = false;
    worker.lastRenewalAnswered = false;
    // The answer to a renewal of the earlier incarnation is ignored.
    worker.renewalInFlight = false;
    worker.avoidUntil = now;
    for (const auto &[key, number] : runs) {
        LiveTask *task = this->findTask(key);
        if (task == nullptr || !task->run || task->run->phase == RunPhase::Ending) {
            continue;
        }
        LiveRun &run = *task->run;
        if (run.phase == RunPhase::Proposed) {
            continue;
        }
        // The answer to a start does not tell which incarnation of the worker gave it, and a start
        // without an answer may have reached this one by now.
        const bool endedBefore = run.reported && run.unansweredStarts == 0;
        run.reported = false;
        run.absent = false;
        if (endedBefore) {
            this->releaseAbsentRun(key, "worker-restarted", effects);
            continue;
        }
        // The start may have reached the new incarnation, or may still do so; its next report
        // tells.
        run.phase = RunPhase::Recovered;
        run.stopAnsweredAt.reset();
        this->heldRuns.erase(key);
        this->expectEarlierOrders(worker);
    }
}

bool UpstreamScheduler::recordStartClock(UpstreamWorker &worker, const SentStart &sent,
                                         const StartReply &reply, Effects &effects)
{
    const bool started = reply.result == StartResult::Started;
    if (!worker.fenceConfirmed || sent.incarnation != worker.record.incarnation) {
        if (started) {
            // The incarnation that took the start may have a lease end on an earlier clock.
            this->expectEarlierOrders(worker);
        }
        return started;
    }
    const bool restarted = reply.clock && worker.clock
        ? isFromAnotherClock(*worker.clock, *reply.clock, sent.sentAt)
        : started;
    if (!restarted) {
        if (reply.clock) {
            const ClockReading reading{.clock = *reply.clock,
                                       .at = this->context.clock.steadyNow()};
            worker.leaseExpiresBy
                = std::max(worker.leaseExpiresBy, latestLeaseExpiry(reading, worker.leaseGranted));
        }
        return false;
    }
    spdlog::info(
        "event=worker-restart-suspected worker={} incarnation={} task={} run={} clock={} "
        "expected={}",
        sent.worker.value, sent.incarnation.time_since_epoch().count(), toString(sent.task),
        sent.run.value, reply.clock.value_or(WorkerTime{}).time_since_epoch().count(),
        worker.clock ? earliestWorkerTime(*worker.clock, sent.sentAt).time_since_epoch().count()
                     : 0);
    this->expectRestart(worker, effects);
    return true;
}

void UpstreamScheduler::expectRestart(UpstreamWorker &worker, Effects &effects)
{
    this->expectEarlierOrders(worker);
    worker.lastContact = this->context.clock.steadyNow();
    worker.clock.reset();
    worker.fenceConfirmed = false;
    worker.lastRenewalAnswered = false;
    // The answers to renewals with the earlier token are ignored: the earlier incarnation may have
    // given them.
    ++worker.restarts;
    worker.renewalInFlight = false;
    worker.renewalScheduled = false;
    this->renewLeaseIfNeeded(worker, effects);
}

void UpstreamScheduler::confirmFence(UpstreamWorker &worker)
{
    if (worker.fenceConfirmed) {
        return;
    }
    worker.fenceConfirmed = true;
    worker.earlierLeasesExpireBy = earlierLeasesExpiry(FenceConfirmation{
        .timeSinceRestart
        = this->context.state.timeSinceRestart(worker.record.id, worker.record.incarnation),
        .at = this->context.clock.steadyNow(),
        .termBegan = this->termBegan,
        .hasRestarted = worker.hasRestarted,
        .usualLease = this->settings.workerLease,
        .longestLease = this->settings.longestWorkerLease});
    for (const auto &[key, number] : worker.runs) {
        LiveTask *task = this->findTask(key);
        if (task != nullptr && task->run && task->run->incarnation != worker.record.incarnation) {
            task->run->unansweredStarts = 0;
            task->run->startMayArriveUntil = SteadyTime{};
        }
    }
}

} // namespace gooseberry
