#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <dispatch/adviser_access.h>
#include <dispatch/command_sink.h>
#include <dispatch/customer_ledger.h>
#include <dispatch/dispatch_observer.h>
#include <dispatch/dispatch_settings.h>
#include <dispatch/live_workflow.h>
#include <dispatch/occurrence_load.h>
#include <dispatch/run_evidence.h>
#include <dispatch/task_placement.h>
#include <dispatch/upstream_worker.h>
#include <dispatch/worker_orders.h>
#include <policy/policy.h>

namespace gooseberry {

/** The services of the process that a scheduler uses. The references must outlive the scheduler. */
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

/** Gauges of one upstream, for metrics. */
struct UpstreamStats
{
    std::size_t workers = 0;
    std::size_t workersUsable = 0;
    std::size_t workflows = 0;
    /** Workflows that have runs, none of which a worker has confirmed. */
    std::size_t workflowsUnconfirmed = 0;
    std::size_t runs = 0;
    std::size_t tasksWaiting = 0;
    Resources capacity;
    Resources reserved;
    std::size_t pendingAdviceRequests = 0;
};

/**
 * Schedules the live workflows of one upstream on its workers, for one term of leadership. Every
 * public method takes the scheduler's lock, updates the state, and sends orders, commands and
 * requests only after the lock is released. Thread-safe.
 */
class UpstreamScheduler : public std::enable_shared_from_this<UpstreamScheduler>
{
public:
    UpstreamScheduler(std::string initialUpstream, Term initialTerm,
                      DispatchSettings initialSettings, SchedulerContext initialContext);

    /** Restore a worker or a workflow from the replicated state. Called before begin(). */
    void recoverWorker(const WorkerRecord &worker);
    void recoverWorkflow(const WorkflowRecord &workflow);
    /** Starts scheduling, after everything was recovered. */
    void begin();
    /** Stops scheduling for good; callbacks that arrive later have no effect. */
    void close();

    void addWorkflow(const WorkflowRecord &workflow);
    /** Stops the runs of a workflow that was cancelled or has ended. */
    void stopWorkflow(const WorkflowId &id);

    /** A worker has announced itself for the first time or with changed properties. */
    void workerChanged(const WorkerRecord &worker);
    /** A heartbeat arrived. Clock is the worker's time when it was sent. */
    void heartbeatReceived(const InstanceId &id, WorkerIncarnation incarnation,
                           std::optional<WorkerTime> clock);
    /**
     * The worker has deregistered. It may go on for seconds, so its runs are stopped, and a task
     * runs again only once the worker has reported the end of its run or its lease has ended.
     */
    void workerLeft(const InstanceId &id, WorkerIncarnation incarnation);
    /**
     * Reloads the configuration and the evacuated failure domains, and schedules a placement pass.
     */
    void configurationChanged();

    UpstreamStats stats() const;

private:
    /** What must be known of a removed worker if it returns under its id. */
    struct RemovedWorker
    {
        std::uint32_t restarts = 0;
        SteadyTime removedAt;
    };

    using Effects = std::vector<std::function<void()>>;
    using Operation = std::function<void(Effects &)>;

    /**
     * Runs the operation under the lock, and the effects that it collects after releasing the lock.
     */
    void runLocked(const Operation &operation);
    void runLater(Duration delay, const Operation &operation);
    /** Marks recovered workers at whose address a later one was announced. */
    void markReplacedWorkers();
    /** Stops the runs of workflows that ended under an earlier leader. */
    void stopEndedWorkflows();
    /** Checks leases and due occurrences; repeats itself until the scheduler is closed. */
    void tick();
    UpstreamStats statsLocked() const;
    void logSummary();

    // upstream_scheduler.cpp: workflows and tasks.
    LiveWorkflow &createWorkflow(const WorkflowRecord &workflow);
    void recoverOccurrence(LiveWorkflow &workflow, std::uint32_t number,
                           const OccurrenceState &stored);
    /** Adds a run that an earlier leader has stored and that may be executing. */
    void recoverRun(LiveWorkflow &workflow, const TaskKey &key, const StoredTask &stored);
    LiveOccurrence newOccurrence(const LiveWorkflow &workflow) const;

