// What a board learns from its workers: heartbeats, holds, and the end of their leases.

#include <dispatch/upstream_board.h>

#include <algorithm>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/** How long a worker that refused a later fence or another life is left alone. */
constexpr std::chrono::milliseconds holdRetry{400};
/** An order that got no answer may be carried out this much later, also by a worker's next life. */
constexpr std::chrono::seconds lateOrderBound{15};
/** Covers timers that fire late when a lease is waited for. */
constexpr std::chrono::milliseconds lapseMargin{300};
/** How long an end that could not be stored waits for the next try. */
constexpr std::chrono::milliseconds storeRetry{200};

} // namespace

void UpstreamBoard::recoverWorker(const WorkerRecord &worker)
{
    const std::lock_guard lock(this->mutex);
    UpstreamWorker &known = this->workers[worker.id];
    known.record = worker;
    known.slot = ++this->lastSlot;
    known.heardAt = this->context.clock.steadyNow();
    // An earlier leader's last grant can have been made just before this term began.
    const std::chrono::duration<double, std::milli> longest(this->settings.workerLease);
    known.leaseOverAt
        = known.heardAt + std::chrono::duration_cast<Duration>(longest / (1.0 - maxWorkerClockLag));
}

void UpstreamBoard::workerChanged(const WorkerRecord &record)
{
    this->enter([&](Effects &effects) {
        const auto [found, added] = this->workers.try_emplace(record.id);
        UpstreamWorker &worker = found->second;
        if (!added && record.life < worker.record.life) {
            return;
        }
        if (added || record.life != worker.record.life) {
            this->adoptLife(worker, record, effects);
        }
        worker.record = record;
        worker.heardAt = this->context.clock.steadyNow();
        // A later life at the same address proves that the earlier one is over.
        for (auto &[id, other] : this->workers) {
            if (id != record.id && other.record.address == record.address
                && other.record.life < record.life) {
                this->adoptLife(other, other.record, effects);
                other.heardAt = SteadyTime{};
            }
        }
        this->wantPass(effects);
    });
}

void UpstreamBoard::adoptLife(UpstreamWorker &worker, const WorkerRecord &record, Effects &effects)
{
    const SteadyTime now = this->context.clock.steadyNow();
    const std::map<TaskKey, RunNumber> runs = worker.runs;
    worker.record = record;
    worker.slot = ++this->lastSlot;
    this->clearStrays(worker);
    worker.clock.reset();
    worker.leaseGranted = WorkerTime{};
    worker.seenEnds = 0;
    worker.acknowledgedEnds = 0;
    worker.unstoredEnds.clear();
    worker.fenceRaised = false;
    worker.failuresInRow = 0;
    worker.unanswered = false;
    worker.avoidUntil = now;
    for (const auto &[key, number] : runs) {
        LiveTask *task = this->findTask(key);
        if (task == nullptr || !task->run || task->run->phase == RunPhase::Ending) {
            continue;
        }
        // The answer to a start does not tell which life of the worker gave it.
        const bool mayRunNow = task->run->phase == RunPhase::Running && !task->run->listed;
        task->run->listed = false;
        if (mayRunNow || task->run->phase == RunPhase::Ordered
            || task->run->phase == RunPhase::Uncertain) {
            // The order may still arrive, at the new life.
            task->run->phase = RunPhase::Uncertain;
            task->run->stopAnsweredAt.reset();
            worker.lateOrdersUntil = now + lateOrderBound;
            this->wantStop(key, *task->run, effects);
        } else if (task->run->phase != RunPhase::Proposed) {
            spdlog::info("event=run-lost task={} run={} worker={} reason=worker-restarted",
                         toString(key), number.value, worker.record.id.value);
            this->releaseRun(key, effects);
        }
    }
}

