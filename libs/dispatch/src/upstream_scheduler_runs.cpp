// The runs of an upstream scheduler: stores assignments, sends starts and stops, and releases ended
// runs.

#include <dispatch/upstream_scheduler.h>

#include <algorithm>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/**
 * How long a worker is avoided after it refused or failed a task; doubles with each consecutive
 * failure.
 */
constexpr std::chrono::milliseconds initialAvoidance{400};
constexpr std::chrono::milliseconds maxAvoidance{6000};
/** Consecutive failures, of different workflows, after which the worker itself is suspected. */
constexpr std::uint32_t failuresBeforeAvoidance = 2;
/** Orders that failed within this time may have a shared cause; about one order timeout. */
constexpr std::chrono::milliseconds recentFailureWindow{1000};
/** Delay before a failed task runs again, so that another worker is tried. */
constexpr std::chrono::milliseconds failedTaskDelay{100};
/** Delay before a task whose start could not be sent is placed again. */
constexpr std::chrono::milliseconds unsentStartDelay{50};
/**
 * Delay before a task is placed again that needs a ticket although its queue names no adviser. Only
 * a change of the configuration helps, so frequent attempts are of no use.
 */
constexpr std::chrono::milliseconds missingAdviserDelay{1000};
/** How often a start is sent while it gets no answer, at intervals of the order timeout. */
constexpr std::uint32_t maxStarts = 10;
/** The same for a member of a gang, as the others wait for it for a few seconds only. */
constexpr std::uint32_t maxGangStarts = 3;
/** Delay before a stop that got no answer is sent again. */
constexpr std::chrono::milliseconds stopRetryDelay{300};

const char *describe(StartResult result)
{
    switch (result) {
    case StartResult::Started:
        return "started";
    case StartResult::Fenced:
        return "fenced";
    case StartResult::Superseded:
        return "superseded";
    case StartResult::LeaseExpired:
        return "lease-over";
    case StartResult::NoCapacity:
        return "no-room";
    case StartResult::NoTicket:
        return "no-ticket";
    case StartResult::Invalid:
        return "invalid";
    case StartResult::OtherIncarnation:
        return "other-life";
    case StartResult::Unhealthy:
        return "unhealthy";
    }
    return "unknown";
}

} // namespace

void UpstreamScheduler::reserve(UpstreamWorker &worker, const TaskKey &key, const StepSpec &spec,
                                RunNumber run) const
{
    worker.reserved = add(worker.reserved, footprint(spec)).value_or(worker.reserved);
    worker.runs[key] = run;
}

void UpstreamScheduler::proposeAssignments(std::vector<RunAssignment> runs, Effects &effects)
{
    effects.push_back([self = this->shared_from_this(), runs = std::move(runs)]() {
        self->context.log.propose(AssignRuns{.runs = runs},
                                  [self, runs](const Result<CommandOutcome> &result) {
                                      self->runLocked([&](Effects &later) {
                                          self->onAssignmentsStored(runs, result, later);
                                      });
                                  });
    });
}

void UpstreamScheduler::onAssignmentsStored(const std::vector<RunAssignment> &runs,
                                            const Result<CommandOutcome> &result, Effects &effects)
{
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const RunAssignment &assignment = runs[i];
        LiveTask *task = this->findTask(assignment.task);
        if (task == nullptr || !task->run || task->run->number != assignment.run) {
            continue;
        }
        // A start is sent only for a stored assignment, so otherwise nothing runs.
        const bool stored
            = ok(result) && i < valueOf(result).accepted.size() && valueOf(result).accepted[i];
        const auto worker = this->workers.find(assignment.worker);
        const bool sameIncarnation = worker != this->workers.end()
            && worker->second.record.incarnation == assignment.incarnation;
        if (!stored || !sameIncarnation || task->run->stopRequested) {
            this->stopGang(assignment.task, assignment.run, effects);
            this->releaseRun(assignment.task, effects);
            continue;
        }
        this->sendStart(assignment.task, *task, effects);
    }
    this->schedulePlacement(effects);
}