    // upstream_scheduler_occurrences.cpp: occurrences of workflows with a timetable.
    /** Begins occurrences of all workflows. */
    void beginAllOccurrences(Effects &effects);
    /** Begins the occurrences of the workflow that are due, as many as may be live. */
    void beginOccurrences(LiveWorkflow &workflow, Effects &effects);
    /** Removes the occurrences of the workflow whose tasks are done and whose runs are released. */
    static void eraseEndedOccurrences(LiveWorkflow &workflow);

    // upstream_scheduler.cpp: workflows and tasks.
    /** Marks the steps whose dependencies are done. */
    static void updateReady(LiveWorkflow &workflow, LiveOccurrence &occurrence);
    LiveTask *findTask(const TaskKey &key, LiveWorkflow **workflow = nullptr,
                       LiveStep **step = nullptr);
    /** Sets the rules of the workflow's queue and customer from the configuration in force. */
    void findRules(LiveWorkflow &workflow) const;
    /** Removes ended workflows whose last run was released. */
    void eraseFinishedWorkflows();

    // upstream_scheduler_workers.cpp: heartbeats, lease renewal and reports of workers.
    /** Sends a lease renewal unless one is pending, none is needed, or contact is lost. */
    void renewLeaseIfNeeded(UpstreamWorker &worker, Effects &effects);
    /**
     * Returns how long the worker may wait for an end before it answers a renewal. A renewal ends
     * when a held run can't start any more, so that the next one is requested after that.
     */
    std::chrono::milliseconds renewalWaitOf(const UpstreamWorker &worker);
    void onLeaseRenewalReply(const SentRenewal &sent, const Result<LeaseRenewalReply> &result,
                             Effects &effects);
    void recordClock(UpstreamWorker &worker, WorkerTime clock, SteadyTime at);
    /** Sets up a worker that an earlier leader may have given a lease. */
    void recoverWorker(UpstreamWorker &worker, const WorkerRecord &record);
    /**
     * Returns the worker that the run is stored for. If it is no longer in the replicated state, it
     * has left, and an entry is added that holds the run until the worker's lease has ended.
     */
    UpstreamWorker &recoveredWorker(const StoredTask &run);
    /** Returns the time until which a start that an earlier leader sent may be carried out. */
    SteadyTime recoveredStartArrival(const LiveWorkflow &workflow) const;
    /**
     * Releases all runs of a worker at whose address another one answers. That one refuses all
     * orders to this worker, so nothing of it executes or can begin any more.
     */
    void releaseReplacedWorker(UpstreamWorker &worker, Effects &effects);
    /** Updates the run from the worker's report. Returns false if the scheduler has no such run. */
    bool recordReportedRun(UpstreamWorker &worker, const RunningEntry &entry);
    /**
     * Reserves the capacity of reported runs that the scheduler has no record of, and stops them.
     */
    void stopOrphanedRuns(UpstreamWorker &worker, const std::vector<RunningEntry> &entries,
                          Effects &effects);
    void clearOrphanedRuns(UpstreamWorker &worker);
    /** Records that steps without room may fit on the worker now. */
    void recordRoomGained(UpstreamWorker &worker);
    void processEndedRuns(UpstreamWorker &worker, const std::vector<EndedEntry> &ends,
                          Effects &effects);

    // upstream_scheduler_restarts.cpp: restarts of workers.
    /**
     * Notes that the worker's incarnation may have carried out, or may still carry out, an order to
     * an earlier one.
     */
    void expectEarlierOrders(UpstreamWorker &worker) const;
    /** Resets the worker for a new incarnation and releases runs that ended with the old one. */
    void beginIncarnation(UpstreamWorker &worker, const WorkerRecord &record, Effects &effects);
    /**
     * Takes what the clock in the answer to a start tells of the worker's incarnation and of its
     * lease. Returns whether another incarnation may have answered.
     */
    bool recordStartClock(UpstreamWorker &worker, const SentStart &sent, const StartReply &reply,
                          Effects &effects);
    /**
     * Asks the worker for its incarnation, as one that the leader has not heard of may have
     * answered. The worker gets no tasks until it has answered.
     */
    void expectRestart(UpstreamWorker &worker, Effects &effects);
    /**
     * Notes that the worker refuses the orders that its earlier incarnations got, and those of
     * earlier leaders.
     */
    void confirmFence(UpstreamWorker &worker);

