#pragma once

// A dispatcher with a fake log, fake workers and a fake adviser that tests control step by step.
// Everything runs on the test's thread: timers fire in advance(), and commands commit soon after
// they are proposed unless commits are paused.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <codec/codec.h>
#include <dispatch/dispatch.h>

namespace gooseberry {

/** Runs scheduled tasks in the order of their times. */
class FakeTimers
{
public:
    explicit FakeTimers(ManualClock &initialClock);

    Schedule schedule();
    /** Advances the clock in small increments and runs the tasks that become due. */
    void advance(std::chrono::milliseconds time);
    /** Runs the tasks that are due now. */
    void settle();

private:
    ManualClock &clock;
    std::multimap<SteadyTime, std::function<void()>> tasks;
};

/** Applies commands to a state; a test can pause commits or take the leader lease away. */
class FakeCommandLog : public CommandSink
{
public:
    FakeCommandLog(WorkflowState &initialState, FakeTimers &initialTimers);

    void propose(WorkflowCommand command,
                 std::function<void(Result<CommandOutcome>)> done) override;
    bool holdsLease() const override;
    void commitPending();

    bool leads = true;
    bool commitsPaused = false;
    std::size_t proposals = 0;

private:
    WorkflowState &state;
    FakeTimers &timers;
    std::deque<std::pair<WorkflowCommand, std::function<void(Result<CommandOutcome>)>>> queue;
};

/** A worker that follows the platform's protocol: runs, numbered ends, a fence and a lease. */
struct FakeWorker
{
    WorkerRecord record;
    std::map<TaskKey, RunNumber> running;
    std::vector<EndedEntry> ended;
    std::map<TaskKey, RunNumber> refusedRuns;
    FencingToken fence;
    WorkerTime leaseEnd;
    /** What the worker's clock shows beyond the clock of the others; each incarnation has its own.
     */
    std::chrono::milliseconds clockOffset{0};
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    /**
     * Orders get no answer; starts are carried out by deliverDelayedStarts(). The flags below apply
     * to one kind of order.
     */
    bool unresponsive = false;
    bool startsUnanswered = false;
    bool stopsUnanswered = false;
    bool renewalsUnanswered = false;
    /** Another worker answers at the address and refuses renewals. */
    bool refusesRenewals = false;
    StartResult startResult = StartResult::Started;
    std::size_t starts = 0;
    std::size_t renewals = 0;
    /** How much longer than others the answers to starts and to renewals are on their way. */
    std::chrono::milliseconds startAnswerDelay{0};
    std::chrono::milliseconds renewalAnswerDelay{0};
    /** The lease end in the last renewal that was sent to the worker. */
    WorkerTime leaseOffered;
    std::vector<std::string> checkpoints;
};

/**
 * The workers of a test. A start of a task that already runs elsewhere is recorded as a violation.
 */
class FakeWorkers : public WorkerOrders
{
public:
    explicit FakeWorkers(FakeTimers &initialTimers, const Clock &initialClock);

    void start(const WorkerRef &worker, const StartOrder &order,
               std::function<void(Result<StartReply>)> done) override;
    void stop(const WorkerRef &worker, const StopOrder &order,
              std::function<void(Status)> done) override;
    void renewLease(const WorkerRef &worker, const LeaseRenewalOrder &order,
                    std::function<void(Result<LeaseRenewalReply>)> done) override;

    FakeWorker &add(const WorkerRecord &record);
    /** Ends a run; the worker reports the end in its next reply to a lease renewal. */
    void end(const InstanceId &id, const TaskKey &task, EndKind kind,
             const std::string &checkpoint = {});
    /** Carries out the starts that got no answer. */
    void deliverDelayedStarts();
    std::size_t runningTasks() const;
    WorkerTime clockOf(const FakeWorker &worker) const;
    /** Begins the worker's next incarnation, which knows nothing of before; nobody hears of it. */
    void restartUnseen(FakeWorker &worker) const;

