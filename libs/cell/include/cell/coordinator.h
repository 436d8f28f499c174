#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include <base/base.h>
#include <cell/cell_state.h>
#include <cell/command_log.h>
#include <cell/observer.h>
#include <cell/requests.h>
#include <cell/worker_port.h>
#include <scheduler/scheduler.h>

namespace gooseberry {

/** Timeouts and limits of the coordinator. */
struct CoordinatorSettings
{
    std::chrono::milliseconds workerLease{6000};
    /** How long ended jobs are retained with their answers and request ids. */
    std::chrono::milliseconds retention{std::chrono::minutes(15)};
    /** Submissions are refused while the retained answers exceed this size. */
    Bytes maxAnswerBytes{64LL * 1024 * 1024};
    /** From this number of waiting tasks on, new jobs are refused, lowest class first. */
    std::uint32_t shedAbove = 100'000;
};

/**
 * Makes the cell's decisions while this instance leads: admits jobs, starts tasks, renews worker
 * leases and determines the outcome of attempts. Decisions are based on the state at hand and take
 * effect only once the command log has committed and applied them, in the same order on all
 * replicas; a command whose preconditions no longer hold is refused there.
 *
 * Callbacks run on the caller's thread or on a thread of the log, of the port or of step().
 */
class Coordinator
{
public:
    template<typename T>
    using Reply = std::function<void(const Result<T> &)>;

    Coordinator(CellState &initialState, CommandLog &initialLog, WorkerPort &initialPort,
                const Clock &initialClock, CoordinatorObserver &initialObserver,
                CoordinatorSettings initialSettings);

    /**
     * Starts acting as leader. All commands of earlier terms must have been applied. Every worker
     * counts as holding a lease granted now, since the previous leader may just have renewed it.
     */
    void beginTerm(Term term);
    /** Clears the scheduler and fails all waiting callers with outcome Unknown. */
    void endTerm();

    void submit(const SubmitRequest &request, const Reply<SubmitReply> &reply);
    /**
     * Returns the job if the caller may read it: with a key of its team or, on a queue that is open
     * to all, with its request id. Otherwise fails with NotFound.
     */
    Result<JobRecord> job(const Caller &caller, const JobId &id) const;
    /** Replies when the job has ended, or with DeadlineExceeded after the wait. */
    void awaitJob(const Caller &caller, const JobId &id, std::chrono::milliseconds wait,
                  const Reply<JobRecord> &reply);
    void cancel(const Caller &caller, const JobId &id, const Reply<Done> &reply);
    /** Returns why the job's tasks are waiting. */
    Result<Reason> explain(const Caller &caller, const JobId &id) const;

    void announce(const InstanceSpec &instance, const WorkerReport &report,
                  const Reply<WorkerLease> &reply);
    void heartbeat(const WorkerReport &report, const Reply<WorkerLease> &reply);
    void finish(const Placement &placement, AttemptResult result, std::string answer,
                const Reply<Done> &reply);
    void depart(const InstanceId &worker, const Reply<Done> &reply);

    void applyConfig(ConfigVersion version, const std::string &text, const std::string &fileName,
                     const Reply<ConfigVersion> &reply);
    void grantKey(const Key &key, const Reply<Done> &reply);
    void withdrawKey(const KeyId &id, const Reply<Done> &reply);
    void setDomain(const FailureDomainId &domain, bool inService, const Reply<Done> &reply);
    std::vector<TeamOverview> teamOverview() const;

    /**
     * Performs the periodic work: ends expired worker leases, starts waiting tasks, removes jobs
     * whose retention has ended and fails callers whose wait has timed out.
     */
    void step();

private:
    struct SentStart
    {
        /**
         * A report that has seen at least this lease generation and does not list the attempt
         * proves that the attempt does not run and will not start.
         */
        std::uint64_t conclusiveGeneration = 0;
        bool acknowledged = false;
    };
    struct Session
    {
        InstanceId worker;
        std::string incarnation;
        Lease lease;
        std::uint64_t generation = 0;
        bool expired = false;
        std::map<AttemptId, SentStart> starts;
    };
    struct SessionShard
    {
        mutable std::mutex mutex;
        std::map<InstanceId, Session> sessions;
    };
    struct Waiter
    {
        SteadyTime deadline;
        Reply<JobRecord> reply;
    };
    struct WaiterShard
    {
        std::mutex mutex;
        std::multimap<JobId, Waiter> waiters;
    };
    struct Leadership
    {
        bool leads = false;
        Term term;
        SteadyTime startedAt;
        CellTime cellTimeAtStart;
    };
    static constexpr std::size_t shardCount = 16;

    Leadership leadership() const;
    CellTime cellNow() const;
    Status checkLeadership(Step step) const;
    bool mayRead(const Caller &caller, const JobRecord &job) const;
    Status admit(const Caller &caller, const JobSpec &spec, TeamId &team) const;

    void enqueuePending(const JobRecord &job);
    void requeue(const TaskId &id);
    void onStartOutcome(const StartGroup &group, const ApplyOutcome &outcome);
    void sendStart(const Placement &placement);
    void stopAttempts(const JobId &job);
    void onStartSent(const Placement &placement, const Status &status);
    void proposeRelease(const Placement &placement, bool mayHaveRun, const std::string &cause,
                        EndCause end = EndCause::Stopped);
    void onAttemptEnded(const Placement &placement, EndCause cause);
    void recordStart(const AttemptId &attempt, const TaskView &view);
    void recordEnd(const Placement &placement, EndCause cause);
    void replyToWaiters(const JobId &job);

    WorkerLease renewLease(Session &session, const WorkerReport &report,
                           std::vector<Placement> &lost);
    std::vector<AttemptId> attemptsToStop(const WorkerReport &report) const;
    void expireLeases(SteadyTime now);
    void expireWaiters(SteadyTime now);
    void expireJobs(SteadyTime now);
    void scheduleRound(SteadyTime now);
    void proposeStarts(const std::vector<StartGroup> &groups);
    /** Stops attempts that are preempted by urgent tasks or must be moved off their instance. */
    void stopPreemptedAndEvacuated(const RoundInput &input);
    void stopAttempt(const AttemptId &attempt, const InstanceId &instance, Reason reason);

    SessionShard &sessionShard(const InstanceId &worker);
    WaiterShard &waiterShard(const JobId &job);

    CellState &state;
    CommandLog &log;
    WorkerPort &port;
    const Clock &clock;
    CoordinatorObserver &observer;
    CoordinatorSettings settings;
    Scheduler scheduler;

    mutable std::mutex leadershipMutex;
    Leadership current;
    std::mutex roundMutex;
    SteadyTime nextExpiry;
    std::array<SessionShard, shardCount> sessionShards;
    std::array<WaiterShard, shardCount> waiterShards;
};

} // namespace gooseberry