void UpstreamBoard::workerHeard(const InstanceId &id, WorkerLife life,
                                std::optional<WorkerTime> clock)
{
    this->enter([&](Effects &effects) {
        const auto found = this->workers.find(id);
        if (found == this->workers.end() || found->second.record.life != life) {
            return;
        }
        UpstreamWorker &worker = found->second;
        const SteadyTime now = this->context.clock.steadyNow();
        const bool silent = now - worker.heardAt > this->settings.silenceLimit;
        worker.heardAt = now;
        if (clock && !worker.clock) {
            this->readClock(worker, *clock, now);
        }
        if (silent) {
            spdlog::info("event=worker-regained worker={}", id.value);
            this->wantPass(effects);
        }
        this->wantHold(worker, effects);
    });
}

void UpstreamBoard::workerLeft(const InstanceId &id, WorkerLife life)
{
    this->enter([&](Effects &effects) {
        const auto found = this->workers.find(id);
        if (found == this->workers.end() || found->second.record.life != life) {
            return;
        }
        UpstreamWorker &worker = found->second;
        this->adoptLife(worker, worker.record, effects);
        worker.record.draining = true;
        worker.heardAt = SteadyTime{};
        if (worker.runs.empty()) {
            this->workers.erase(found);
        }
    });
}

void UpstreamBoard::readClock(UpstreamWorker &worker, WorkerTime clock, SteadyTime at)
{
    worker.clock = ClockReading{.clock = clock, .at = at};
    if (worker.leaseGranted > WorkerTime{}) {
        worker.leaseOverAt = certainlyAfter(*worker.clock, worker.leaseGranted);
    }
}

void UpstreamBoard::wantHold(UpstreamWorker &worker, Effects &effects)
{
    const SteadyTime now = this->context.clock.steadyNow();
    const bool needed = !worker.runs.empty() || !worker.strays.empty()
        || acknowledgeable(worker) > worker.acknowledgedEnds || !worker.fenceRaised
        || worker.unanswered;
    if (worker.holdInFlight || worker.holdScheduled || !needed
        || now - worker.heardAt > this->settings.silenceLimit) {
        return;
    }
    worker.holdInFlight = true;
    const WorkerRef ref{
        .id = worker.record.id, .address = worker.record.address, .life = worker.record.life};
    HoldOrder order{.leaseEnd = WorkerTime{},
                    .fence = this->term,
                    .acknowledgedEnds = acknowledgeable(worker),
                    .wait = worker.fenceRaised && worker.clock && !worker.runs.empty()
                        ? this->settings.holdWait
                        : std::chrono::milliseconds(0)};
    if (worker.clock) {
        // A lease that a silent worker may have received puts off the time at which its tasks can
        // run elsewhere, so it is extended only while the worker answers.
        order.leaseEnd = worker.unanswered && worker.leaseGranted > WorkerTime{}
            ? worker.leaseGranted
            : earliestClock(*worker.clock, now) + this->settings.workerLease;
        worker.leaseGranted = std::max(worker.leaseGranted, order.leaseEnd);
        worker.leaseOverAt
            = std::max(worker.leaseOverAt, certainlyAfter(*worker.clock, worker.leaseGranted));
    }
    worker.acknowledgedEnds = order.acknowledgedEnds;
    effects.push_back([self = this->shared_from_this(), ref, order, now]() {
        if (!self->context.log.holdsLease()) {
            self->enter([&](Effects &) {
                const auto known = self->workers.find(ref.id);
                if (known != self->workers.end()) {
                    known->second.holdInFlight = false;
                }
            });
            return;
        }
        self->context.orders.hold(ref, order, [self, ref, now](const Result<HoldReply> &result) {
            self->enter(
                [&](Effects &later) { self->onHold(ref.id, ref.life, now, result, later); });
        });
    });
}

