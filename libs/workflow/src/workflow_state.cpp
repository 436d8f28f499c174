#include <workflow/workflow_state.h>

#include <algorithm>

#include <workflow/records.h>

namespace gooseberry {

namespace {

OccurrenceState newOccurrence(const WorkflowSpec &spec)
{
    OccurrenceState occurrence;
    for (const StepSpec &step : spec.steps) {
        occurrence.push_back(StepState{.tasks = std::vector<StoredTask>(step.count),
                                       .done = 0,
                                       .gangFailures = 0,
                                       .lastFailedRun = {}});
    }
    return occurrence;
}

bool hasAssignedTasks(const OccurrenceState &occurrence)
{
    return std::any_of(occurrence.begin(), occurrence.end(), [](const StepState &step) {
        return std::any_of(step.tasks.begin(), step.tasks.end(), [](const StoredTask &task) {
            return task.phase == StoredTaskPhase::Assigned;
        });
    });
}

/** The step that a task belongs to; null pointers if the workflow has no such task. */
struct FoundTask
{
    StepState *step = nullptr;
    const StepSpec *spec = nullptr;
};

/**
 * Finds the task's step, and creates the state of its occurrence if that has not started. An
 * occurrence that has ended has no steps any more.
 */
FoundTask findTask(WorkflowRecord &workflow, const TaskKey &key)
{
    if (key.occurrence >= occurrenceCount(*workflow.spec) || key.step >= workflow.spec->steps.size()
        || key.index >= workflow.spec->steps[key.step].count
        || workflow.endedOccurrences.contains(key.occurrence)) {
        return {};
    }
    auto found = workflow.occurrences.find(key.occurrence);
    if (found == workflow.occurrences.end()) {
        found = workflow.occurrences.emplace(key.occurrence, newOccurrence(*workflow.spec)).first;
    }
    return {.step = &found->second[key.step], .spec = &workflow.spec->steps[key.step]};
}

/** How long a removed worker is remembered; longer than orders to it may be delayed. */
constexpr std::chrono::minutes removedWorkerRetention{1};

} // namespace

bool isDone(const OccurrenceState &occurrence)
{
    return std::all_of(occurrence.begin(), occurrence.end(),
                       [](const StepState &step) { return step.done == step.tasks.size(); });
}

bool isLive(WorkflowPhase phase)
{
    return phase == WorkflowPhase::Queued || phase == WorkflowPhase::Running;
}

WorkflowState::WorkflowState(std::chrono::milliseconds initialRetention)
    : retention(initialRetention)
{
}

WorkflowState::Shard &WorkflowState::shardOf(const WorkflowId &id)
{
    return this->shards.at(std::hash<WorkflowId>{}(id) % shardCount);
}

const WorkflowState::Shard &WorkflowState::shardOf(const WorkflowId &id) const
{
    return this->shards.at(std::hash<WorkflowId>{}(id) % shardCount);
}

CommandOutcome WorkflowState::apply(const ProposedCommand &proposed)
{
    {
        const std::lock_guard lock(this->cellMutex);
        this->now = std::max(this->now, proposed.at);
    }
    return std::visit([this](const auto &command) { return this->execute(command); },
                      proposed.command);
}

CommandOutcome WorkflowState::execute(const PutConfig &command)
{
    const NamesInUse used = this->namesInUse();
    const std::lock_guard lock(this->cellMutex);
    CommandOutcome outcome;
    const RulesInForce current
        = this->rulesInForce == nullptr ? RulesInForce{} : *this->rulesInForce;
    outcome.changed = current.config == nullptr || command.config.version > current.config->version;
    if (outcome.changed) {
        this->rulesInForce = std::make_shared<const RulesInForce>(
            replaceConfig(current, command.config, used, this->now));
    }
    return outcome;
}

NamesInUse WorkflowState::namesInUse() const
{
    NamesInUse used;
    this->visitLiveWorkflows([&used](const WorkflowRecord &workflow) {
        used.queues.insert(workflow.queue);
        used.customers.insert(workflow.customer);
    });
    return used;
}

CommandOutcome WorkflowState::execute(const AcceptWorkflow &command)
{
    CommandOutcome outcome;
    Result<WorkflowSpec> spec = decodeRecord<WorkflowSpec>(command.spec);
    if (!ok(spec)) {
        return outcome;
    }
    Shard &shard = this->shardOf(command.id);
    const CellTime at = this->time();
    const std::lock_guard lock(shard.mutex);
    this->removeExpired(shard);
    const auto [found, added] = shard.workflows.try_emplace(command.id.value);
    outcome.known = true;
    outcome.changed = added;
    if (added) {
        found->second
            = WorkflowRecord{.id = command.id,
                             .queue = command.queue,
                             .upstream = command.upstream,
                             .customer = command.customer,
                             .attempts = command.attempts,
                             .acceptedAt = at,
                             .phase = WorkflowPhase::Queued,
                             .endedAt = {},
                             .spec = std::make_shared<const WorkflowSpec>(std::move(valueOf(spec))),
                             .occurrences = {},
                             .endedOccurrences = {},
                             .occurrencesDone = 0};
        ++shard.queued[command.queue];
    }
    return outcome;
}

CommandOutcome WorkflowState::execute(const AssignRuns &command)
{
    CommandOutcome outcome;
    for (const RunAssignment &assignment : command.runs) {
        Shard &shard = this->shardOf(assignment.task.workflow);
        const std::lock_guard lock(shard.mutex);
        outcome.accepted.push_back(assign(shard, assignment));
    }
    return outcome;
}

bool WorkflowState::assign(Shard &shard, const RunAssignment &assignment)
{
    const auto found = shard.workflows.find(assignment.task.workflow.value);
    if (found == shard.workflows.end() || !isLive(found->second.phase)) {
        return false;
    }
    WorkflowRecord &workflow = found->second;
    const FoundTask task = findTask(workflow, assignment.task);
    if (task.step == nullptr) {
        return false;
    }
    StoredTask &state = task.step->tasks[assignment.task.index];
    if (state.phase == StoredTaskPhase::Done || assignment.run <= state.run) {
        return false;
    }
    state.phase = StoredTaskPhase::Assigned;
    state.run = assignment.run;
    state.worker = assignment.worker;
    state.incarnation = assignment.incarnation;
    state.checkpoint = assignment.checkpoint;
    return true;
}

bool WorkflowState::recordStart(Shard &shard, WorkflowRecord &workflow)
{
    if (workflow.phase != WorkflowPhase::Queued) {
        return false;
    }
    workflow.phase = WorkflowPhase::Running;
    --shard.queued[workflow.queue];
    return true;
}

CommandOutcome WorkflowState::execute(const RecordStarts &command)
{
    CommandOutcome outcome;
    for (const WorkflowId &id : command.workflows) {
        Shard &shard = this->shardOf(id);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.workflows.find(id.value);
        if (found != shard.workflows.end() && recordStart(shard, found->second)) {
            outcome.changed = true;
        }
    }
    return outcome;
}

CommandOutcome WorkflowState::execute(const EndRuns &command)
{
    CommandOutcome outcome;
    for (const RunEnd &end : command.ends) {
        Shard &shard = this->shardOf(end.task.workflow);
        const std::lock_guard lock(shard.mutex);
        outcome.accepted.push_back(this->applyEnd(shard, end, outcome));
    }
    return outcome;
}

bool WorkflowState::applyEnd(Shard &shard, const RunEnd &end, CommandOutcome &outcome)
{
    const auto found = shard.workflows.find(end.task.workflow.value);
    if (found == shard.workflows.end() || !isLive(found->second.phase)) {
        return false;
    }
    WorkflowRecord &workflow = found->second;
    const FoundTask task = findTask(workflow, end.task);
    if (task.step == nullptr) {
        return false;
    }
    // Only a run that a worker has begun can end, whether or not its result still counts.
    recordStart(shard, workflow);
    if (task.step->tasks[end.task.index].phase == StoredTaskPhase::Done) {
        return false;
    }
    if (end.result == StoredResult::Failed) {
        if (this->applyFailure(workflow, *task.step, *task.spec, end)) {
            this->endWorkflow(shard, workflow, WorkflowPhase::Failed, outcome);
        }
        return true;
    }
    if (this->applyDone(workflow, *task.step, *task.spec, end)
        && isDone(workflow.occurrences.at(end.task.occurrence))) {
        workflow.occurrences.erase(end.task.occurrence);
        workflow.endedOccurrences.insert(end.task.occurrence);
        ++workflow.occurrencesDone;
        if (workflow.occurrencesDone == occurrenceCount(*workflow.spec)) {
            this->endWorkflow(shard, workflow, WorkflowPhase::Completed, outcome);
        }
    }
    return true;
}

bool WorkflowState::applyDone(WorkflowRecord & /*workflow*/, StepState &step, const StepSpec &spec,
                              const RunEnd &end)
{
    if (spec.longRunning) {
        // A delayed end of an earlier run says nothing about the run that is assigned now.
        if (step.tasks[end.task.index].run == end.run) {
            step.tasks[end.task.index].phase = StoredTaskPhase::Waiting;
        }
        return false;
    }
    if (spec.gang) {
        // The members of a gang finish together, so the end of one counts for all.
        for (StoredTask &task : step.tasks) {
            task.phase = StoredTaskPhase::Done;
            task.checkpoint.clear();
        }
        step.done = static_cast<std::uint32_t>(step.tasks.size());
        return true;
    }
    StoredTask &task = step.tasks[end.task.index];
    task.phase = StoredTaskPhase::Done;
    task.checkpoint.clear();
    ++step.done;
    return step.done == step.tasks.size();
}

bool WorkflowState::applyFailure(WorkflowRecord &workflow, StepState &step, const StepSpec &spec,
                                 const RunEnd &end)
{
    StoredTask &task = step.tasks[end.task.index];
    if (end.run != task.run || task.phase != StoredTaskPhase::Assigned) {
        return false;
    }
    task.phase = StoredTaskPhase::Waiting;
    task.checkpoint = end.checkpoint;
    if (spec.longRunning) {
        return false;
    }
    if (spec.gang) {
        if (step.lastFailedRun < end.run) {
            step.lastFailedRun = end.run;
            ++step.gangFailures;
        }
        return step.gangFailures >= workflow.attempts;
    }
    ++task.failures;
    return task.failures >= workflow.attempts;
}

void WorkflowState::endWorkflow(Shard &shard, WorkflowRecord &workflow, WorkflowPhase phase,
                                CommandOutcome &outcome)
{
    if (workflow.phase == WorkflowPhase::Queued) {
        --shard.queued[workflow.queue];
    }
    workflow.phase = phase;
    workflow.endedAt = this->time();
    std::erase_if(workflow.occurrences,
                  [](const auto &entry) { return !hasAssignedTasks(entry.second); });
    workflow.endedOccurrences = {};
    shard.ended.emplace_back(workflow.endedAt, workflow.id);
    outcome.changed = true;
    outcome.ended.emplace_back(workflow.id, phase);
}

CommandOutcome WorkflowState::execute(const CancelWorkflow &command)
{
    CommandOutcome outcome;
    Shard &shard = this->shardOf(command.id);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.workflows.find(command.id.value);
    outcome.known = found != shard.workflows.end();
    if (outcome.known && isLive(found->second.phase)) {
        this->endWorkflow(shard, found->second, WorkflowPhase::Cancelled, outcome);
    }
    return outcome;
}

CommandOutcome WorkflowState::execute(const SetEvacuation &command)
{
    const std::lock_guard lock(this->cellMutex);
    CommandOutcome outcome;
    ++this->evacuationRevisions[command.domain];
    outcome.changed = command.evacuated ? this->evacuatedDomains.insert(command.domain).second
                                        : this->evacuatedDomains.erase(command.domain) > 0;
    return outcome;
}

CommandOutcome WorkflowState::execute(const OrderEvacuation &command)
{
    {
        const std::lock_guard lock(this->cellMutex);
        const bool inForce = this->evacuatedDomains.contains(command.domain) == command.evacuated;
        if (this->evacuationRevisions[command.domain] != command.expectedRevision) {
            CommandOutcome outcome;
            outcome.accepted.push_back(inForce);
            return outcome;
        }
    }
    CommandOutcome outcome
        = this->execute(SetEvacuation{.domain = command.domain, .evacuated = command.evacuated});
    outcome.accepted.push_back(true);
    return outcome;
}

CommandOutcome WorkflowState::execute(const AnnounceWorker &command)
{
    const std::lock_guard lock(this->cellMutex);
    CommandOutcome outcome;
    const auto [found, added] = this->knownWorkers.try_emplace(command.worker.id, command.worker);
    outcome.changed = added;
    if (added ? this->restartedAt.contains(command.worker.id)
              : command.worker.incarnation > found->second.incarnation) {
        this->restartedAt[command.worker.id] = this->now;
    }
    // Announcements can arrive out of order; one from an earlier incarnation is ignored.
    const bool late = command.worker.incarnation < found->second.incarnation
        || (command.worker.incarnation == found->second.incarnation
            && command.worker.announcement < found->second.announcement);
    if (!added && !late && found->second != command.worker) {
        found->second = command.worker;
        outcome.changed = true;
    }
    return outcome;
}

CommandOutcome WorkflowState::execute(const ForgetWorker &command)
{
    const std::lock_guard lock(this->cellMutex);
    CommandOutcome outcome;
    const auto found = this->knownWorkers.find(command.id);
    if (found != this->knownWorkers.end() && found->second.incarnation == command.incarnation) {
        this->knownWorkers.erase(found);
        std::erase_if(this->restartedAt, [this](const auto &entry) {
            return !this->knownWorkers.contains(entry.first)
                && entry.second < this->now - removedWorkerRetention;
        });
        this->restartedAt[command.id] = this->now;
        outcome.changed = true;
    }
    return outcome;
}

void WorkflowState::removeExpired(Shard &shard)
{
    const CellTime horizon = this->time() - this->retention;
    while (!shard.ended.empty() && shard.ended.front().first < horizon) {
        shard.workflows.erase(shard.ended.front().second.value);
        shard.ended.pop_front();
    }
}

std::shared_ptr<const RoutingConfig> WorkflowState::config() const
{
    const std::lock_guard lock(this->cellMutex);
    return this->rulesInForce == nullptr ? nullptr : this->rulesInForce->config;
}

std::shared_ptr<const RulesInForce> WorkflowState::rules() const
{
    const std::lock_guard lock(this->cellMutex);
    return this->rulesInForce;
}

std::optional<WorkflowStatus> WorkflowState::status(const WorkflowId &id) const
{
    std::optional<WorkflowStatus> status;
    this->visitWorkflow(id, [&](const WorkflowRecord &workflow) {
        status = WorkflowStatus{
            .phase = workflow.phase, .queue = workflow.queue, .customer = workflow.customer};
    });
    return status;
}

std::size_t WorkflowState::queuedCount(const std::string &queue) const
{
    // Work that was accepted under another name of the queue counts as well.
    std::set<std::string> names{queue};
    if (const std::shared_ptr<const RulesInForce> current = this->rules()) {
        for (const RetiredQueue &retired : current->retiredQueues) {
            const QueueRule *const rule = findQueueOfWork(*current, retired.rule.name);
            if (rule != nullptr && rule->name == queue) {
                names.insert(retired.rule.name);
            }
        }
    }
    std::size_t count = 0;
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const std::string &name : names) {
            const auto found = shard.queued.find(name);
            count += found == shard.queued.end() ? 0 : found->second;
        }
    }
    return count;
}