void UpstreamScheduler::sendStart(const TaskKey &key, LiveTask &task, Effects &effects)
{
    UpstreamWorker &worker = this->workers.at(task.run->worker);
    const LiveWorkflow &workflow = this->workflows.at(key.workflow);
    const SteadyTime now = this->context.clock.steadyNow();
    if (!worker.clock || !worker.fenceConfirmed) {
        // The worker may have restarted since it was chosen.
        this->stopGang(key, task.run->number, effects);
        this->releaseRun(key, effects);
        return;
    }
    LiveRun &run = *task.run;
    // A repeated start must not delay the end of a lease that an unresponsive worker may hold.
    const WorkerTime leaseEnd = run.startsSent > 0
        ? worker.leaseGranted
        : earliestWorkerTime(*worker.clock, now) + this->settings.workerLease;
    run.phase = RunPhase::Ordered;
    run.since = now;
    ++run.startsSent;
    ++run.unansweredStarts;
    run.startMayArriveUntil
        = std::max(run.startMayArriveUntil, latestStartArrival(now, run.ticketExpiresBy));
    StartOrder order{.task = key,
                     .run = run.number,
                     .spec = workflow.spec,
                     .leaseEnd = leaseEnd,
                     .fence = fencingToken(this->term, worker.restarts),
                     .checkpoint = task.checkpoint,
                     .ticket = run.ticket};
    worker.leaseGranted = std::max(worker.leaseGranted, order.leaseEnd);
    worker.leaseExpiresBy
        = std::max(worker.leaseExpiresBy, latestLeaseExpiry(*worker.clock, worker.leaseGranted));
    const WorkerRef ref{.id = worker.record.id,
                        .address = worker.record.address,
                        .incarnation = worker.record.incarnation};
    effects.push_back([self = this->shared_from_this(), ref, order]() {
        const SentStart sent{.task = order.task,
                             .run = order.run,
                             .worker = ref.id,
                             .incarnation = ref.incarnation,
                             .sentAt = self->context.clock.steadyNow()};
        const auto answer = [self, sent](const Result<StartReply> &result) {
            const Duration elapsed = self->context.clock.steadyNow() - sent.sentAt;
            self->context.observer.orderAnswered("start", ok(result), elapsed);
            self->runLocked([&](Effects &later) { self->onStartReply(sent, result, later); });
        };
        if (!self->context.log.holdsLease()) {
            answer(Error{.code = ErrorCode::NotLeader,
                         .step = Step::Send,
                         .peer = ref.id.value,
                         .message = "the leader lease has expired",
                         .outcome = Outcome::NotRun});
            return;
        }
        self->context.orders.start(ref, order, answer);
    });
    this->renewLeaseIfNeeded(worker, effects);
}

void UpstreamScheduler::onStartReply(const SentStart &sent, const Result<StartReply> &result,
                                     Effects &effects)
{
    const bool started = ok(result) && valueOf(result).result == StartResult::Started;
    LiveWorkflow *workflow = nullptr;
    LiveTask *task = this->findTask(sent.task, &workflow);
    if (started && task != nullptr) {
        this->confirmStart(*workflow);
    }
    const auto worker = this->workers.find(sent.worker);
    if (worker == this->workers.end()) {
        return;
    }
    const bool restarted
        = ok(result) && this->recordStartClock(worker->second, sent, valueOf(result), effects);
    if (task == nullptr || !task->run || task->run->number != sent.run
        || task->run->worker != sent.worker) {
        return;
    }
    LiveRun &live = *task->run;
    const bool answered = ok(result) || errorOf(result).outcome == Outcome::NotRun;
    if (answered && live.unansweredStarts > 0 && --live.unansweredStarts == 0) {
        live.startMayArriveUntil = SteadyTime{};
    }
    if (live.phase != RunPhase::Ordered && live.phase != RunPhase::OutcomeUnknown) {
        return;
    }
    if (started) {
        this->onStarted(sent, live, restarted);
        worker->second.lastContact = this->context.clock.steadyNow();
    } else if (!answered) {
        this->onStartUnanswered(sent.task, *task, worker->second, errorOf(result), effects);
    } else {
        this->onStartRefused(sent.task, result, worker->second, effects);
    }
}

