#include <cell/coordinator.h>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

WaitingJob waitingJob(const JobRecord &job)
{
    return WaitingJob{.id = job.id,
                      .jobClass = job.spec->jobClass,
                      .team = job.team,
                      .submittedAt = job.submittedAt};
}

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
        this->current
            = Leadership{.leads = true, .term = term, .since = now, .base = this->state.time()};
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
        // Nothing is placed on a worker until it has reported to this leader.
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
            // A report that saw this term refuses all starts of earlier ones, so the first such
            // report is proof enough.
            shard.sessions[task.instance].starts[attempt] = SentStart{};
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
    if (!ok(this->checkLeading(Step::Place))) {
        return;
    }
    this->expireLeases(now);
    this->expireJobs();
    this->scheduleRound(now);
}

void Coordinator::enqueuePending(const JobRecord &job)
{
    if (job.cancelRequested) {
        return;
    }
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].state == TaskState::Pending) {
            this->scheduler.addTask(waitingJob(job), job.spec, index,
                                    nextAttempt(job.tasks[index]));
        }
    }
}

void Coordinator::requeue(const TaskId &task)
{
    const auto job = this->state.jobs().find(task.job);
    if (!job || job->cancelRequested || task.index >= job->tasks.size()) {
        return;
    }
    const TaskRecord &record = job->tasks[task.index];
    if (record.state == TaskState::Pending) {
        this->scheduler.addTask(waitingJob(*job), job->spec, task.index, nextAttempt(record));
    }
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
    for (StartGroup &group : this->scheduler.runRound(input)) {
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
            this->dispatch(group, outcome);
        });
    }
}

void Coordinator::dispatch(const StartGroup &group, const ApplyOutcome &outcome)
{
    for (const StartDecision &decision : group.starts) {
        this->scheduler.settle(decision);
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
            this->send(placed.placement);
        } else {
            spdlog::info("decision=placement attempt={} worker={} committed=false {}",
                         toString(placed.placement.attempt), placed.placement.instance.value,
                         describe(errorOf(placed.status)));
            this->requeue(placed.placement.attempt.task);
        }
    }
}

void Coordinator::expireJobs()
{
    const CellTime now = this->cellNow();
    if (now.time_since_epoch() < this->settings.retention) {
        return;
    }
    const CellTime endedBefore = now - this->settings.retention;
    bool due = false;
    for (const JobRecord &job : this->state.jobs().all()) {
        due = due || (job.ended() && job.endedAt <= endedBefore);
    }
    if (due) {
        this->log.propose(Expire{.endedBefore = endedBefore}, [](const ApplyOutcome &) {});
    }
}

} // namespace gooseberry
