#include <cell/coordinator.h>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/** The search for expired jobs visits all jobs, so not every step performs it. */
constexpr std::chrono::seconds expiryInterval{1};

Attempt nextAttempt(const TaskRecord &task)
{
    return Attempt(task.attempt.value + 1);
}

} // namespace

void Coordinator::beginTerm(Term term)
{
    const SteadyTime now = this->clock.steadyNow();
    {
        const std::lock_guard lock(this->leadershipMutex);
        this->current = Leadership{
            .leads = true, .term = term, .startedAt = now, .cellTimeAtStart = this->state.time()};
    }
    for (SessionShard &shard : this->sessionShards) {
        const std::lock_guard lock(shard.mutex);
        shard.sessions.clear();
    }
    for (const Instance &instance : this->state.fleet().snapshot()) {
        SessionShard &shard = this->sessionShard(instance.spec.id);
        const std::lock_guard lock(shard.mutex);
        Session &session = shard.sessions[instance.spec.id];
        session.worker = instance.spec.id;
        session.incarnation = instance.spec.upstream.incarnation;
        session.lease = Lease{
            .holder = instance.spec.id, .grantedAt = now, .length = this->settings.workerLease};
        // No task is placed on a worker until it has reported to this leader.
        this->state.fleet().setReachable(instance.spec.id, false);
    }
    this->scheduler.clear();
    for (const JobRecord &job : this->state.jobs().all()) {
        this->enqueuePending(job);
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            const TaskRecord &task = job.tasks[index];
            if (task.state != TaskState::Running) {
                continue;
            }
            const AttemptId attempt{.task = TaskId{.job = job.id, .index = index},
                                    .attempt = task.attempt};
            SessionShard &shard = this->sessionShard(task.instance);
            const std::lock_guard lock(shard.mutex);
            // A worker that has seen this term refuses all starts of earlier terms, so its first
            // report is conclusive whatever the generation.
            shard.sessions[task.instance].starts[attempt] = SentStart{};
            if (const auto view = this->state.jobs().findTask(attempt.task)) {
                this->recordStart(attempt, *view);
            }
        }
    }
    spdlog::info("event=term-begun term={}", term.value);
}

void Coordinator::endTerm()
{
    {
        const std::lock_guard lock(this->leadershipMutex);
        this->current.leads = false;
    }
    this->scheduler.clear();
    std::vector<Waiter> open;
    for (WaiterShard &shard : this->waiterShards) {
        const std::lock_guard lock(shard.mutex);
        for (auto &[job, waiter] : shard.waiters) {
            open.push_back(std::move(waiter));
        }
        shard.waiters.clear();
    }
    for (const Waiter &waiter : open) {
        waiter.reply(Error{.code = ErrorCode::NotLeader,
                           .step = Step::Answer,
                           .peer = {},
                           .message = "leadership ended while the caller waited",
                           .outcome = Outcome::Unknown});
    }
}

void Coordinator::step()
{
    const SteadyTime now = this->clock.steadyNow();
    this->expireWaiters(now);
    if (!ok(this->checkLeadership(Step::Place))) {
        return;
    }
    this->expireLeases(now);
    this->expireJobs(now);
    this->scheduleRound(now);
}

void Coordinator::enqueuePending(const JobRecord &job)
{
    const WaitingJob waiting{.id = job.id,
                             .jobClass = job.spec->jobClass,
                             .team = job.team,
                             .submittedAt = job.submittedAt};
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].state == TaskState::Pending && !job.cancelRequested) {
            this->scheduler.addTask(waiting, job.spec, index, nextAttempt(job.tasks[index]));
        }
    }
    this->observer.workAvailable();
}

void Coordinator::requeue(const TaskId &id)
{
    const auto view = this->state.jobs().findTask(id);
    if (!view || view->cancelRequested || view->task.state != TaskState::Pending) {
        return;
    }
    const WaitingJob waiting{.id = id.job,
                             .jobClass = view->spec->jobClass,
                             .team = view->team,
                             .submittedAt = view->submittedAt};
    this->scheduler.addTask(waiting, view->spec, id.index, nextAttempt(view->task));
}

void Coordinator::scheduleRound(SteadyTime now)
{
    const std::lock_guard lock(this->roundMutex);
    const auto config = this->state.config().current();
    RoundInput input;
    input.now = now;
    input.cellNow = this->cellNow();
    input.config = config.get();
    input.domainsOut = this->state.config().domainsOut();
    const std::vector<StartGroup> groups = this->scheduler.runRound(input);
    std::size_t placements = 0;
    for (const StartGroup &group : groups) {
        placements += group.starts.size();
    }
    if (placements > 0) {
        this->observer.roundDecided(this->clock.steadyNow() - now, placements);
    }
    this->proposeStarts(groups);
    this->stopPreemptedAndEvacuated(input);
}

