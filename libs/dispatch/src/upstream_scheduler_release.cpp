// Proof that runs of an upstream scheduler are over, so that their tasks can run again: restarts,
// reports without the run, and leases.

#include <dispatch/upstream_scheduler.h>

#include <algorithm>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/** Added to the lease expiry for timers that fire late. */
constexpr std::chrono::milliseconds leaseExpiryMargin{300};
/** A worker's stops without an answer are checked every so many ticks, a part of them each tick. */
constexpr std::uint32_t stopCheckTicks = 5;

} // namespace

RunEvidence UpstreamScheduler::evidenceOf(const LiveRun &run) const
{
    RunEvidence evidence{.startMayArriveUntil = run.startMayArriveUntil,
                         .absent = run.absent,
                         .absentAsOf = run.absentAsOf,
                         .replaced = false,
                         .leasesExpireBy = {},
                         .lateLease = this->settings.longestWorkerLease + leaseExpiryMargin};
    const auto worker = this->workers.find(run.worker);
    if (worker != this->workers.end()) {
        evidence.replaced = worker->second.replaced;
        evidence.leasesExpireBy = lastLeaseExpiry(worker->second) + leaseExpiryMargin;
        // An earlier leader's start that was both unanswered and delayed is not assumed for every
        // run on a silent worker without a known restart: all of them would wait for it.
        const bool restartKnown = run.incarnation != worker->second.record.incarnation;
        if (run.startsSent == 0 && !run.absent && !restartKnown) {
            evidence.startMayArriveUntil = SteadyTime{};
        }
    }
    return evidence;
}

bool UpstreamScheduler::releaseIfOver(const TaskKey &key, const char *reason, Effects &effects)
{
    const LiveTask *task = this->findTask(key);
    if (task == nullptr || !task->run) {
        return false;
    }
    const LiveRun run = *task->run;
    const SteadyTime now = this->context.clock.steadyNow();
    if (!isOver(this->evidenceOf(run), now)) {
        return false;
    }
    const auto worker = this->workers.find(run.worker);
    Duration silence{};
    WorkerTime granted;
    WorkerIncarnation present;
    if (worker != this->workers.end()) {
        silence = now - worker->second.lastContact;
        granted = worker->second.leaseGranted;
        present = worker->second.record.incarnation;
    }
    // A run of an earlier incarnation than the present one tells of a restart, and a start without
    // an answer of one that may have arrived in an incarnation that is not known.
    spdlog::info(
        "event=run-lost task={} run={} worker={} reason={} phase={} silence={}ms "
        "granted={} incarnation={} present={} reported={} starts={} unanswered={}",
        toString(key), run.number.value, run.worker.value, reason, static_cast<int>(run.phase),
        std::chrono::duration_cast<std::chrono::milliseconds>(silence).count(),
        granted.time_since_epoch().count(), run.incarnation.time_since_epoch().count(),
        present.time_since_epoch().count(), run.reported, run.startsSent, run.unansweredStarts);
    this->heldRuns.erase(key);
    this->stopGang(key, run.number, effects);
    this->releaseRun(key, effects);
    return true;
}

void UpstreamScheduler::releaseAbsentRun(const TaskKey &key, const char *reason, Effects &effects)
{
    LiveWorkflow *workflow = nullptr;
    LiveTask *task = this->findTask(key, &workflow);
    if (task == nullptr || !task->run) {
        return;
    }
    task->run->absent = true;
    if (workflow->ended) {
        // The task does not run again, so a start that is carried out late runs beside no other.
        task->run->startMayArriveUntil = SteadyTime{};
    }
    if (this->releaseIfOver(key, reason, effects) || this->heldRuns.contains(key)) {
        return;
    }
    LiveRun &run = *task->run;
    const SteadyTime now = this->context.clock.steadyNow();
    spdlog::info(
        "event=run-held task={} run={} worker={} reason={} for={}ms", toString(key),
        run.number.value, run.worker.value, reason,
        std::chrono::duration_cast<std::chrono::milliseconds>(run.startMayArriveUntil - now)
            .count());
    run.phase = RunPhase::OutcomeUnknown;
    run.stopRequested = true;
    run.stopAnsweredAt = now;
    this->heldRuns.insert(key);
    this->stopGang(key, run.number, effects);
}

void UpstreamScheduler::releaseHeldRuns(Effects &effects)
{
    const std::set<TaskKey> held = this->heldRuns;
    for (const TaskKey &key : held) {
        const LiveTask *task = this->findTask(key);
        if (task == nullptr || !task->run || !task->run->absent) {
            this->heldRuns.erase(key);
            continue;
        }
        this->releaseIfOver(key, "start-expired", effects);
    }
}

