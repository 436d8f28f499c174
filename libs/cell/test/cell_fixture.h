#pragma once

// A coordinator with a fake command log and a fake worker port that tests control step by step.

#include <deque>

#include <cell/cell.h>

namespace gooseberry {

/** A command log that can defer commits and whose leader lease a test can revoke. */
class FakeLog : public CommandLog
{
public:
    FakeLog(CellState &initialState, const Clock &initialClock)
        : state(initialState)
        , clock(initialClock)
    {
    }

    void propose(Command command, Callback done) override
    {
        if (!this->leads) {
            done(Error{.code = ErrorCode::NotLeader,
                       .step = Step::Commit,
                       .peer = {},
                       .message = "not the leader",
                       .outcome = Outcome::NotRun});
            return;
        }
        this->queue.emplace_back(std::move(command), std::move(done));
        if (!this->deferCommits) {
            this->commitAll();
        }
    }
    bool holdsLease() const override
    {
        return this->leads && this->hasLease;
    }
    Term term() const override
    {
        return this->currentTerm;
    }

    /** Commits the queued commands and returns their number. */
    std::size_t commitAll()
    {
        std::size_t count = 0;
        while (!this->committing && !this->queue.empty()) {
            this->committing = true;
            auto [command, done] = std::move(this->queue.front());
            this->queue.pop_front();
            const CellTime at(std::chrono::duration_cast<std::chrono::milliseconds>(
                this->clock.steadyNow().time_since_epoch()));
            this->committing = false;
            done(this->state.apply(StampedCommand{.at = at, .command = std::move(command)}));
            ++count;
        }
        return count;
    }

    bool leads = true;
    bool hasLease = true;
    bool deferCommits = false;
    Term currentTerm{1};

private:
    CellState &state;
    const Clock &clock;
    bool committing = false;
    std::deque<std::pair<Command, Callback>> queue;
};

/** A port that records messages; the test completes starts by calling their callbacks. */
class FakePort : public WorkerPort
{
public:
    struct Sent
    {
        InstanceId worker;
        StartMessage message;
        Callback done;
    };

    void sendStart(const InstanceId &worker, const Address & /*address*/,
                   const StartMessage &message, Callback done) override
    {
        this->sent.push_back(Sent{.worker = worker, .message = message, .done = std::move(done)});
    }

    void sendStop(const Address & /*address*/, const AttemptId &attempt) override
    {
        this->stopped.push_back(attempt);
    }

    std::vector<Sent> sent;
    std::vector<AttemptId> stopped;
};

/** Declares domains "d1" and "d2" and a team "c/t" with queue "c/q". */
inline const char *const testDeclaration = R"(domains:
  - {name: d1, region: r}
  - {name: d2, region: r}
customers:
  - name: c
    teams: [{name: t, limit: {cores: 16, memory: 64GiB, slots: 100}}]
    queues: [{name: q, team: t, classes: [batch, gang, urgent, service], maxPendingTasks: 50000}]
)";

struct CellFixture
{
    CellFixture()
        : log(state, clock)
        , coordinator(state, log, port, clock, observer, CoordinatorSettings{})
        , teamKey(createKey(KeyId("k"), TeamId("c/t")))
    {
        this->coordinator.beginTerm(Term(1));
        this->coordinator.applyConfig(ConfigVersion(1), testDeclaration, "test",
                                      [](const auto &) {});
        this->coordinator.grantKey(this->teamKey.key, [](const auto &) {});
    }

    Caller caller(const std::string &request) const
    {
        return Caller{.credential = "k." + this->teamKey.secret, .request = RequestId(request)};
    }

    static JobSpec spec(std::uint32_t tasks = 1)
    {
        JobSpec spec;
        spec.queue = QueueId("c/q");
        spec.taskCount = tasks;
        spec.perTask.cpu = CpuMillis(1000);
        return spec;
    }

    Result<SubmitReply> submit(const std::string &request, const JobSpec &spec)
    {
        Result<SubmitReply> result = SubmitReply{};
        this->coordinator.submit(SubmitRequest{.caller = this->caller(request), .spec = spec},
                                 [&result](const auto &reply) { result = reply; });
        return result;
    }

    /** Announces a worker with 8 cores in domain "d1" and returns its lease. */
    WorkerLease announce(const std::string &id, const std::string &incarnation = "i1")
    {
        InstanceSpec instance;
        instance.id = InstanceId(id);
        instance.rack = RackId("rack");
        instance.domain = FailureDomainId("d1");
        instance.capacity.cpu = CpuMillis(8000);
        instance.upstream.incarnation = incarnation;
        WorkerLease lease;
        this->coordinator.announce(
            instance,
            WorkerReport{
                .worker = instance.id, .incarnation = incarnation, .seenTerm = {}, .held = {}},
            [&lease](const Result<WorkerLease> &reply) { lease = valueOf(reply); });
        return lease;
    }

    WorkerLease heartbeat(const std::string &id, const WorkerLease &seen,
                          std::vector<AttemptId> held, const std::string &incarnation = "i1")
    {
        WorkerLease lease;
        this->coordinator.heartbeat(
            WorkerReport{.worker = InstanceId(id),
                         .incarnation = incarnation,
                         .seenTerm = seen.term,
                         .seenGeneration = seen.generation,
                         .held = std::move(held)},
            [&lease](const Result<WorkerLease> &reply) { lease = valueOf(reply); });
        return lease;
    }

    TaskRecord task(std::uint64_t job = 1, std::uint32_t index = 0)
    {
        return this->state.jobs().find(JobId(job))->tasks.at(index);
    }

    ManualClock clock;
    CellState state;
    FakePort port;
    FakeLog log;
    NullObserver observer;
    Coordinator coordinator;
    NewKey teamKey;
};

} // namespace gooseberry