    std::map<InstanceId, FakeWorker> workers;
    std::vector<std::string> violations;
    /** If set, no start is sent and each fails with this error. */
    std::optional<Error> sendFailure;
    /** Any incarnation carries out a start, as a worker does that restarts under the same id. */
    bool acceptsAnyIncarnation = false;
    /** Starts that got no answer and are not carried out yet. */
    std::vector<std::pair<InstanceId, StartOrder>> delayedStarts;

private:
    StartResult applyStart(FakeWorker &worker, const StartOrder &order);

    FakeTimers &timers;
    const Clock &clock;
};

/** Allows all workers except those that a test refuses. */
class FakeAdviser : public AdviserAccess
{
public:
    explicit FakeAdviser(FakeTimers &initialTimers);

    void advise(const AdviceRequest &request, std::chrono::microseconds cost,
                std::function<void(Result<AdviceReply>)> done) override;

    std::size_t senderCount() const override
    {
        return this->senders;
    }

    std::size_t senders = 8;
    /** Requests get no answer. */
    bool silent = false;
    std::set<InstanceId> refused;
    std::vector<AdviceRequest> requests;
    bool fails = false;

private:
    FakeTimers &timers;
};

/** Counts the scheduling events. */
class CountingObserver : public DispatchObserver
{
public:
    void stepPlaced(std::size_t tasks, Duration /*waited*/) override
    {
        this->placed += tasks;
    }
    void placementPassBegan(Duration /*lateness*/) override
    {
    }
    void placementPassEnded(std::size_t passAttempts, Duration /*elapsed*/) override
    {
        this->attempts += passAttempts;
    }
    void runLost() override
    {
        ++this->lost;
    }
    void orderAnswered(const char * /*order*/, bool /*answered*/, Duration /*elapsed*/) override
    {
        ++this->orders;
    }
    void adviceAnswered(bool /*answered*/, Duration /*elapsed*/) override
    {
        ++this->advice;
    }

    std::size_t placed = 0;
    std::size_t attempts = 0;
    std::size_t lost = 0;
    std::size_t orders = 0;
    std::size_t advice = 0;
};

/** A cell with one queue, one customer and workers of 16 cores each. */
struct DispatchFixture
{
    explicit DispatchFixture(std::size_t workerCount = 2);

    void changeConfig(const std::function<void(RoutingConfig &)> &change);
    WorkflowId submit(const std::string &id, std::vector<StepSpec> steps,
                      const std::string &customer = "customer", const std::string &queue = "queue");
    WorkflowId submit(const std::string &id, const WorkflowSpec &spec,
                      const std::string &customer = "customer", const std::string &queue = "queue");
    void cancel(const WorkflowId &id);
    void announce(const InstanceId &id, const std::function<void(WorkerRecord &)> &change);
    /** Applies the worker's notice that it leaves; the worker itself goes on. */
    void deregister(const InstanceId &id);
    void evacuate(const std::string &domain, bool evacuated);
    /** Ends the leader's term and begins another one on the same state. */
    void changeLeader();
    /** Advances the time and delivers the heartbeats of all responsive workers. */
    void run(std::chrono::milliseconds time);
    WorkflowPhase phase(const WorkflowId &id) const;
    /** Ends all runs as done. */
    void finishAll();

    static InstanceId workerId(std::size_t number);
    static StepSpec step(std::uint32_t count, std::int64_t cpu = 1000);
    static TaskKey task(const WorkflowId &id, std::uint32_t index, std::uint32_t step = 0);

    ManualClock clock;
    FakeTimers timers{clock};
    WorkflowState state{std::chrono::minutes(3)};
    FakeCommandLog log{state, timers};
    FakeWorkers workers{timers, clock};
    FakeAdviser adviser{timers};
    CountingObserver observer;
    Dispatcher dispatcher;
    RoutingConfig config;
    Term term{1};
    std::set<InstanceId> withoutHeartbeats;

private:
    void apply(WorkflowCommand command);
};

} // namespace gooseberry