void UpstreamBoard::onHold(const InstanceId &id, WorkerLife life, SteadyTime sentAt,
                           const Result<HoldReply> &result, Effects &effects)
{
    const auto found = this->workers.find(id);
    if (found == this->workers.end()) {
        return;
    }
    UpstreamWorker &worker = found->second;
    worker.holdInFlight = false;
    const SteadyTime now = this->context.clock.steadyNow();
    const auto again = [&](Duration delay) {
        worker.holdScheduled = true;
        effects.push_back([self = this->shared_from_this(), id, delay]() {
            self->runLater(delay, [self, id](Effects &later) {
                const auto known = self->workers.find(id);
                if (known != self->workers.end()) {
                    known->second.holdScheduled = false;
                    self->wantHold(known->second, later);
                }
            });
        });
    };
    if (worker.record.life != life) {
        again(Duration::zero());
        return;
    }
    if (!ok(result)) {
        worker.unanswered = true;
        spdlog::info("event=hold-unanswered worker={} {}", id.value, describe(errorOf(result)));
        this->avoid(worker, this->settings.holdWait, "hold-unanswered");
        again(holdRetry);
        return;
    }
    const HoldReply &reply = valueOf(result);
    if (reply.fenced || reply.otherLife) {
        spdlog::warn("event=hold-refused worker={} term={} fenced={}", id.value, this->term.value,
                     reply.fenced);
        this->avoid(worker, std::chrono::seconds(1), "hold-refused");
        again(std::chrono::seconds(1));
        return;
    }
    worker.heardAt = now;
    worker.unanswered = false;
    if (reply.life && *reply.life != worker.record.life) {
        WorkerRecord record = worker.record;
        record.life = *reply.life;
        this->adoptLife(worker, record, effects);
    }
    worker.fenceRaised = true;
    this->readClock(worker, reply.clock, now);
    std::vector<RunningEntry> strays;
    for (const RunningEntry &entry : reply.running) {
        if (!this->noteRunning(worker, entry)) {
            strays.push_back(entry);
        }
    }
    this->noteStrays(worker, strays, effects);
    this->noteEnds(worker, reply.ended, effects);
    this->settleUnlisted(worker, reply, sentAt, effects);
    this->wantPass(effects);
    const Duration pause = this->settings.holdPause
        + this->settings.holdPausePerWorker * static_cast<std::int64_t>(this->workers.size());
    again(reply.ended.empty() ? Duration::zero() : pause);
}

bool UpstreamBoard::noteRunning(UpstreamWorker &worker, const RunningEntry &entry)
{
    LiveTask *task = this->findTask(entry.task);
    if (task == nullptr || !task->run || task->run->number != entry.run
        || task->run->worker != worker.record.id) {
        return false;
    }
    LiveRun &run = *task->run;
    run.listed = true;
    run.percent = entry.percent;
    if (!entry.checkpoint.empty()) {
        run.checkpoint = entry.checkpoint;
    }
    if (run.phase == RunPhase::Ordered || run.phase == RunPhase::Recovered
        || (run.phase == RunPhase::Uncertain && !run.stopWanted)) {
        run.phase = RunPhase::Running;
        run.since = this->context.clock.steadyNow();
    }
    return true;
}

void UpstreamBoard::clearStrays(UpstreamWorker &worker)
{
    for (const auto &[task, stray] : worker.strays) {
        this->context.ledger->release(stray.customer, stray.size);
    }
    worker.strays.clear();
}

void UpstreamBoard::noteStrays(UpstreamWorker &worker, const std::vector<RunningEntry> &entries,
                               Effects &effects)
{
    this->clearStrays(worker);
    for (const RunningEntry &entry : entries) {
        // Without a record of the workflow, the run may take all that the worker has.
        StrayRun stray{.run = entry.run, .customer = {}, .size = worker.record.capacity};
        this->context.state.visitOne(entry.task.workflow, [&](const WorkflowRecord &workflow) {
            if (entry.task.step < workflow.spec->steps.size()) {
                stray.customer = workflow.customer;
                stray.size = footprint(workflow.spec->steps[entry.task.step]);
            }
        });
        spdlog::info("event=stray-run task={} run={} worker={}", toString(entry.task),
                     entry.run.value, worker.record.id.value);
        this->context.ledger->reserve(stray.customer, stray.size);
        worker.strays.emplace(entry.task, stray);
        LiveRun run;
        run.number = entry.run;
        run.worker = worker.record.id;
        run.phase = RunPhase::Running;
        this->wantStop(entry.task, run, effects);
    }
}