    // upstream_scheduler_release.cpp: proof that runs are over.
    /** Returns what is known of the run, for isOver(). */
    RunEvidence evidenceOf(const LiveRun &run) const;
    /**
     * Takes note that the worker's present incarnation neither executes the run nor will start it,
     * and releases the run once no later incarnation can start it either.
     */
    void releaseAbsentRun(const TaskKey &key, const char *reason, Effects &effects);
    /** Releases the run and stops the other members of its gang if the run is over. */
    bool releaseIfOver(const TaskKey &key, const char *reason, Effects &effects);
    /** Releases absent runs whose delayed starts can't be carried out any more. */
    void releaseHeldRuns(Effects &effects);
    /** Releases runs that are absent from the report and can no longer start. */
    void releaseUnreportedRuns(UpstreamWorker &worker, const LeaseRenewalReply &reply,
                               SteadyTime sentAt, Effects &effects);
    /**
     * Returns whether this leader may send the start of a run that an earlier leader has stored,
     * and that the worker doesn't list. If the earlier leader has sent it as well, the worker's
     * next incarnation might carry that out while the task runs elsewhere.
     */
    bool maySendRecoveredStart(const TaskKey &key, const UpstreamWorker &worker);
    /** Releases the worker's runs if it is replaced or every lease that it may hold has expired. */
    void releaseRunsOfExpiredLeases(UpstreamWorker &worker, Effects &effects);
    /** Releases runs whose lease has expired, removes lost workers and repeats stops. */
    void handleExpiredLeases(Effects &effects);
    void removeWorker(const InstanceId &id, Effects &effects);
    void storeEnds(const InstanceId &id, WorkerIncarnation incarnation,
                   std::vector<std::uint64_t> numbers, EndRuns command, Effects &effects);
    void onEndsStored(const InstanceId &id, WorkerIncarnation incarnation,
                      const std::vector<std::uint64_t> &numbers, const EndRuns &command,
                      const Result<CommandOutcome> &result, Effects &effects);

    // upstream_scheduler_starts.cpp: proof that workflows have begun.
    /** Notes that a worker has begun a task of the workflow, and has that stored soon. */
    void confirmStart(LiveWorkflow &workflow);
    /** Schedules storeStarts(), unless that was done. */
    void storeStartsAfter(std::chrono::milliseconds delay);
    /** Proposes a record of the confirmed starts that the replicated state lacks. */
    void storeStarts(Effects &effects);
    /** Keeps the starts for another command. */
    void onStartsNotStored(const RecordStarts &command, const Error &error);

