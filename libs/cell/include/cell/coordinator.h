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

/** Times that the coordinator works with. */
struct CoordinatorSettings
{
    std::chrono::milliseconds workerLease{6000};
    /** How long ended jobs keep their answers and request ids. */
    std::chrono::milliseconds retention{std::chrono::minutes(15)};
    /** Submissions are refused while kept answers exceed this. */
    Bytes maxAnswerBytes{64LL * 1024 * 1024};
    /** Waiting tasks in the cell from which on new work is shed, lowest class first. */
    std::uint32_t shedAbove = 100'000;
};

/**
 * Decides on behalf of the cell while this instance leads: admits jobs, starts tasks, keeps
 * workers' leases and settles what became of attempts. It decides on what it knows and leaves the
 * last word to the command log, whose order is the same for all replicas.
 *
 * Callbacks run on the caller's thread or on a thread of the log, the port or step().
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
     * Takes up the leader's duties. All commands of earlier terms are applied by then. Every
     * worker counts as freshly leased, since the previous leader may just have renewed its lease.
     */
    void beginTerm(Term term);
    /** Drops the leader's memory and fails all waiting callers with Unknown. */
    void endTerm();

    void submit(const SubmitRequest &request, const Reply<SubmitReply> &reply);
    /** Returns the job if the caller may see it: with a key of its team or its request id. */
    Result<JobRecord> job(const Caller &caller, const JobId &id) const;
    /** Replies once the job has ended, or with DeadlineExceeded after the wait. */
    void awaitJob(const Caller &caller, const JobId &id, std::chrono::milliseconds wait,
                  const Reply<JobRecord> &reply);
    void cancel(const Caller &caller, const JobId &id, const Reply<Done> &reply);
    /** Returns why the job's tasks wait. */
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
    std::vector<TeamOverview> top() const;

    /**
     * Runs what is due: ends expired worker leases, starts waiting tasks, forgets old answers and
     * fails callers whose wait is over.
     */
    void step();

private:
    struct SentStart
    {
        /** A report that saw this generation and does not hold the attempt proves it is gone. */
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
    void onStartsCommitted(const StartGroup &group, const ApplyOutcome &outcome);
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
    /** Stops what must make room for urgent work and what must leave its instance. */
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