void UpstreamBoard::noteEnds(UpstreamWorker &worker, const std::vector<EndedEntry> &ends,
                             Effects &effects)
{
    std::vector<std::uint64_t> numbers;
    EndRuns command;
    for (const EndedEntry &end : ends) {
        if (end.number <= worker.seenEnds) {
            continue;
        }
        worker.seenEnds = end.number;
        LiveTask *task = this->findTask(end.task);
        const bool current = task != nullptr && task->run && task->run->number == end.run
            && task->run->worker == worker.record.id;
        if (end.kind == EndKind::Done || end.kind == EndKind::Failed) {
            numbers.push_back(end.number);
            worker.unstoredEnds.insert(end.number);
            command.ends.push_back(RunEnd{
                .task = end.task,
                .run = end.run,
                .result = end.kind == EndKind::Done ? StoredResult::Done : StoredResult::Failed,
                .checkpoint = end.checkpoint});
            if (current) {
                task->run->phase = RunPhase::Ending;
                if (end.kind == EndKind::Failed) {
                    this->workerFailed(worker, end.task);
                } else {
                    worker.failuresInRow = 0;
                }
            }
        } else if (current) {
            if (!end.checkpoint.empty()) {
                task->run->checkpoint = end.checkpoint;
            }
            spdlog::info("event=run-interrupted task={} run={} worker={} kind={}",
                         toString(end.task), end.run.value, worker.record.id.value,
                         static_cast<int>(end.kind));
            this->breakGang(end.task, end.run, effects);
            this->releaseRun(end.task, effects);
        }
    }
    if (!numbers.empty()) {
        this->storeEnds(worker.record.id, worker.record.life, std::move(numbers),
                        std::move(command), effects);
    }
}

void UpstreamBoard::storeEnds(const InstanceId &id, WorkerLife life,
                              std::vector<std::uint64_t> numbers, EndRuns command, Effects &effects)
{
    effects.push_back([self = this->shared_from_this(), id, life, numbers = std::move(numbers),
                       command = std::move(command)]() {
        self->context.log.propose(
            command, [self, id, life, numbers, command](const Result<CommandOutcome> &result) {
                self->enter([&](Effects &later) {
                    self->endsStored(id, life, numbers, command, result, later);
                });
            });
    });
}

void UpstreamBoard::endsStored(const InstanceId &id, WorkerLife life,
                               const std::vector<std::uint64_t> &numbers, const EndRuns &command,
                               const Result<CommandOutcome> &result, Effects &effects)
{
    if (!ok(result)) {
        spdlog::warn("event=ends-not-stored worker={} ends={} {}", id.value, numbers.size(),
                     describe(errorOf(result)));
        effects.push_back([self = this->shared_from_this(), id, life, numbers, command]() {
            self->runLater(storeRetry, [self, id, life, numbers, command](Effects &later) {
                self->storeEnds(id, life, numbers, command, later);
            });
        });
        return;
    }
    const auto worker = this->workers.find(id);
    if (worker != this->workers.end() && worker->second.record.life == life) {
        for (const std::uint64_t number : numbers) {
            worker->second.unstoredEnds.erase(number);
        }
        this->wantHold(worker->second, effects);
    }
    for (const RunEnd &end : command.ends) {
        const LiveTask *task = this->findTask(end.task);
        if (task == nullptr) {
            continue;
        }
        if (end.result == StoredResult::Done) {
            this->taskDone(end.task, end.run, effects);
        } else if (task->run && task->run->number == end.run) {
            this->breakGang(end.task, end.run, effects);
            this->releaseRun(end.task, effects);
        }
    }
    for (const auto &[workflow, phase] : valueOf(result).ended) {
        spdlog::info("event=workflow-ended workflow={} phase={}", workflow.value,
                     phase == WorkflowPhase::Completed ? "completed" : "failed");
        effects.push_back(
            [self = this->shared_from_this(), ended = workflow]() { self->endWorkflow(ended); });
    }
    this->wantPass(effects);
}

