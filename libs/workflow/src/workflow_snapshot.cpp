// Snapshots of the replicated workflow state.

#include <algorithm>

#include <workflow/records.h>
#include <workflow/workflow_state.h>

namespace gooseberry {

namespace {

/** In earlier snapshots a workflow was running from its first assignment on. */
constexpr std::uint32_t firstVersionWithStarts = 3;

bool provesStart(const StoredTask &task)
{
    // A task waits again only after an end of its run was stored.
    return task.phase == StoredTaskPhase::Done || task.failures > 0
        || (task.phase == StoredTaskPhase::Waiting && task.run > RunNumber{});
}

/** Returns whether the stored state of the workflow shows that a worker has begun a task. */
bool provesStart(const WorkflowRecord &workflow)
{
    if (workflow.occurrencesDone > 0) {
        return true;
    }
    for (const auto &[number, occurrence] : workflow.occurrences) {
        for (const StepState &step : occurrence) {
            if (step.gangFailures > 0
                || std::any_of(step.tasks.begin(), step.tasks.end(),
                               [](const StoredTask &task) { return provesStart(task); })) {
                return true;
            }
        }
    }
    return false;
}

/** Keeps only the numbers of ended occurrences, which earlier snapshots hold whole. */
void removeEndedOccurrences(WorkflowRecord &workflow)
{
    for (auto entry = workflow.occurrences.begin(); entry != workflow.occurrences.end();) {
        if (isDone(entry->second)) {
            workflow.endedOccurrences.insert(entry->first);
            entry = workflow.occurrences.erase(entry);
        } else {
            ++entry;
        }
    }
}

} // namespace

std::string WorkflowState::snapshot() const
{
    StoredState stored;
    {
        const std::lock_guard lock(this->cellMutex);
        stored.now = this->now;
        stored.evacuated = this->evacuatedDomains;
        stored.evacuationRevisions = this->evacuationRevisions;
        stored.restartedAt = this->restartedAt;
        stored.workers = this->knownWorkers;
        if (this->rulesInForce != nullptr) {
            stored.config = *this->rulesInForce->config;
            stored.retiredQueues = this->rulesInForce->retiredQueues;
            stored.retiredCustomers = this->rulesInForce->retiredCustomers;
        }
    }
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, workflow] : shard.workflows) {
            stored.workflows.push_back(StoredWorkflow{.record = workflow, .spec = *workflow.spec});
            if (!workflow.endedOccurrences.ranges.empty()) {
                stored.endedOccurrences.emplace(workflow.id, workflow.endedOccurrences);
            }
        }
    }
    // Sorted, so that equal states give equal bytes on all replicas.
    std::sort(stored.workflows.begin(), stored.workflows.end(),
              [](const StoredWorkflow &left, const StoredWorkflow &right) {
                  return left.record.id < right.record.id;
              });
    return encodeRecord(stored);
}

Status WorkflowState::restore(const std::string &bytes)
{
    Result<StoredState> decoded = decodeRecord<StoredState>(bytes);
    if (!ok(decoded)) {
        return errorOf(decoded);
    }
    StoredState &stored = valueOf(decoded);
    {
        const std::lock_guard lock(this->cellMutex);
        this->now = stored.now;
        this->evacuatedDomains = std::move(stored.evacuated);
        this->evacuationRevisions = std::move(stored.evacuationRevisions);
        this->restartedAt = std::move(stored.restartedAt);
        this->knownWorkers = std::move(stored.workers);
        this->rulesInForce = nullptr;
        if (stored.config) {
            this->rulesInForce = std::make_shared<const RulesInForce>(RulesInForce{
                .config = std::make_shared<const RoutingConfig>(std::move(*stored.config)),
                .retiredQueues = std::move(stored.retiredQueues),
                .retiredCustomers = std::move(stored.retiredCustomers)});
        }
    }
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        shard.workflows.clear();
        shard.queued.clear();
        shard.ended.clear();
    }
    std::sort(stored.workflows.begin(), stored.workflows.end(),
              [](const StoredWorkflow &left, const StoredWorkflow &right) {
                  return left.record.endedAt < right.record.endedAt;
              });
    for (StoredWorkflow &workflow : stored.workflows) {
        Shard &shard = this->shardOf(workflow.record.id);
        const std::lock_guard lock(shard.mutex);
        if (stored.version < firstVersionWithStarts
            && workflow.record.phase == WorkflowPhase::Running && !provesStart(workflow.record)) {
            workflow.record.phase = WorkflowPhase::Queued;
        }
        const auto ended = stored.endedOccurrences.find(workflow.record.id);
        if (ended != stored.endedOccurrences.end()) {
            workflow.record.endedOccurrences = ended->second;
        }
        removeEndedOccurrences(workflow.record);
        workflow.record.spec = std::make_shared<const WorkflowSpec>(std::move(workflow.spec));
        if (!isLive(workflow.record.phase)) {
            shard.ended.emplace_back(workflow.record.endedAt, workflow.record.id);
        } else if (workflow.record.phase == WorkflowPhase::Queued) {
            ++shard.queued[workflow.record.queue];
        }
        shard.workflows.emplace(workflow.record.id.value, std::move(workflow.record));
    }
    return Done{};
}

} // namespace gooseberry
