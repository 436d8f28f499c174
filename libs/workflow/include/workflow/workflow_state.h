#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include <workflow/command.h>
#include <workflow/occurrence_set.h>
#include <workflow/rules_in_force.h>

namespace gooseberry {

enum class WorkflowPhase : std::uint8_t {
    Queued, ///< Accepted; no worker is known to have begun a task.
    Running, ///< A worker has begun a task.
    Completed,
    Failed,
    Cancelled,
};

/** Returns whether the workflow has not ended. */
bool isLive(WorkflowPhase phase);

enum class StoredTaskPhase : std::uint8_t {
    Waiting,
    Assigned,
    Done,
};

/** The replicated state of one task. */
struct StoredTask
{
    StoredTaskPhase phase = StoredTaskPhase::Waiting;
    RunNumber run;
    InstanceId worker;
    WorkerIncarnation incarnation;
    std::uint32_t failures = 0;
    std::string checkpoint;
};

/** The replicated state of one step of one occurrence. */
struct StepState
{
    std::vector<StoredTask> tasks;
    std::uint32_t done = 0;
    /** Failed runs of a gang; several failed members of one run count once. */
    std::uint32_t gangFailures = 0;
    RunNumber lastFailedRun;
};

using OccurrenceState = std::vector<StepState>;

/** Returns whether all tasks of the occurrence are done. */
bool isDone(const OccurrenceState &occurrence);

/** A workflow with the state of its tasks. */
struct WorkflowRecord
{
    WorkflowId id;
    std::string queue;
    std::string upstream;
    CustomerId customer;
    std::uint32_t attempts = 1;
    CellTime acceptedAt;
    WorkflowPhase phase = WorkflowPhase::Queued;
    CellTime endedAt;
    std::shared_ptr<const WorkflowSpec> spec;
    /**
     * By occurrence number. An occurrence without an entry has not started or has ended. Those with
     * assigned tasks are kept when the workflow is cancelled or fails: its runs may go on until a
     * worker has stopped them.
     */
    std::map<std::uint32_t, OccurrenceState> occurrences;
    OccurrenceSet endedOccurrences;
    std::uint32_t occurrencesDone = 0;
};

/** The result of applying a command. */
struct CommandOutcome
{
    /** Whether the command changed anything. */
    bool changed = false;
    /** For AcceptWorkflow and CancelWorkflow: whether the workflow is known. */
    bool known = false;
    /**
     * For AssignRuns and EndRuns: one entry for each run or end of the command. For
     * OrderEvacuation: one entry, whether what it orders is in force.
     */
    std::vector<bool> accepted;
    /** Workflows that this command ended. */
    std::vector<std::pair<WorkflowId, WorkflowPhase>> ended;
};

struct WorkflowStatus
{
    WorkflowPhase phase = WorkflowPhase::Queued;
    std::string queue;
    CustomerId customer;
};

/**
 * The replicated state of the cell. apply() is deterministic and is called by one thread at a time;
 * queries may run on other threads meanwhile. Workflows are in shards, each under its own lock.
 */
class WorkflowState
{
public:
    /** Ended workflows are kept for this time, to answer status reads and retried submissions. */
    explicit WorkflowState(std::chrono::milliseconds initialRetention);

    CommandOutcome apply(const ProposedCommand &proposed);

