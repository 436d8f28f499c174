#include <dispatch/upstream_scheduler.h>

#include <algorithm>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/** How often the load of the upstream is logged. */
constexpr std::chrono::seconds summaryInterval{1};

} // namespace

Resources footprint(const StepSpec &spec)
{
    Resources size = spec.size;
    if (spec.fillsIdleCpu) {
        size.cpu = CpuMillis(0);
    }
    return size;
}

UpstreamScheduler::UpstreamScheduler(std::string initialUpstream, Term initialTerm,
                                     DispatchSettings initialSettings,
                                     SchedulerContext initialContext)
    : upstream(std::move(initialUpstream))
    , term(initialTerm)
    , settings(initialSettings)
    , context(std::move(initialContext))
    , termBegan(this->context.clock.steadyNow())
{
    this->loadConfiguration();
}

void UpstreamScheduler::runLocked(const Operation &operation)
{
    Effects effects;
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed) {
            return;
        }
        operation(effects);
        this->eraseFinishedWorkflows();
    }
    for (const auto &effect : effects) {
        effect();
    }
}

void UpstreamScheduler::runLater(Duration delay, const Operation &operation)
{
    this->context.schedule(delay, [weak = this->weak_from_this(), operation]() {
        if (const auto self = weak.lock()) {
            self->runLocked(operation);
        }
    });
}

void UpstreamScheduler::begin()
{
    this->markReplacedWorkers();
    // The term begins on the caller's thread only after this call has returned, so the first tick
    // can't run here.
    this->context.schedule(Duration::zero(), [weak = this->weak_from_this()]() {
        if (const auto self = weak.lock()) {
            self->stopEndedWorkflows();
            self->tick();
        }
    });
}

void UpstreamScheduler::stopEndedWorkflows()
{
    std::vector<WorkflowId> ended;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[id, workflow] : this->workflows) {
            if (workflow.ended) {
                ended.push_back(id);
            }
        }
    }
    for (const WorkflowId &id : ended) {
        this->stopWorkflow(id);
    }
}

void UpstreamScheduler::close()
{
    const std::lock_guard lock(this->mutex);
    this->closed = true;
}

void UpstreamScheduler::tick()
{
    this->runLocked([this](Effects &effects) {
        this->handleExpiredLeases(effects);
        this->logSummary();
        for (auto &[id, worker] : this->workers) {
            this->renewLeaseIfNeeded(worker, effects);
        }
        this->beginAllOccurrences(effects);
        this->schedulePlacement(effects);
    });
    this->context.schedule(this->settings.tickInterval, [weak = this->weak_from_this()]() {
        const auto self = weak.lock();
        if (self == nullptr) {
            return;
        }
        bool ended = false;
        {
            const std::lock_guard lock(self->mutex);
            ended = self->closed;
        }
        if (!ended) {
            self->tick();
        }
    });
}

LiveOccurrence UpstreamScheduler::newOccurrence(const LiveWorkflow &workflow) const
{
    LiveOccurrence occurrence;
    for (const StepSpec &step : workflow.spec->steps) {
        LiveStep live;
        live.tasks.resize(step.count);
        live.waiting = step.count;
        occurrence.push_back(std::move(live));
    }
    return occurrence;
}

LiveWorkflow &UpstreamScheduler::createWorkflow(const WorkflowRecord &workflow)
{
    LiveWorkflow &live = this->workflows[workflow.id];
    live.id = workflow.id;
    live.queue = workflow.queue;
    live.customer = workflow.customer;
    live.spec = workflow.spec;
    live.criticalPath = criticalPathLength(*workflow.spec);
    live.startConfirmed = workflow.phase == WorkflowPhase::Running;
    this->findRules(live);
    // A workflow recovered by a new leader has already waited; backdate its acceptance on this
    // clock.
    const Duration waited = this->context.state.time() - workflow.acceptedAt;
    live.acceptedAt = this->context.clock.steadyNow() - std::max(waited, Duration::zero());
    return live;
}

void UpstreamScheduler::updateReady(LiveWorkflow &workflow, LiveOccurrence &occurrence)
{
    for (std::size_t number = 0; number < occurrence.size(); ++number) {
        const auto &before = workflow.spec->steps[number].dependsOn;
        occurrence[number].ready
            = std::all_of(before.begin(), before.end(), [&](std::uint32_t earlier) {
                  return occurrence[earlier].done == occurrence[earlier].tasks.size();
              });
    }
}

