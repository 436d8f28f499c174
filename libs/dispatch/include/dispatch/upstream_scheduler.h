#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <dispatch/adviser_access.h>
#include <dispatch/command_sink.h>
#include <dispatch/customer_ledger.h>
#include <dispatch/dispatch_observer.h>
#include <dispatch/dispatch_settings.h>
#include <dispatch/live_workflow.h>
#include <dispatch/task_placement.h>
#include <dispatch/upstream_worker.h>
#include <dispatch/worker_orders.h>

namespace gooseberry {

/** What a scheduler uses of its process. The references outlive the scheduler. */
struct SchedulerContext
{
    const Clock &clock;
    WorkerOrders &orders;
    AdviserAccess &adviser;
    CommandSink &log;
    std::shared_ptr<CustomerLedger> ledger;
    const WorkflowState &state;
    Schedule schedule;
    DispatchObserver &observer;
};

/** Counters of one scheduler, for metrics. */
struct BoardReadings
{
    std::size_t workers = 0;
    std::size_t workersUsable = 0;
    std::size_t workflows = 0;
    std::size_t runs = 0;
    std::size_t tasksWaiting = 0;
    Resources capacity;
    Resources reserved;
    std::size_t openQuestions = 0;
};

/**
 * The workers and the live workflows of one upstream, for one term of leadership. Every entry point
 * takes the scheduler's lock, decides, and sends what follows after it has released the lock.
 */
class UpstreamScheduler : public std::enable_shared_from_this<UpstreamScheduler>
{
public:
    UpstreamScheduler(std::string initialUpstream, Term initialTerm,
                      DispatchSettings initialSettings, SchedulerContext initialContext);

    /** Takes over what the log knows. Called before any other entry point. */
    void recoverWorker(const WorkerRecord &worker);
    void recoverWorkflow(const WorkflowRecord &workflow);
    /** Begins to work, after everything was recovered. */
    void begin();
    /** Ends the scheduler's work; later callbacks have no effect. */
    void close();

    void addWorkflow(const WorkflowRecord &workflow);
    /** Stops the runs of a workflow that was cancelled or has failed. */
    void stopWorkflow(const WorkflowId &id);

    /** A worker has announced itself, or has announced something else than before. */
    void workerChanged(const WorkerRecord &worker);
    /** A heartbeat arrived. Clock is the worker's time when it was sent. */
    void workerHeard(const InstanceId &id, WorkerLife life, std::optional<WorkerTime> clock);
    /** The worker has left for good; whatever ran on it has ended. */
    void workerLeft(const InstanceId &id, WorkerLife life);
    /** Something that placement depends on has changed: configuration or failure domains. */
    void configurationChanged();

    BoardReadings readings() const;

private:
    using Effects = std::vector<std::function<void()>>;
    using Operation = std::function<void(Effects &)>;

    /** Runs the entry under the lock and its effects after it. */
    void runLocked(const Operation &operation);
    void runLater(Duration delay, const Operation &operation);
    void tick();
    BoardReadings statsLocked() const;
    void logSummary();

    // upstream_board.cpp: workflows and tasks.
    LiveWorkflow &createWorkflow(const WorkflowRecord &workflow);
    void beginOccurrences(LiveWorkflow &workflow, Effects &effects);
    LiveOccurrence newOccurrence(const LiveWorkflow &workflow) const;
    static void updateReady(LiveWorkflow &workflow, LiveOccurrence &occurrence);
    LiveTask *findTask(const TaskKey &key, LiveWorkflow **workflow = nullptr,
                       LiveStep **step = nullptr);
    /** Forgets ended workflows whose last run was released. */
    void eraseFinishedWorkflows();