    // upstream_scheduler_runs.cpp: assignments, starts and stops of runs.
    void proposeAssignments(std::vector<RunAssignment> runs, Effects &effects);
    /** Sends the starts of stored assignments and releases the others. */
    void onAssignmentsStored(const std::vector<RunAssignment> &runs,
                             const Result<CommandOutcome> &result, Effects &effects);
    void sendStart(const TaskKey &key, LiveTask &task, Effects &effects);
    /** Returns whether a start that got no answer is sent to the same worker again. */
    bool mayRepeatStart(const LiveRun &run, const UpstreamWorker &worker,
                        const StepSpec &spec) const;
    void onStartUnanswered(const TaskKey &key, LiveTask &task, UpstreamWorker &worker,
                           const Error &error, Effects &effects);
    void onStartRefused(const TaskKey &key, const Result<StartReply> &result,
                        UpstreamWorker &worker, Effects &effects);
    void onStartReply(const SentStart &sent, const Result<StartReply> &result, Effects &effects);
    /** The worker has begun the run, or another incarnation of it than the start was meant for. */
    void onStarted(const SentStart &sent, LiveRun &run, bool restarted) const;
    /**
     * Marks the run for stopping, and sends a stop unless one is pending, the assignment is still
     * being stored, or the run is ending.
     */
    void requestStop(const TaskKey &key, LiveRun &run, Effects &effects);
    /** The answer of an incarnation that has ended says nothing of the present one. */
    void onStopReply(const StopOrder &order, const WorkerRef &recipient, const Status &status,
                     Effects &effects);
    /**
     * Removes a run that neither executes nor can start any more, so that its task can run again.
     */
    void releaseRun(const TaskKey &key, Effects &effects);
    /** Requests stops of the other members of the gang, since a gang runs whole or not at all. */
    void stopGang(const TaskKey &key, RunNumber run, Effects &effects);
    /** Marks the task, or all tasks of its gang, as done after the run has succeeded. */
    void completeTask(const TaskKey &key, RunNumber run, Effects &effects);
    /** Records that an order to the worker has failed and returns where the failure lies. */
    OrderFailure recordOrderFailure(const UpstreamWorker &worker, const Error &error);
    /** Places no tasks on the worker for this time. */
    void avoidWorker(UpstreamWorker &worker, Duration time, const char *reason);
    void recordWorkerFailure(UpstreamWorker &worker, const TaskKey &key);

    // upstream_scheduler_placement.cpp: task placement and requests to the adviser.
    struct ReadyStep;
    struct PlacementPass;
    struct UsableWorker;
    /** Schedules a placement pass, at the earliest one placement interval after the last. */
    void schedulePlacement(Effects &effects);
    void runPlacementPass(Effects &effects);
    /** Places tasks of the step and asks the adviser for it, as far as the pass allows. */
    void visitStep(ReadyStep &readyStep, PlacementPass &pass, Effects &effects);
    /**
     * Returns the steps with waiting tasks that do not merely wait for the adviser, in scheduling
     * order.
     */
    std::vector<ReadyStep> readySteps(const PlacementPass &pass);
    PlacementPass beginPlacementPass(SteadyTime now);
    /** Adds a step to the list unless there is nothing to do for it in this pass. */
    void addReadyStep(LiveWorkflow &workflow, std::uint32_t occurrence, std::uint32_t stepNumber,
                      const PlacementPass &pass, std::vector<ReadyStep> &steps) const;
    /** Returns when a usable worker on which the step may run last gained room. */
    RoomVersion newestRoom(const LiveStep &step, const PlacementPass &pass) const;
    /** Returns whether the worker can get new tasks now. */
    bool isUsable(const UpstreamWorker &worker, SteadyTime now) const;
    /**
     * Calls visit(slot, free) for each usable worker on which the step may run now, until it
     * returns false.
     */
    template<typename Visitor>
    void visitPlaces(const ReadyStep &readyStep, const PlacementPass &pass,
                     const Visitor &visit) const;
    /**
     * Returns whether a task of the step, or the whole gang, may fit. Costs less than an attempt,
     * and never denies room that an attempt would find.
     */
    bool hasRoom(const ReadyStep &readyStep, std::uint32_t count, const PlacementPass &pass) const;
    /** Returns whether an empty worker could run a task of the step. */
    bool isCapable(const UpstreamWorker &worker, const StepSpec &spec) const;
    /** Places as many waiting tasks of the step as fit; returns their number. */
    std::size_t placeStep(ReadyStep &readyStep, PlacementPass &pass);
    /** Assigns a waiting task of the step to the worker. */
    void assignTask(ReadyStep &readyStep, std::uint32_t index, RunNumber run, UsableWorker &usable,
                    PlacementPass &pass);
    void logPlacement(const ReadyStep &readyStep, std::size_t placed, RunNumber run,
                      SteadyTime now) const;
    std::vector<PlacementCandidate> placementCandidates(const ReadyStep &readyStep,
                                                        const PlacementPass &pass) const;
    /** Reloads the configuration and the evacuated failure domains. */
    void loadConfiguration();
    /**
     * Requests tickets for further workers, or renews expired ones, if the step needs them. Returns
     * whether it has sent a request.
     */
    bool requestAdvice(ReadyStep &readyStep, PlacementPass &pass, Effects &effects);
    /** Sorts the usable workers, those with the most free CPU first, unless that was done. */
    static void sortByFreeCpu(PlacementPass &pass);
    /** Returns the slots of the workers to list in the next request to the adviser. */
    std::vector<std::size_t> workersToQuery(const ReadyStep &readyStep, PlacementPass &pass);
    void onAdviceReply(const AdviceRequest &request, std::chrono::microseconds cost,
                       const Result<AdviceReply> &result, Effects &effects);
    /** Returns the unanswered requests of this priority and of all more urgent ones. */
    AdviceBacklog adviceBacklogUpTo(std::uint32_t priority) const;
    void updateAllowedShare(const WorkflowId &id, std::size_t queried, std::size_t allowed);
    void reserve(UpstreamWorker &worker, const TaskKey &key, const StepSpec &spec,
                 RunNumber run) const;