void UpstreamScheduler::addWorkflow(const WorkflowRecord &workflow)
{
    this->runLocked([&](Effects &effects) {
        if (!isLive(workflow.phase) || this->workflows.contains(workflow.id)) {
            return;
        }
        this->beginOccurrences(this->createWorkflow(workflow), effects);
    });
}

void UpstreamScheduler::recoverWorkflow(const WorkflowRecord &workflow)
{
    const std::lock_guard lock(this->mutex);
    LiveWorkflow &live = this->createWorkflow(workflow);
    live.ended = !isLive(workflow.phase);
    for (const auto &[number, stored] : workflow.occurrences) {
        this->recoverOccurrence(live, number, stored);
    }
    live.endedOccurrences = workflow.endedOccurrences;
    // The first tick after begin() schedules a placement pass, so these effects are dropped.
    Effects none;
    this->beginOccurrences(live, none);
    this->placementScheduled = false;
}

void UpstreamScheduler::recoverOccurrence(LiveWorkflow &workflow, std::uint32_t number,
                                          const OccurrenceState &stored)
{
    LiveOccurrence &occurrence
        = workflow.occurrences.emplace(number, this->newOccurrence(workflow)).first->second;
    for (std::uint32_t step = 0; step < stored.size(); ++step) {
        for (std::uint32_t index = 0; index < stored[step].tasks.size(); ++index) {
            const StoredTask &state = stored[step].tasks[index];
            LiveTask &task = occurrence[step].tasks[index];
            task.lastRun = state.run;
            task.checkpoint = state.checkpoint;
            if (state.phase == StoredTaskPhase::Done) {
                task.done = true;
                ++occurrence[step].done;
                --occurrence[step].waiting;
            } else if (state.phase == StoredTaskPhase::Assigned) {
                this->recoverRun(workflow,
                                 TaskKey{.workflow = workflow.id,
                                         .occurrence = number,
                                         .step = step,
                                         .index = index},
                                 state);
            }
        }
    }
    updateReady(workflow, occurrence);
}

void UpstreamScheduler::recoverRun(LiveWorkflow &workflow, const TaskKey &key,
                                   const StoredTask &stored)
{
    LiveStep &step = workflow.occurrences.at(key.occurrence)[key.step];
    LiveRun run;
    run.number = stored.run;
    run.phase = RunPhase::Recovered;
    run.worker = stored.worker;
    run.incarnation = stored.incarnation;
    run.since = this->context.clock.steadyNow();
    run.unansweredStarts = 1;
    run.startMayArriveUntil = this->recoveredStartArrival(workflow);
    run.checkpoint = stored.checkpoint;
    step.tasks[key.index].run = run;
    --step.waiting;
    ++workflow.activeRuns;
    const StepSpec &spec = workflow.spec->steps[key.step];
    this->context.ledger->reserve(workflow.customer, spec.size);
    this->reserve(this->recoveredWorker(stored), key, spec, stored.run);
}

void UpstreamScheduler::stopWorkflow(const WorkflowId &id)
{
    this->runLocked([&](Effects &effects) {
        const auto found = this->workflows.find(id);
        if (found == this->workflows.end()) {
            return;
        }
        LiveWorkflow &workflow = found->second;
        workflow.ended = true;
        for (auto &[number, occurrence] : workflow.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.size(); ++step) {
                for (std::uint32_t index = 0; index < occurrence[step].tasks.size(); ++index) {
                    LiveTask &task = occurrence[step].tasks[index];
                    if (task.run) {
                        this->requestStop(
                            TaskKey{
                                .workflow = id, .occurrence = number, .step = step, .index = index},
                            *task.run, effects);
                    }
                }
            }
        }
        this->possiblyFinished.insert(id);
    });
}

void UpstreamScheduler::eraseFinishedWorkflows()
{
    for (const WorkflowId &id : this->possiblyFinished) {
        const auto found = this->workflows.find(id);
        if (found == this->workflows.end()) {
            continue;
        }
        if (found->second.ended && found->second.activeRuns == 0) {
            this->workflows.erase(found);
        } else {
            eraseEndedOccurrences(found->second);
        }
    }
    this->possiblyFinished.clear();
}