    // board_workers.cpp: what workers say.
    void renewLeaseIfNeeded(UpstreamWorker &worker, Effects &effects);
    void onLeaseRenewalReply(const InstanceId &id, WorkerLife life, SteadyTime sentAt,
                             const Result<HoldReply> &result, Effects &effects);
    void recordClock(UpstreamWorker &worker, WorkerTime clock, SteadyTime at);
    void beginIncarnation(UpstreamWorker &worker, const WorkerRecord &record, Effects &effects);
    /** Returns whether the run is one that this scheduler keeps. */
    bool recordReportedRun(UpstreamWorker &worker, const RunningEntry &entry);
    /** Counts and stops the reported runs that this scheduler does not keep. */
    void stopOrphanedRuns(UpstreamWorker &worker, const std::vector<RunningEntry> &entries,
                          Effects &effects);
    void clearOrphanedRuns(UpstreamWorker &worker);
    void processEndedRuns(UpstreamWorker &worker, const std::vector<EndedEntry> &ends,
                          Effects &effects);
    void releaseUnreportedRuns(UpstreamWorker &worker, const HoldReply &reply, SteadyTime sentAt,
                               Effects &effects);
    void handleExpiredLeases(Effects &effects);
    void storeEnds(const InstanceId &id, WorkerLife life, std::vector<std::uint64_t> numbers,
                   EndRuns command, Effects &effects);
    void onEndsStored(const InstanceId &id, WorkerLife life,
                      const std::vector<std::uint64_t> &numbers, const EndRuns &command,
                      const Result<CommandOutcome> &result, Effects &effects);

    // board_runs.cpp: runs and orders.
    void propose(std::vector<RunAssignment> runs, Effects &effects);
    void onAssignmentsStored(const std::vector<RunAssignment> &runs,
                             const Result<CommandOutcome> &result, Effects &effects);
    void sendStart(const TaskKey &key, LiveTask &task, Effects &effects);
    void onStartReply(const TaskKey &key, RunNumber run, const InstanceId &id,
                      const Result<StartReply> &result, Effects &effects);
    void requestStop(const TaskKey &key, LiveRun &run, Effects &effects);
    void onStopReply(const TaskKey &key, RunNumber run, const InstanceId &id, const Status &status,
                     Effects &effects);
    /** The run certainly does not run and never will; the task can run again. */
    void releaseRun(const TaskKey &key, Effects &effects);
    void stopGang(const TaskKey &key, RunNumber run, Effects &effects);
    /** The run has ended as done, and with it the task or the whole gang. */
    void completeTask(const TaskKey &key, RunNumber run, Effects &effects);
    void avoid(UpstreamWorker &worker, Duration time, const char *reason);
    void recordWorkerFailure(UpstreamWorker &worker, const TaskKey &key);

    // board_placement.cpp: what goes where.
    struct ReadyStep;
    void schedulePlacement(Effects &effects);
    void runPlacementPass(Effects &effects);
    struct PlacementPass;
    std::vector<ReadyStep> readySteps(SteadyTime now);
    PlacementPass beginPlacementPass(SteadyTime now);
    bool isUsable(const UpstreamWorker &worker, SteadyTime now) const;
    bool isCapable(const UpstreamWorker &worker, const StepSpec &spec) const;
    std::size_t placeStep(ReadyStep &readyStep, PlacementPass &pass);
    std::vector<PlacementCandidate> placementCandidates(const ReadyStep &readyStep,
                                                        const PlacementPass &pass) const;
    void requestAdvice(ReadyStep &readyStep, const PlacementPass &pass, Effects &effects);
    std::vector<std::size_t> workersToQuery(const ReadyStep &readyStep,
                                            const PlacementPass &pass) const;
    void onAdviceReply(const AdviceRequest &request, const Result<AdviceReply> &result,
                       Effects &effects);
    void updateAllowedShare(const WorkflowId &id, std::size_t queried, std::size_t allowed);
    void reserve(UpstreamWorker &worker, const TaskKey &key, const StepSpec &spec,
                 RunNumber run) const;

    const std::string upstream;
    const Term term;
    const DispatchSettings settings;
    const SchedulerContext context;

    mutable std::mutex mutex; ///< Guards the members below.
    bool closed = false;
    bool placementScheduled = false;
    SteadyTime lastPlacement;
    std::uint32_t lastSlotNumber = 0;
    SteadyTime nextSummary;
    /** Questions to the adviser that are under way. */
    std::size_t openQuestions = 0;
    /** By queue: which share of the workers asked about the adviser allows. */
    std::map<std::string, double> allowedShare;
    std::map<InstanceId, UpstreamWorker> workers;
    std::map<WorkflowId, LiveWorkflow> workflows;
    /** Ended workflows with a run released lately; dropped when no entry point uses them. */
    std::set<WorkflowId> possiblyFinished;
    std::set<FailureDomainId> evacuatedDomains;
    std::shared_ptr<const RoutingConfig> config;
};

/** Returns what a task of the step takes of a worker's capacity. */
Resources footprint(const StepSpec &spec);

} // namespace gooseberry