void UpstreamScheduler::onStarted(const SentStart &sent, LiveRun &run, bool restarted) const
{
    spdlog::debug("event=run-confirmed task={} run={} worker={} incarnation={} restarted={}",
                  toString(sent.task), sent.run.value, sent.worker.value,
                  run.incarnation.time_since_epoch().count(), restarted);
    if (run.phase == RunPhase::Ordered) {
        // If the worker may have restarted, its next report tells whether it executes the run.
        run.phase = restarted ? RunPhase::Recovered : RunPhase::Running;
        run.since = this->context.clock.steadyNow();
    }
}

bool UpstreamScheduler::mayRepeatStart(const LiveRun &run, const UpstreamWorker &worker,
                                       const StepSpec &spec) const
{
    return run.startsSent < (spec.gang ? maxGangStarts : maxStarts) && !run.stopRequested
        && !worker.lastRenewalFailed && !worker.left && worker.fenceConfirmed && worker.clock
        && (!run.ticketExpiresBy || this->context.clock.steadyNow() <= run.ticketUsableUntil);
}

void UpstreamScheduler::onStartUnanswered(const TaskKey &key, LiveTask &task,
                                          UpstreamWorker &worker, const Error &error,
                                          Effects &effects)
{
    LiveRun &run = *task.run;
    const StepSpec &spec = this->workflows.at(key.workflow).spec->steps[key.step];
    const bool repeats = this->mayRepeatStart(run, worker, spec);
    spdlog::info("event=start-unanswered task={} run={} worker={} repeats={} {}", toString(key),
                 run.number.value, worker.record.id.value, repeats, gooseberry::describe(error));
    run.phase = RunPhase::OutcomeUnknown;
    run.since = this->context.clock.steadyNow();
    if (this->recordOrderFailure(worker, error) == OrderFailure::Worker) {
        this->avoidWorker(worker, initialAvoidance, "start-unanswered");
    }
    if (repeats) {
        // The worker starts the run once at most. On another worker, the task could run twice: a
        // later incarnation of this one may still carry out the start.
        this->sendStart(key, task, effects);
        return;
    }
    this->requestStop(key, run, effects);
    this->stopGang(key, run.number, effects);
}

void UpstreamScheduler::onStartRefused(const TaskKey &key, const Result<StartReply> &result,
                                       UpstreamWorker &worker, Effects &effects)
{
    LiveWorkflow *workflow = nullptr;
    LiveStep *step = nullptr;
    LiveTask *task = this->findTask(key, &workflow, &step);
    const RunNumber run = task->run->number;
    if (!ok(result)) {
        // What kept the order from being sent probably goes on for a moment.
        task->notBefore = this->context.clock.steadyNow() + unsentStartDelay;
    }
    const char *reason = ok(result) ? describe(valueOf(result).result) : "not-sent";
    spdlog::info("event=start-refused task={} run={} worker={} reason={}", toString(key), run.value,
                 worker.record.id.value, reason);
    const bool workerFailed = ok(result)
        ? valueOf(result).result == StartResult::Unhealthy
            || valueOf(result).result == StartResult::NoCapacity
        : this->recordOrderFailure(worker, errorOf(result)) == OrderFailure::Worker;
    if (workerFailed) {
        this->avoidWorker(worker, initialAvoidance, reason);
    }
    if (ok(result) && valueOf(result).result == StartResult::NoTicket) {
        std::erase_if(step->allowed,
                      [&](const AllowedWorker &allowed) { return allowed.slot == worker.slot; });
        step->queriedSlots.erase(worker.slot);
        if (workflow->queueRule == nullptr || !workflow->queueRule->advice) {
            task->notBefore = this->context.clock.steadyNow() + missingAdviserDelay;
        }
    }
    if (task->run->unansweredStarts > 0) {
        // An earlier start of the run got no answer and may have been carried out.
        task->run->phase = RunPhase::OutcomeUnknown;
        this->requestStop(key, *task->run, effects);
        this->stopGang(key, run, effects);
        return;
    }
    this->stopGang(key, run, effects);
    this->releaseRun(key, effects);
    this->schedulePlacement(effects);
}