LiveTask *UpstreamScheduler::findTask(const TaskKey &key, LiveWorkflow **workflow, LiveStep **step)
{
    const auto found = this->workflows.find(key.workflow);
    if (found == this->workflows.end()) {
        return nullptr;
    }
    const auto occurrence = found->second.occurrences.find(key.occurrence);
    if (occurrence == found->second.occurrences.end() || key.step >= occurrence->second.size()
        || key.index >= occurrence->second[key.step].tasks.size()) {
        return nullptr;
    }
    if (workflow != nullptr) {
        *workflow = &found->second;
    }
    if (step != nullptr) {
        *step = &occurrence->second[key.step];
    }
    return &occurrence->second[key.step].tasks[key.index];
}

void UpstreamScheduler::configurationChanged()
{
    this->runLocked([this](Effects &effects) {
        this->loadConfiguration();
        this->schedulePlacement(effects);
    });
}

void UpstreamScheduler::loadConfiguration()
{
    this->evacuatedDomains = this->context.state.evacuated();
    this->rules = this->context.state.rules();
    this->queueRules.clear();
    this->customerRules.clear();
    if (this->rules != nullptr) {
        for (const QueueRule &queue : this->rules->config->queues) {
            this->queueRules.emplace(queue.name, &queue);
        }
        for (const RetiredQueue &queue : this->rules->retiredQueues) {
            this->queueRules.emplace(queue.rule.name,
                                     findQueueOfWork(*this->rules, queue.rule.name));
        }
        for (const CustomerRule &customer : this->rules->config->customers) {
            this->customerRules.emplace(customer.id.value, &customer);
        }
        for (const RetiredCustomer &customer : this->rules->retiredCustomers) {
            this->customerRules.emplace(customer.rule.id.value, &customer.rule);
        }
    }
    for (auto &[id, workflow] : this->workflows) {
        this->findRules(workflow);
    }
}

void UpstreamScheduler::findRules(LiveWorkflow &workflow) const
{
    const auto queue = this->queueRules.find(workflow.queue);
    workflow.queueRule = queue == this->queueRules.end() ? nullptr : queue->second;
    const auto customer = this->customerRules.find(workflow.customer.value);
    workflow.customerRule = customer == this->customerRules.end() ? nullptr : customer->second;
}

UpstreamStats UpstreamScheduler::stats() const
{
    const std::lock_guard lock(this->mutex);
    return this->statsLocked();
}

void UpstreamScheduler::logSummary()
{
    const SteadyTime now = this->context.clock.steadyNow();
    if (now < this->nextSummary) {
        return;
    }
    this->nextSummary = now + summaryInterval;
    const UpstreamStats stats = this->statsLocked();
    const auto millis = [](Duration time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    spdlog::info("event=board upstream={} workers={} usable={} workflows={} unconfirmed={} runs={} "
                 "waiting={} cpu={}/{} questions={} passes={} pass-time={}ms lateness={}ms "
                 "max-lateness={}ms placed={} placed-late={} advice={}",
                 this->upstream, stats.workers, stats.workersUsable, stats.workflows,
                 stats.workflowsUnconfirmed, stats.runs, stats.tasksWaiting,
                 stats.reserved.cpu.value, stats.capacity.cpu.value, stats.pendingAdviceRequests,
                 this->activity.passes, millis(this->activity.passTime), millis(this->lateness),
                 millis(this->activity.maxLateness), this->activity.placedTasks,
                 this->activity.placedLateTasks, this->activity.adviceRequests);
    this->activity = {};
}

UpstreamStats UpstreamScheduler::statsLocked() const
{
    UpstreamStats stats;
    for (const auto &[priority, backlog] : this->adviceBacklog) {
        stats.pendingAdviceRequests += backlog.requests;
    }
    const SteadyTime now = this->context.clock.steadyNow();
    stats.workers = this->workers.size();
    for (const auto &[id, worker] : this->workers) {
        stats.workersUsable += this->isUsable(worker, now) ? 1 : 0;
        stats.runs += worker.runs.size();
        stats.capacity = add(stats.capacity, worker.record.capacity).value_or(Resources{});
        stats.reserved = add(stats.reserved, worker.reserved).value_or(Resources{});
    }
    stats.workflows = this->workflows.size();
    for (const auto &[id, workflow] : this->workflows) {
        stats.workflowsUnconfirmed += workflow.activeRuns > 0 && !workflow.startConfirmed ? 1 : 0;
        for (const auto &[number, occurrence] : workflow.occurrences) {
            for (const LiveStep &step : occurrence) {
                stats.tasksWaiting += step.ready ? step.waiting : 0;
            }
        }
    }
    return stats;
}

} // namespace gooseberry