std::set<FailureDomainId> WorkflowState::evacuated() const
{
    const std::lock_guard lock(this->cellMutex);
    return this->evacuatedDomains;
}

std::uint64_t WorkflowState::evacuationRevision(const FailureDomainId &domain) const
{
    const std::lock_guard lock(this->cellMutex);
    const auto found = this->evacuationRevisions.find(domain);
    return found == this->evacuationRevisions.end() ? 0 : found->second;
}

std::map<InstanceId, WorkerRecord> WorkflowState::workers() const
{
    const std::lock_guard lock(this->cellMutex);
    return this->knownWorkers;
}

std::optional<WorkerRecord> WorkflowState::worker(const InstanceId &id) const
{
    const std::lock_guard lock(this->cellMutex);
    const auto found = this->knownWorkers.find(id);
    return found == this->knownWorkers.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::chrono::milliseconds>
WorkflowState::timeSinceRestart(const InstanceId &id, WorkerIncarnation incarnation) const
{
    const std::lock_guard lock(this->cellMutex);
    const auto worker = this->knownWorkers.find(id);
    const auto restarted = this->restartedAt.find(id);
    if (worker == this->knownWorkers.end() || restarted == this->restartedAt.end()
        || worker->second.incarnation != incarnation) {
        return std::nullopt;
    }
    return this->now - restarted->second;
}

CellTime WorkflowState::time() const
{
    const std::lock_guard lock(this->cellMutex);
    return this->now;
}

void WorkflowState::visitWorkflows(const std::function<void(const WorkflowRecord &)> &visit) const
{
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, workflow] : shard.workflows) {
            visit(workflow);
        }
    }
}

void WorkflowState::visitLiveWorkflows(
    const std::function<void(const WorkflowRecord &)> &visit) const
{
    this->visitWorkflows([&visit](const WorkflowRecord &workflow) {
        if (isLive(workflow.phase)) {
            visit(workflow);
        }
    });
}

void WorkflowState::visitEndedWorkflowsWithRuns(
    const std::function<void(const WorkflowRecord &)> &visit) const
{
    this->visitWorkflows([&visit](const WorkflowRecord &workflow) {
        if (!isLive(workflow.phase) && !workflow.occurrences.empty()) {
            visit(workflow);
        }
    });
}

void WorkflowState::visitWorkflow(const WorkflowId &id,
                                  const std::function<void(const WorkflowRecord &)> &visit) const
{
    const Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.workflows.find(id.value);
    if (found != shard.workflows.end()) {
        visit(found->second);
    }
}

} // namespace gooseberry