void UpstreamScheduler::requestStop(const TaskKey &key, LiveRun &run, Effects &effects)
{
    run.stopRequested = true;
    const auto worker = this->workers.find(run.worker);
    // A run whose assignment is being stored is released once the outcome is known. The address of
    // a worker that left before this term is not known.
    if (run.phase == RunPhase::Proposed || run.phase == RunPhase::Ending || run.stopInFlight
        || worker == this->workers.end() || worker->second.record.address.host.empty()) {
        return;
    }
    run.stopInFlight = true;
    const WorkerRef ref{.id = worker->second.record.id,
                        .address = worker->second.record.address,
                        .incarnation = worker->second.record.incarnation};
    const StopOrder order{
        .task = key, .run = run.number, .fence = fencingToken(this->term, worker->second.restarts)};
    effects.push_back([self = this->shared_from_this(), ref, order]() {
        const auto answer = [self, ref, order](const Status &status) {
            self->runLocked([&](Effects &later) { self->onStopReply(order, ref, status, later); });
        };
        if (!self->context.log.holdsLease()) {
            answer(Error{.code = ErrorCode::NotLeader,
                         .step = Step::Send,
                         .peer = ref.id.value,
                         .message = "the leader lease has expired",
                         .outcome = Outcome::NotRun});
            return;
        }
        self->context.orders.stop(ref, order, answer);
    });
}

void UpstreamScheduler::onStopReply(const StopOrder &order, const WorkerRef &recipient,
                                    const Status &status, Effects &effects)
{
    const TaskKey key = order.task;
    const RunNumber run = order.run;
    LiveTask *task = this->findTask(key);
    if (task == nullptr || !task->run || task->run->number != run
        || task->run->worker != recipient.id) {
        return;
    }
    task->run->stopInFlight = false;
    const auto worker = this->workers.find(recipient.id);
    const bool restarted = worker != this->workers.end()
        && worker->second.record.incarnation != recipient.incarnation;
    if (ok(status) && !restarted) {
        task->run->stopAnsweredAt = this->context.clock.steadyNow();
        if (worker != this->workers.end()) {
            this->renewLeaseIfNeeded(worker->second, effects);
        }
        return;
    }
    this->runLater(stopRetryDelay, [this, key, run](Effects &later) {
        LiveTask *stopping = this->findTask(key);
        if (stopping != nullptr && stopping->run && stopping->run->number == run
            && !stopping->run->stopAnsweredAt) {
            this->requestStop(key, *stopping->run, later);
        }
    });
}

void UpstreamScheduler::releaseRun(const TaskKey &key, Effects &effects)
{
    LiveWorkflow *workflow = nullptr;
    LiveStep *step = nullptr;
    LiveTask *task = this->findTask(key, &workflow, &step);
    if (task == nullptr || !task->run) {
        return;
    }
    const LiveRun run = *task->run;
    const StepSpec &spec = workflow->spec->steps[key.step];
    task->run.reset();
    if (run.phase != RunPhase::Ending && !task->done) {
        this->context.observer.runLost();
    }
    if (!run.checkpoint.empty()) {
        task->checkpoint = run.checkpoint;
    }
    const auto worker = this->workers.find(run.worker);
    if (worker != this->workers.end()) {
        worker->second.runs.erase(key);
        worker->second.reserved
            = subtract(worker->second.reserved, footprint(spec)).value_or(Resources{});
        this->recordRoomGained(worker->second);
    }
    this->context.ledger->release(workflow->customer, spec.size);
    --workflow->activeRuns;
    if (!task->done) {
        ++step->waiting;
        this->schedulePlacement(effects);
    }
    this->possiblyFinished.insert(key.workflow);
}

