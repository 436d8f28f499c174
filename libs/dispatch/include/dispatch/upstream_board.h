#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <dispatch/customer_ledger.h>
#include <dispatch/live_work.h>
#include <dispatch/observer.h>
#include <dispatch/placement_choice.h>
#include <dispatch/ports.h>
#include <dispatch/settings.h>
#include <dispatch/upstream_worker.h>

namespace gooseberry {

/** What a board uses of its process. The references outlive the board. */
struct BoardContext
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

/** Counters of one board, for metrics. */
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
 * takes the board's lock, decides, and sends what follows after it has released the lock.
 */
class UpstreamBoard : public std::enable_shared_from_this<UpstreamBoard>
{
public:
    UpstreamBoard(std::string initialUpstream, Term initialTerm, DispatchSettings initialSettings,
                  BoardContext initialContext);

    /** Takes over what the log knows. Called before any other entry point. */
    void recoverWorker(const WorkerRecord &worker);
    void recoverWorkflow(const WorkflowRecord &workflow);
    /** Begins to work, after everything was recovered. */
    void begin();
    /** Ends the board's work; later callbacks have no effect. */
    void close();

    void addWorkflow(const WorkflowRecord &workflow);
    /** Stops the runs of a workflow that was cancelled or has failed. */
    void endWorkflow(const WorkflowId &id);

    /** A worker has announced itself, or has announced something else than before. */
    void workerChanged(const WorkerRecord &worker);
    /** A heartbeat arrived. Clock is the worker's time when it was sent. */
    void workerHeard(const InstanceId &id, WorkerLife life, std::optional<WorkerTime> clock);
    /** The worker has left for good; whatever ran on it has ended. */
    void workerLeft(const InstanceId &id, WorkerLife life);
    /** Something that placement depends on has changed: configuration or failure domains. */
    void reconsider();

    BoardReadings readings() const;

private:
    using Effects = std::vector<std::function<void()>>;
    using Entry = std::function<void(Effects &)>;

    /** Runs the entry under the lock and its effects after it. */
    void enter(const Entry &entry);
    void runLater(Duration delay, const Entry &entry);
    void tick();
    BoardReadings readingsLocked() const;
    void logSummary();

    // upstream_board.cpp: workflows and tasks.
    LiveWorkflow &createWorkflow(const WorkflowRecord &workflow);
    void beginOccurrences(LiveWorkflow &workflow, Effects &effects);
    LiveOccurrence newOccurrence(const LiveWorkflow &workflow) const;
    static void updateReady(LiveWorkflow &workflow, LiveOccurrence &occurrence);
    LiveTask *findTask(const TaskKey &key, LiveWorkflow **workflow = nullptr,
                       LiveStep **step = nullptr);
    /** Forgets ended workflows whose last run was released. */
    void dropFinished();

    // board_workers.cpp: what workers say.
    void wantHold(UpstreamWorker &worker, Effects &effects);
    void onHold(const InstanceId &id, WorkerLife life, SteadyTime sentAt,
                const Result<HoldReply> &result, Effects &effects);
    void readClock(UpstreamWorker &worker, WorkerTime clock, SteadyTime at);
    void adoptLife(UpstreamWorker &worker, const WorkerRecord &record, Effects &effects);
    /** Returns whether the run is one that this board keeps. */
    bool noteRunning(UpstreamWorker &worker, const RunningEntry &entry);
    /** Counts and stops the listed runs that this board does not keep. */
    void noteStrays(UpstreamWorker &worker, const std::vector<RunningEntry> &entries,
                    Effects &effects);
    void clearStrays(UpstreamWorker &worker);
    void noteEnds(UpstreamWorker &worker, const std::vector<EndedEntry> &ends, Effects &effects);
    void settleUnlisted(UpstreamWorker &worker, const HoldReply &reply, SteadyTime sentAt,
                        Effects &effects);
    void lapseOverdue(Effects &effects);
    void storeEnds(const InstanceId &id, WorkerLife life, std::vector<std::uint64_t> numbers,
                   EndRuns command, Effects &effects);
    void endsStored(const InstanceId &id, WorkerLife life,
                    const std::vector<std::uint64_t> &numbers, const EndRuns &command,
                    const Result<CommandOutcome> &result, Effects &effects);

    // board_runs.cpp: runs and orders.
    void propose(std::vector<RunAssignment> runs, Effects &effects);
    void assigned(const std::vector<RunAssignment> &runs, const Result<CommandOutcome> &result,
                  Effects &effects);
    void sendStart(const TaskKey &key, LiveTask &task, Effects &effects);
    void onStart(const TaskKey &key, RunNumber run, const InstanceId &id,
                 const Result<StartReply> &result, Effects &effects);
    void wantStop(const TaskKey &key, LiveRun &run, Effects &effects);
    void onStop(const TaskKey &key, RunNumber run, const InstanceId &id, const Status &status,
                Effects &effects);
    /** The run certainly does not run and never will; the task can run again. */
    void releaseRun(const TaskKey &key, Effects &effects);
    void breakGang(const TaskKey &key, RunNumber run, Effects &effects);
    /** The run has ended as done, and with it the task or the whole gang. */
    void taskDone(const TaskKey &key, RunNumber run, Effects &effects);
    void avoid(UpstreamWorker &worker, Duration time, const char *reason);
    void workerFailed(UpstreamWorker &worker, const TaskKey &key);

    // board_placement.cpp: what goes where.
    struct Candidate;
    void wantPass(Effects &effects);
    void pass(Effects &effects);
    struct Round;
    std::vector<Candidate> candidates(SteadyTime now);
    Round beginRound(SteadyTime now);
    bool isUsable(const UpstreamWorker &worker, SteadyTime now) const;
    bool isCapable(const UpstreamWorker &worker, const StepSpec &spec) const;
    std::size_t place(Candidate &candidate, Round &round);
    std::vector<Seat> seatsFor(const Candidate &candidate, const Round &round) const;
    void ask(Candidate &candidate, const Round &round, Effects &effects);
    std::vector<std::size_t> workersToAsk(const Candidate &candidate, const Round &round) const;
    void onAdvice(const AdviceRequest &request, const Result<AdviceReply> &result,
                  Effects &effects);
    void noteAllowedShare(const WorkflowId &id, std::size_t asked, std::size_t allowed);
    void reserve(UpstreamWorker &worker, const TaskKey &key, const StepSpec &spec,
                 RunNumber run) const;

    const std::string upstream;
    const Term term;
    const DispatchSettings settings;
    const BoardContext context;

    mutable std::mutex mutex; ///< Guards the members below.
    bool closed = false;
    bool passScheduled = false;
    SteadyTime lastPass;
    std::uint32_t lastSlot = 0;
    SteadyTime nextSummary;
    /** Questions to the adviser that are under way. */
    std::size_t openQuestions = 0;
    /** By queue: which share of the workers asked about the adviser allows. */
    std::map<std::string, double> allowedShare;
    std::map<InstanceId, UpstreamWorker> workers;
    std::map<WorkflowId, LiveWorkflow> workflows;
    /** Ended workflows with a run released lately; dropped when no entry point uses them. */
    std::set<WorkflowId> finishing;
    std::set<FailureDomainId> evacuated;
    std::shared_ptr<const RoutingConfig> config;
};

/** Returns what a task of the step takes of a worker's capacity. */
Resources footprint(const StepSpec &spec);

} // namespace gooseberry
