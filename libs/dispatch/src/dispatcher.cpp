#include <dispatch/dispatcher.h>

#include <spdlog/spdlog.h>

namespace gooseberry {

Dispatcher::Dispatcher(DispatchSettings initialSettings, const Clock &initialClock,
                       WorkerOrders &initialOrders, AdviserAccess &initialAdviser,
                       CommandSink &initialLog, const WorkflowState &initialState,
                       Schedule initialSchedule, DispatchObserver &initialObserver)
    : settings(initialSettings)
    , clock(initialClock)
    , orders(initialOrders)
    , adviser(initialAdviser)
    , log(initialLog)
    , state(initialState)
    , schedule(std::move(initialSchedule))
    , observer(initialObserver)
{
}

std::shared_ptr<UpstreamScheduler> Dispatcher::createScheduler(const std::string &upstream)
{
    const auto [found, added] = this->schedulers.try_emplace(upstream);
    if (added) {
        found->second
            = std::make_shared<UpstreamScheduler>(upstream, *this->term, this->settings,
                                                  SchedulerContext{.clock = this->clock,
                                                                   .orders = this->orders,
                                                                   .adviser = this->adviser,
                                                                   .log = this->log,
                                                                   .ledger = this->ledger,
                                                                   .state = this->state,
                                                                   .schedule = this->schedule,
                                                                   .observer = this->observer});
    }
    return found->second;
}

void Dispatcher::beginTerm(Term newTerm)
{
    std::map<std::string, std::shared_ptr<UpstreamScheduler>> recovered;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[upstream, scheduler] : this->schedulers) {
            scheduler->close();
        }
        this->schedulers.clear();
        this->term = newTerm;
        this->ledger = std::make_shared<CustomerLedger>();
        for (const auto &[id, worker] : this->state.workers()) {
            this->createScheduler(worker.upstream)->recoverWorker(worker);
        }
        // Copied before the schedulers are called: each takes its own lock and reads the state
        // under it.
        std::vector<WorkflowRecord> workflows;
        const auto copy = [&](const WorkflowRecord &workflow) { workflows.push_back(workflow); };
        this->state.visitLiveWorkflows(copy);
        this->state.visitEndedWorkflowsWithRuns(copy);
        for (const WorkflowRecord &workflow : workflows) {
            this->createScheduler(workflow.upstream)->recoverWorkflow(workflow);
        }
        recovered = this->schedulers;
        spdlog::info("event=term-began term={} workflows={} upstreams={}", newTerm.value,
                     workflows.size(), recovered.size());
    }
    for (const auto &[upstream, scheduler] : recovered) {
        scheduler->begin();
    }
}

void Dispatcher::endTerm()
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[upstream, scheduler] : this->schedulers) {
        scheduler->close();
    }
    this->schedulers.clear();
    if (this->term) {
        spdlog::info("event=term-ended term={}", this->term->value);
    }
    this->term.reset();
}

std::shared_ptr<UpstreamScheduler> Dispatcher::schedulerFor(const std::string &upstream)
{
    std::shared_ptr<UpstreamScheduler> scheduler;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->term) {
            return nullptr;
        }
        const auto found = this->schedulers.find(upstream);
        if (found != this->schedulers.end()) {
            return found->second;
        }
        scheduler = this->createScheduler(upstream);
    }
    scheduler->begin();
    return scheduler;
}

std::map<std::string, std::shared_ptr<UpstreamScheduler>> Dispatcher::allSchedulers() const
{
    const std::lock_guard lock(this->mutex);
    return this->schedulers;
}

void Dispatcher::workflowAccepted(const WorkflowId &id)
{
    std::optional<WorkflowRecord> workflow;
    this->state.visitWorkflow(id, [&](const WorkflowRecord &found) { workflow = found; });
    if (workflow) {
        if (const auto scheduler = this->schedulerFor(workflow->upstream)) {
            scheduler->addWorkflow(*workflow);
        }
    }
}

void Dispatcher::workflowCancelled(const WorkflowId &id)
{
    for (const auto &[upstream, scheduler] : this->allSchedulers()) {
        scheduler->stopWorkflow(id);
    }
}

void Dispatcher::workerAnnounced(const WorkerRecord &worker)
{
    if (const auto scheduler = this->schedulerFor(worker.upstream)) {
        scheduler->workerChanged(worker);
    }
}

void Dispatcher::workerForgotten(const InstanceId &id, WorkerIncarnation incarnation)
{
    for (const auto &[upstream, scheduler] : this->allSchedulers()) {
        scheduler->workerLeft(id, incarnation);
    }
}

void Dispatcher::configurationChanged()
{
    for (const auto &[upstream, scheduler] : this->allSchedulers()) {
        scheduler->configurationChanged();
    }
}

void Dispatcher::heartbeatReceived(const WorkerRecord &worker,
                                   std::optional<WorkerTime> workerClock)
{
    if (const auto scheduler = this->schedulerFor(worker.upstream)) {
        scheduler->heartbeatReceived(worker.id, worker.incarnation, workerClock);
    }
}

std::map<std::string, UpstreamStats> Dispatcher::stats() const
{
    std::map<std::string, UpstreamStats> all;
    for (const auto &[upstream, scheduler] : this->allSchedulers()) {
        all.emplace(upstream, scheduler->stats());
    }
    return all;
}

} // namespace gooseberry