void Coordinator::proposeStarts(const std::vector<StartGroup> &groups)
{
    for (const StartGroup &group : groups) {
        Start command;
        command.job = group.job;
        command.allOrNone = group.allOrNone;
        for (const StartDecision &decision : group.starts) {
            spdlog::info("decision=placement attempt={} worker={} reason={} runnerUp={}",
                         toString(decision.attempt), decision.instance.value,
                         toString(decision.choice.reason),
                         decision.choice.runnerUp ? decision.choice.runnerUp->value : "-");
            command.placements.push_back(
                Placement{.attempt = decision.attempt, .instance = decision.instance});
        }
        this->log.propose(std::move(command), [this, group](const ApplyOutcome &outcome) {
            this->onStartOutcome(group, outcome);
        });
    }
}

void Coordinator::stopPreemptedAndEvacuated(const RoundInput &input)
{
    for (const PreemptionDecision &decision : this->scheduler.preemptions(input)) {
        for (const Victim &victim : decision.victims) {
            this->stopAttempt(victim.attempt, victim.instance, decision.reason);
        }
    }
    for (const MoveDecision &move : this->scheduler.evacuations(input)) {
        this->stopAttempt(move.attempt, move.from, move.reason);
    }
}

void Coordinator::stopAttempt(const AttemptId &attempt, const InstanceId &instance, Reason reason)
{
    spdlog::info("decision=stop attempt={} worker={} reason={}", toString(attempt), instance.value,
                 toString(reason));
    // The attempt counts as running until its worker reports that it has stopped.
    if (const auto worker = this->state.fleet().find(instance)) {
        this->port.sendStop(worker->spec.upstream.address, attempt);
    }
}

void Coordinator::recordStart(const AttemptId &attempt, const TaskView &view)
{
    this->scheduler.taskStarted(
        RunningTask{.attempt = attempt,
                    .instance = view.task.instance,
                    .team = view.team,
                    .jobClass = view.spec->jobClass,
                    .amount = view.spec->perTask,
                    .repeatable = view.spec->repeatable,
                    .checkpointable = false,
                    .jobTemplate = view.spec->jobTemplate,
                    .startedAt = this->clock.steadyNow(),
                    .estimatedRunTime = correctedRunTime(*view.spec, std::nullopt, {})});
}

void Coordinator::recordEnd(const Placement &placement, EndCause cause)
{
    const FaultDecision fault = this->scheduler.taskEnded(TaskEnd{.attempt = placement.attempt,
                                                                  .instance = placement.instance,
                                                                  .cause = cause,
                                                                  .at = this->clock.steadyNow()});
    if (fault.reason != Reason::Accepted) {
        spdlog::warn("decision=fault attempt={} worker={} reason={} quarantined={} parked={}",
                     toString(placement.attempt), placement.instance.value, toString(fault.reason),
                     fault.quarantineUntil.has_value(), fault.jobParked);
    }
}

void Coordinator::onStartOutcome(const StartGroup &group, const ApplyOutcome &outcome)
{
    for (const StartDecision &decision : group.starts) {
        this->scheduler.releaseStart(decision);
    }
    if (!ok(outcome)) {
        spdlog::warn("event=start-not-committed job={} {}", group.job.value,
                     describe(errorOf(outcome)));
        if (errorOf(outcome).outcome == Outcome::NotRun) {
            for (const StartDecision &decision : group.starts) {
                this->requeue(decision.attempt.task);
            }
        }
        return;
    }
    for (const PlacementOutcome &placed :
         std::get<std::vector<PlacementOutcome>>(valueOf(outcome))) {
        if (ok(placed.status)) {
            if (const auto view = this->state.jobs().findTask(placed.placement.attempt.task)) {
                this->recordStart(placed.placement.attempt, *view);
            }
            this->sendStart(placed.placement);
        } else {
            spdlog::info("decision=placement attempt={} worker={} committed=false {}",
                         toString(placed.placement.attempt), placed.placement.instance.value,
                         describe(errorOf(placed.status)));
            this->requeue(placed.placement.attempt.task);
        }
    }
}

void Coordinator::expireJobs(SteadyTime now)
{
    {
        const std::lock_guard lock(this->roundMutex);
        if (now < this->nextExpiry) {
            return;
        }
        this->nextExpiry = now + expiryInterval;
    }
    const CellTime cellTime = this->cellNow();
    if (cellTime.time_since_epoch() < this->settings.retention) {
        return;
    }
    const CellTime endedBefore = cellTime - this->settings.retention;
    if (this->state.jobs().anyEndedBy(endedBefore)) {
        this->log.propose(Expire{.endedBefore = endedBefore}, [](const ApplyOutcome &) {});
    }
}

} // namespace gooseberry