    const std::string upstream;
    const Term term;
    const DispatchSettings settings;
    const SchedulerContext context;
    const SteadyTime termBegan;

    mutable std::mutex mutex; ///< Guards the members below.
    bool closed = false;
    bool placementScheduled = false;
    SteadyTime lastPlacement;
    std::uint32_t lastSlotNumber = 0;
    /** When the scheduled placement pass is due. */
    SteadyTime placementDueAt;
    /** Smoothed time by which placement passes begin late, as the work before them takes it. */
    Duration lateness{};
    /** The number of the latest event by which a worker has gained room. */
    RoomVersion lastRoomGain = 0;
    std::uint32_t ticks = 0;
    SteadyTime nextSummary;
    /** What the scheduler has done since the last summary in the log. */
    struct Activity
    {
        std::size_t passes = 0;
        Duration passTime{};
        /** The longest time by which a pass began late. */
        Duration maxLateness{};
        std::size_t placedTasks = 0;
        std::size_t placedLateTasks = 0;
        std::size_t adviceRequests = 0;
    };
    Activity activity;
    /** Requests to the adviser that are not answered yet, by their priority. */
    std::map<std::uint32_t, AdviceBacklog> adviceBacklog;
    /** Where the search for candidates begins among the workers with much free CPU. */
    std::size_t firstCandidate = 0;
    /**
     * For each queue, the running mean of the fraction of listed workers that the adviser allows.
     */
    std::map<std::string, double> allowedShare;
    /** The live occurrences of all workflows with a timetable, as of the last tick. */
    OccurrenceLoad occurrenceLoad;
    /** Workflows with a confirmed start that is not proposed yet. */
    std::vector<WorkflowId> unstoredStarts;
    bool startStorageScheduled = false;
    /** Workers with a failed order, and when the last one failed; older entries are removed. */
    std::map<InstanceId, SteadyTime> recentOrderFailures;
    std::map<InstanceId, UpstreamWorker> workers;
    /** Absent runs that a delayed start may still begin in a later incarnation of the worker. */
    std::set<TaskKey> heldRuns;
    /**
     * Restarts of workers that were removed a short time ago, since orders to them may be delayed
     * and reach the next incarnation.
     */
    std::map<InstanceId, RemovedWorker> removedWorkers;
    std::map<WorkflowId, LiveWorkflow> workflows;
    /**
     * Workflows that may have become removable. They are removed at the end of an operation, since
     * the operation may still use them.
     */
    std::set<WorkflowId> possiblyFinished;
    std::set<FailureDomainId> evacuatedDomains;
    std::shared_ptr<const RulesInForce> rules;
    /** The rules for accepted work, by the name under which it was accepted. */
    std::unordered_map<std::string, const QueueRule *> queueRules;
    std::unordered_map<std::string, const CustomerRule *> customerRules;
};

/** Returns the capacity that a task of the step reserves on a worker. */
Resources footprint(const StepSpec &spec);

} // namespace gooseberry