void UpstreamScheduler::releaseUnreportedRuns(UpstreamWorker &worker,
                                              const LeaseRenewalReply &reply, SteadyTime sentAt,
                                              Effects &effects)
{
    if (!reply.complete) {
        return;
    }
    std::set<std::pair<TaskKey, RunNumber>> reported;
    for (const RunningEntry &entry : reply.running) {
        reported.emplace(entry.task, entry.run);
    }
    const std::map<TaskKey, RunNumber> runs = worker.runs;
    for (const auto &[key, number] : runs) {
        LiveTask *task = this->findTask(key);
        if (reported.contains({key, number}) || task == nullptr || !task->run
            || task->run->number != number || task->run->worker != worker.record.id) {
            continue;
        }
        const LiveRun &run = *task->run;
        // The reply proves that a run is absent only if its state was known before the renewal was
        // sent.
        const bool stopped = run.stopAnsweredAt && *run.stopAnsweredAt < sentAt;
        const bool absent = (run.phase == RunPhase::Running && run.since < sentAt)
            || (run.phase == RunPhase::Recovered && run.since < sentAt)
            || (run.phase == RunPhase::OutcomeUnknown && stopped);
        if (absent && run.phase == RunPhase::Recovered
            && this->maySendRecoveredStart(key, worker)) {
            this->sendStart(key, *task, effects);
        } else if (absent) {
            task->run->absentAsOf = sentAt;
            this->releaseAbsentRun(key, "not-listed", effects);
        }
    }
}

bool UpstreamScheduler::maySendRecoveredStart(const TaskKey &key, const UpstreamWorker &worker)
{
    LiveWorkflow *workflow = nullptr;
    const LiveTask *task = this->findTask(key, &workflow);
    const bool needsTicket = workflow->queueRule != nullptr && workflow->queueRule->advice;
    return !workflow->ended && !needsTicket && task->run->incarnation == worker.record.incarnation
        && this->isUsable(worker, this->context.clock.steadyNow())
        && this->mayRepeatStart(*task->run, worker, workflow->spec->steps[key.step]);
}

void UpstreamScheduler::releaseRunsOfExpiredLeases(UpstreamWorker &worker, Effects &effects)
{
    if (!worker.replaced
        && this->context.clock.steadyNow() <= lastLeaseExpiry(worker) + leaseExpiryMargin) {
        return;
    }
    this->clearOrphanedRuns(worker);
    const std::map<TaskKey, RunNumber> runs = worker.runs;
    for (const auto &[key, number] : runs) {
        LiveTask *task = this->findTask(key);
        if (task == nullptr || !task->run || task->run->phase == RunPhase::Ending
            || task->run->phase == RunPhase::Proposed) {
            continue;
        }
        this->releaseIfOver(key, worker.replaced ? "worker-replaced" : "lease-over", effects);
    }
}

void UpstreamScheduler::releaseReplacedWorker(UpstreamWorker &worker, Effects &effects)
{
    spdlog::info("event=worker-replaced worker={} runs={}", worker.record.id.value,
                 worker.runs.size());
    worker.replaced = true;
    worker.fenceConfirmed = false;
    worker.clock.reset();
    worker.lastContact = SteadyTime{};
    this->releaseRunsOfExpiredLeases(worker, effects);
}

void UpstreamScheduler::handleExpiredLeases(Effects &effects)
{
    const SteadyTime now = this->context.clock.steadyNow();
    ++this->ticks;
    this->releaseHeldRuns(effects);
    std::vector<InstanceId> removed;
    for (auto &[id, worker] : this->workers) {
        this->releaseRunsOfExpiredLeases(worker, effects);
        if (worker.runs.empty() && worker.orphanedRuns.empty()
            && (worker.left || now - worker.lastContact > this->settings.forgetTimeout)) {
            removed.push_back(id);
        }
        if (worker.slot % stopCheckTicks != this->ticks % stopCheckTicks) {
            continue;
        }
        for (const auto &[key, number] : worker.runs) {
            LiveTask *task = this->findTask(key);
            if (task != nullptr && task->run && task->run->stopRequested
                && !task->run->stopAnsweredAt) {
                this->requestStop(key, *task->run, effects);
            }
        }
    }
    for (const InstanceId &id : removed) {
        this->removeWorker(id, effects);
    }
    std::erase_if(this->removedWorkers, [now](const auto &entry) {
        return now > entry.second.removedAt + maxOrderDelay;
    });
}

void UpstreamScheduler::removeWorker(const InstanceId &id, Effects &effects)
{
    const WorkerRecord record = this->workers.at(id).record;
    this->removedWorkers[id] = RemovedWorker{.restarts = this->workers.at(id).restarts,
                                             .removedAt = this->context.clock.steadyNow()};
    this->workers.erase(id);
    effects.push_back([self = this->shared_from_this(), record]() {
        self->context.log.propose(ForgetWorker{.id = record.id, .incarnation = record.incarnation},
                                  [id = record.id](const Result<CommandOutcome> &result) {
                                      spdlog::info("event=worker-forgotten worker={} stored={}",
                                                   id.value, ok(result));
                                  });
    });
}

} // namespace gooseberry