    /** Returns the active configuration, or null before the first one. */
    std::shared_ptr<const RoutingConfig> config() const;
    /** Returns the rules for accepted work, or null before the first configuration. */
    std::shared_ptr<const RulesInForce> rules() const;
    std::optional<WorkflowStatus> status(const WorkflowId &id) const;
    /**
     * Returns the number of accepted workflows of which no worker is known to have begun a task and
     * for which the rule of the named queue applies.
     */
    std::size_t queuedCount(const std::string &queue) const;
    std::set<FailureDomainId> evacuated() const;
    /** Returns the number of orders for the domain's evacuation that were applied. */
    std::uint64_t evacuationRevision(const FailureDomainId &domain) const;
    std::map<InstanceId, WorkerRecord> workers() const;
    std::optional<WorkerRecord> worker(const InstanceId &id) const;
    /**
     * Returns how long ago, at least, this incarnation of the worker was announced in place of
     * another one under the same id. Not set if no other one is known.
     */
    std::optional<std::chrono::milliseconds> timeSinceRestart(const InstanceId &id,
                                                              WorkerIncarnation incarnation) const;
    /** Returns the highest time of the commands applied so far. */
    CellTime time() const;
    /** Calls visit for every workflow that has not ended, under its shard's lock. */
    void visitLiveWorkflows(const std::function<void(const WorkflowRecord &)> &visit) const;
    /** The same for every workflow that has ended and may still have runs. */
    void
    visitEndedWorkflowsWithRuns(const std::function<void(const WorkflowRecord &)> &visit) const;
    /** Calls visit for the workflow, if it is known, under its shard's lock. */
    void visitWorkflow(const WorkflowId &id,
                       const std::function<void(const WorkflowRecord &)> &visit) const;

    std::string snapshot() const;
    Status restore(const std::string &bytes);

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, WorkflowRecord> workflows;
        std::map<std::string, std::size_t> queued;
        std::deque<std::pair<CellTime, WorkflowId>> ended;
    };
    static constexpr std::size_t shardCount = 8;

    CommandOutcome execute(const PutConfig &command);
    CommandOutcome execute(const AcceptWorkflow &command);
    CommandOutcome execute(const AssignRuns &command);
    CommandOutcome execute(const EndRuns &command);
    CommandOutcome execute(const CancelWorkflow &command);
    CommandOutcome execute(const SetEvacuation &command);
    CommandOutcome execute(const OrderEvacuation &command);
    CommandOutcome execute(const AnnounceWorker &command);
    CommandOutcome execute(const ForgetWorker &command);
    CommandOutcome execute(const RecordStarts &command);

    NamesInUse namesInUse() const;
    Shard &shardOf(const WorkflowId &id);
    const Shard &shardOf(const WorkflowId &id) const;
    static bool assign(Shard &shard, const RunAssignment &assignment);
    /** Notes that a worker has begun a task. Returns whether that was not known before. */
    static bool recordStart(Shard &shard, WorkflowRecord &workflow);
    /** Returns whether the end was accepted. */
    bool applyEnd(Shard &shard, const RunEnd &end, CommandOutcome &outcome);
    /** Returns whether the step is complete. */
    bool applyDone(WorkflowRecord &workflow, StepState &step, const StepSpec &spec,
                   const RunEnd &end);
    /** Returns whether the workflow has used up its attempts. */
    bool applyFailure(WorkflowRecord &workflow, StepState &step, const StepSpec &spec,
                      const RunEnd &end);
    void endWorkflow(Shard &shard, WorkflowRecord &workflow, WorkflowPhase phase,
                     CommandOutcome &outcome);
    void visitWorkflows(const std::function<void(const WorkflowRecord &)> &visit) const;
    /** Removes workflows that ended longer ago than the retention time. */
    void removeExpired(Shard &shard);

    const std::chrono::milliseconds retention;
    std::array<Shard, shardCount> shards;

    mutable std::mutex cellMutex; ///< Guards the members below.
    std::shared_ptr<const RulesInForce> rulesInForce;
    std::set<FailureDomainId> evacuatedDomains;
    std::map<FailureDomainId, std::uint64_t> evacuationRevisions;
    std::map<InstanceId, WorkerRecord> knownWorkers;
    /**
     * When the known incarnation of a worker took the place of another one under its id, and when
     * workers were removed that may return under their ids.
     */
    std::map<InstanceId, CellTime> restartedAt;
    CellTime now;
};

} // namespace gooseberry