void UpstreamScheduler::stopGang(const TaskKey &key, RunNumber run, Effects &effects)
{
    LiveWorkflow *workflow = nullptr;
    LiveStep *step = nullptr;
    if (this->findTask(key, &workflow, &step) == nullptr || !workflow->spec->steps[key.step].gang) {
        return;
    }
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
        LiveTask &member = step->tasks[index];
        if (index != key.index && member.run && member.run->number == run
            && !member.run->stopRequested && !member.done) {
            TaskKey other = key;
            other.index = index;
            this->requestStop(other, *member.run, effects);
        }
    }
}

void UpstreamScheduler::completeTask(const TaskKey &key, RunNumber run, Effects &effects)
{
    LiveWorkflow *workflow = nullptr;
    LiveStep *step = nullptr;
    LiveTask *task = this->findTask(key, &workflow, &step);
    if (task == nullptr || task->done) {
        return;
    }
    const StepSpec &spec = workflow->spec->steps[key.step];
    const auto finish = [&](LiveTask &ended, const TaskKey &endedKey) {
        if (!ended.run) {
            --step->waiting;
        }
        ended.done = true;
        ++step->done;
        // Only the run that ended has freed its capacity. A later run, begun when this one was
        // considered lost, keeps its reservation until it has stopped.
        if (ended.run && ended.run->number == run) {
            this->releaseRun(endedKey, effects);
        } else if (ended.run) {
            this->requestStop(endedKey, *ended.run, effects);
        }
    };
    if (spec.longRunning) {
        if (task->run && task->run->number == run) {
            this->releaseRun(key, effects);
        }
        return;
    }
    const WorkflowId id = key.workflow;
    if (spec.gang) {
        for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
            TaskKey member = key;
            member.index = index;
            if (!step->tasks[index].done) {
                finish(step->tasks[index], member);
            }
        }
    } else {
        finish(*task, key);
    }
    this->possiblyFinished.insert(id);
    const auto found = this->workflows.find(id);
    if (found != this->workflows.end()) {
        updateReady(found->second, found->second.occurrences.at(key.occurrence));
    }
}

OrderFailure UpstreamScheduler::recordOrderFailure(const UpstreamWorker &worker, const Error &error)
{
    const SteadyTime now = this->context.clock.steadyNow();
    std::erase_if(this->recentOrderFailures,
                  [now](const auto &entry) { return now - entry.second > recentFailureWindow; });
    this->recentOrderFailures[worker.record.id] = now;
    const OrderFailure failure
        = attributeOrderFailure(error,
                                RecentOrders{.workersUsable = this->workers.size(),
                                             .workersFailed = this->recentOrderFailures.size()});
    if (failure == OrderFailure::Sender) {
        this->recentOrderFailures.erase(worker.record.id);
    }
    return failure;
}

void UpstreamScheduler::avoidWorker(UpstreamWorker &worker, Duration time, const char *reason)
{
    const SteadyTime until = this->context.clock.steadyNow() + time;
    if (until > worker.avoidUntil) {
        worker.avoidUntil = until;
        spdlog::info("event=worker-avoided worker={} reason={} for={}ms", worker.record.id.value,
                     reason, std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }
}

void UpstreamScheduler::recordWorkerFailure(UpstreamWorker &worker, const TaskKey &key)
{
    LiveTask *task = this->findTask(key);
    if (task != nullptr) {
        task->notBefore = this->context.clock.steadyNow() + failedTaskDelay;
    }
    // Repeated failures of one workflow do not indicate a faulty worker.
    if (worker.lastFailedWorkflow == key.workflow) {
        return;
    }
    worker.lastFailedWorkflow = key.workflow;
    ++worker.failuresInRow;
    if (worker.failuresInRow >= failuresBeforeAvoidance) {
        const auto doubled
            = initialAvoidance * (1LL << std::min<std::uint32_t>(worker.failuresInRow, 5));
        this->avoidWorker(worker, std::min<Duration>(doubled, maxAvoidance), "failures-in-row");
    }
}

} // namespace gooseberry