void UpstreamBoard::settleUnlisted(UpstreamWorker &worker, const HoldReply &reply,
                                   SteadyTime sentAt, Effects &effects)
{
    if (!reply.complete) {
        return;
    }
    std::set<std::pair<TaskKey, RunNumber>> listed;
    for (const RunningEntry &entry : reply.running) {
        listed.emplace(entry.task, entry.run);
    }
    const std::map<TaskKey, RunNumber> runs = worker.runs;
    for (const auto &[key, number] : runs) {
        LiveTask *task = this->findTask(key);
        if (listed.contains({key, number}) || task == nullptr || !task->run
            || task->run->number != number || task->run->worker != worker.record.id) {
            continue;
        }
        const LiveRun &run = *task->run;
        // Only what was settled before this hold was sent can be concluded from its reply.
        const bool stopped = run.stopAnsweredAt && *run.stopAnsweredAt < sentAt;
        const bool settled = (run.phase == RunPhase::Running && run.since < sentAt)
            || run.phase == RunPhase::Recovered || (run.phase == RunPhase::Uncertain && stopped);
        if (settled) {
            spdlog::info("event=run-lost task={} run={} worker={} reason=not-listed phase={}",
                         toString(key), number.value, worker.record.id.value,
                         static_cast<int>(run.phase));
            this->breakGang(key, number, effects);
            this->releaseRun(key, effects);
        }
    }
}

void UpstreamBoard::lapseOverdue(Effects &effects)
{
    const SteadyTime now = this->context.clock.steadyNow();
    std::vector<InstanceId> gone;
    for (auto &[id, worker] : this->workers) {
        if (now > worker.leaseOverAt + lapseMargin) {
            this->clearStrays(worker);
            const std::map<TaskKey, RunNumber> runs = worker.runs;
            for (const auto &[key, number] : runs) {
                LiveTask *task = this->findTask(key);
                if (task == nullptr || !task->run || task->run->phase == RunPhase::Ending
                    || task->run->phase == RunPhase::Proposed
                    || (task->run->phase == RunPhase::Uncertain && now <= worker.lateOrdersUntil)) {
                    continue;
                }
                spdlog::info("event=run-lost task={} run={} worker={} reason=lease-over",
                             toString(key), number.value, id.value);
                this->breakGang(key, number, effects);
                this->releaseRun(key, effects);
            }
        }
        if (worker.runs.empty() && worker.strays.empty()
            && now - worker.heardAt > this->settings.forgetAfter) {
            gone.push_back(id);
        }
        for (const auto &[key, number] : worker.runs) {
            LiveTask *task = this->findTask(key);
            if (task != nullptr && task->run && task->run->stopWanted
                && !task->run->stopAnsweredAt) {
                this->wantStop(key, *task->run, effects);
            }
        }
    }
    for (const InstanceId &id : gone) {
        const WorkerRecord record = this->workers.at(id).record;
        this->workers.erase(id);
        effects.push_back([self = this->shared_from_this(), record]() {
            self->context.log.propose(ForgetWorker{.id = record.id, .life = record.life},
                                      [id = record.id](const Result<CommandOutcome> &result) {
                                          spdlog::info("event=worker-forgotten worker={} stored={}",
                                                       id.value, ok(result));
                                      });
        });
    }
}

} // namespace gooseberry
