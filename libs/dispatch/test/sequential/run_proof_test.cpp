// A search over orders of events for two runs of one task at once, with the workers' own truth as
// the oracle: crashes, returns under the same or another id, cuts, lost answers, delayed orders,
// changes of leader. Each seed plays the scheduler's own code on a simulated clock.

#include <random>

#include <boost/test/unit_test.hpp>
#include <spdlog/spdlog.h>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds longestLease{6000};
constexpr std::chrono::milliseconds orderTimeout{800};

struct SimulatedRun
{
    RunNumber run;
    SteadyTime until;
    EndKind how = EndKind::Done;
};

/** A machine with an address, and the process that runs on it now. */
struct SimulatedWorker
{
    WorkerRecord record;
    /** Processes that have run on this machine. */
    int processes = 0;
    bool up = false;
    bool cut = false;
    SteadyTime startedAt;
    /** What the clock of the process showed first; any value. */
    std::chrono::milliseconds firstClock{0};
    SteadyTime returnsAt;
    bool returnsUnderItsId = true;
    SteadyTime nextHeartbeat;
    FencingToken fence;
    WorkerTime leaseEnd;
    std::map<TaskKey, SimulatedRun> running;
    std::map<TaskKey, RunNumber> highestRun;
    std::vector<EndedEntry> ended;
    std::uint64_t lastEnd = 0;
};

/** What an order meets on its way. */
struct Passage
{
    bool answered = true;
    std::chrono::milliseconds delay{1};
};

class SimulatedWorkers : public WorkerOrders
{
public:
    SimulatedWorkers(ManualClock &initialClock, FakeTimers &initialTimers, unsigned seed)
        : clock(initialClock)
        , timers(initialTimers)
        , random(seed)
    {
    }

    void start(const WorkerRef &ref, const StartOrder &order,
               std::function<void(Result<StartReply>)> done) override
    {
        this->deliver<StartReply>(ref, std::move(done),
                                  [this, ref, order](SimulatedWorker &worker) {
                                      return this->applyStart(worker, ref, order);
                                  });
    }

    void stop(const WorkerRef &ref, const StopOrder &order,
              std::function<void(Status)> done) override
    {
        this->deliver<Done>(ref, std::move(done), [this, ref, order](SimulatedWorker &worker) {
            if (worker.record.id == ref.id && order.fence >= worker.fence) {
                worker.fence = order.fence;
                RunNumber &highest = worker.highestRun[order.task];
                highest = std::max(highest, order.run);
                const auto found = worker.running.find(order.task);
                if (found != worker.running.end() && found->second.run <= order.run) {
                    this->endRun(worker, order.task, EndKind::Stopped);
                }
            }
            return Done{};
        });
    }

    void renewLease(const WorkerRef &ref, const LeaseRenewalOrder &order,
                    std::function<void(Result<LeaseRenewalReply>)> done) override
    {
        this->deliver<LeaseRenewalReply>(
            ref, std::move(done), [this, ref, order](SimulatedWorker &worker) {
                LeaseRenewalReply reply;
                reply.otherIncarnation = worker.record.id != ref.id;
                reply.fenced = order.fence < worker.fence;
                if (reply.otherIncarnation || reply.fenced) {
                    return reply;
                }
                worker.fence = order.fence;
                this->extendLease(worker, order.leaseEnd);
                std::erase_if(worker.ended, [&](const EndedEntry &end) {
                    return end.number <= order.acknowledgedEnds;
                });
                reply.clock = this->clockOf(worker);
                reply.incarnation = worker.record.incarnation;
                reply.ended = worker.ended;
                for (const auto &[task, run] : worker.running) {
                    reply.running.push_back(RunningEntry{
                        .task = task, .run = run.run, .checkpoint = {}, .percent = 0.0});
                }
                return reply;
            });
    }

    WorkerTime clockOf(const SimulatedWorker &worker) const
    {
        return WorkerTime(std::chrono::duration_cast<std::chrono::milliseconds>(
                              this->clock.steadyNow() - worker.startedAt)
                          + worker.firstClock);
    }

    void beginProcess(SimulatedWorker &worker, bool sameId)
    {
        const SteadyTime now = this->clock.steadyNow();
        if (!sameId) {
            worker.record.id = InstanceId("w" + std::to_string(++this->lastId));
        }
        worker.record.incarnation = WorkerIncarnation(
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) + 1s);
        worker.record.announcement = 0;
        worker.up = true;
        ++worker.processes;
        worker.startedAt = now;
        worker.firstClock = this->between(0, 60'000);
        worker.nextHeartbeat = now + this->between(0, 400);
        worker.fence = FencingToken(0);
        worker.leaseEnd = WorkerTime{};
        worker.running.clear();
        worker.highestRun.clear();
        worker.ended.clear();
        worker.lastEnd = 0;
    }

    void tick()
    {
        const SteadyTime now = this->clock.steadyNow();
        for (SimulatedWorker &worker : this->machines) {
            if (!worker.up) {
                if (now >= worker.returnsAt) {
                    this->beginProcess(worker, worker.returnsUnderItsId);
                }
                continue;
            }
            const std::map<TaskKey, SimulatedRun> running = worker.running;
            for (const auto &[task, run] : running) {
                if (this->clockOf(worker) > worker.leaseEnd) {
                    this->endRun(worker, task, EndKind::LeaseExpired);
                } else if (now >= run.until) {
                    this->endRun(worker, task, run.how);
                }
            }
        }
    }

    std::chrono::milliseconds between(int low, int high)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<int>(low, high)(this->random));
    }

    bool chance(int percent)
    {
        return this->between(1, 100).count() <= percent;
    }

    /** Orders are lost or delayed only while there are faults. */
    bool faults = true;
    std::vector<SimulatedWorker> machines;
    std::vector<std::string> violations;

private:
    Passage nextPassage()
    {
        if (!this->faults || this->chance(70)) {
            return {.answered = true, .delay = this->between(1, 4)};
        }
        if (this->chance(40)) {
            return {.answered = false, .delay = this->between(1, 4)};
        }
        return {.answered = false, .delay = this->between(800, 12'000)};
    }

    /**
     * Carries the order out at the process that has the address when it arrives. An order outlives
     * one restart at most; see "Not covered" in docs/design.md.
     */
    template<typename Reply, typename Callback, typename Apply>
    void deliver(const WorkerRef &ref, Callback done, Apply apply)
    {
        const Passage passage = this->nextPassage();
        int processes = 0;
        for (const SimulatedWorker &worker : this->machines) {
            processes = worker.record.address == ref.address ? worker.processes : processes;
        }
        this->timers.schedule()(passage.delay, [this, ref, done, apply, passage, processes]() {
            for (SimulatedWorker &worker : this->machines) {
                if (worker.record.address == ref.address && worker.up && !worker.cut
                    && worker.processes <= processes + 1) {
                    const Reply reply = apply(worker);
                    if (passage.answered) {
                        done(reply);
                        return;
                    }
                }
            }
        });
        const bool reachable = std::any_of(
            this->machines.begin(), this->machines.end(), [&](const SimulatedWorker &worker) {
                return worker.record.address == ref.address && worker.up && !worker.cut;
            });
        if (!passage.answered || !reachable) {
            this->failLater(done);
        }
    }

    template<typename Callback>
    void failLater(Callback done)
    {
        this->timers.schedule()(orderTimeout, [done]() {
            done(Error{.code = ErrorCode::DeadlineExceeded,
                       .step = Step::Send,
                       .peer = {},
                       .message = "no answer",
                       .outcome = Outcome::Unknown});
        });
    }

    void extendLease(SimulatedWorker &worker, WorkerTime leaseEnd) const
    {
        worker.leaseEnd
            = std::max(worker.leaseEnd, std::min(leaseEnd, this->clockOf(worker) + longestLease));
    }

    StartReply applyStart(SimulatedWorker &worker, const WorkerRef &ref, const StartOrder &order)
    {
        const auto reply = [&](StartResult result) {
            return StartReply{.result = result, .clock = this->clockOf(worker)};
        };
        if (worker.record.id != ref.id) {
            return reply(StartResult::OtherIncarnation);
        }
        if (order.fence < worker.fence) {
            return reply(StartResult::Fenced);
        }
        worker.fence = order.fence;
        const auto current = worker.running.find(order.task);
        if (current != worker.running.end() && current->second.run == order.run) {
            return reply(StartResult::Started);
        }
        if (order.leaseEnd <= this->clockOf(worker)) {
            return reply(StartResult::LeaseExpired);
        }
        this->extendLease(worker, order.leaseEnd);
        if (order.run <= worker.highestRun[order.task]) {
            return reply(StartResult::Superseded);
        }
        for (const SimulatedWorker &other : this->machines) {
            if (&other != &worker && other.up && other.running.contains(order.task)) {
                this->violations.push_back(toString(order.task) + " on " + worker.record.id.value
                                           + " and " + other.record.id.value);
            }
        }
        worker.running[order.task]
            = SimulatedRun{.run = order.run,
                           .until = this->clock.steadyNow() + this->between(300, 12'000),
                           .how = this->chance(10) ? EndKind::Failed : EndKind::Done};
        return reply(StartResult::Started);
    }

    void endRun(SimulatedWorker &worker, const TaskKey &task, EndKind how)
    {
        const RunNumber run = worker.running.at(task).run;
        worker.running.erase(task);
        RunNumber &highest = worker.highestRun[task];
        highest = std::max(highest, run);
        worker.ended.push_back(EndedEntry{
            .number = ++worker.lastEnd, .task = task, .run = run, .kind = how, .checkpoint = {}});
    }

    ManualClock &clock;
    FakeTimers &timers;
    std::minstd_rand random;
    int lastId = 0;
};

/** A cell of six machines whose events a seed chooses. */
struct SimulatedCell
{
    explicit SimulatedCell(unsigned seed)
        : workers(clock, timers, seed)
        , dispatcher(DispatchSettings{}, clock, workers, adviser, log, state, timers.schedule(),
                     observer)
    {
        RoutingConfig config;
        config.version = ConfigVersion(1);
        QueueRule queue;
        queue.name = "queue";
        queue.upstream = "upstream";
        queue.attempts = 100;
        config.queues.push_back(queue);
        config.upstreams.push_back(UpstreamRule{.name = "upstream",
                                                .workersEnforceCapacity = false,
                                                .standby = false,
                                                .healthPath = {}});
        this->apply(PutConfig{.config = config});
        this->clock.advance(1h);
        this->dispatcher.beginTerm(this->term);
        for (std::uint16_t number = 0; number < 6; ++number) {
            SimulatedWorker worker;
            worker.record.address = Address{.host = "127.0.0.1", .port = number};
            worker.record.upstream = "upstream";
            worker.record.capacity = Resources{.cpu = CpuMillis(4000),
                                               .memory = Bytes(64'000),
                                               .accelerators = AcceleratorCount(0),
                                               .slots = SlotCount(0)};
            this->workers.machines.push_back(worker);
            this->workers.beginProcess(this->workers.machines.back(), false);
        }
    }

    void apply(WorkflowCommand command)
    {
        this->state.apply(
            ProposedCommand{.origin = 1, .number = 1, .at = {}, .command = std::move(command)});
    }

    void submit()
    {
        WorkflowSpec spec;
        spec.payload = "payload";
        spec.steps = {DispatchFixture::step(3)};
        spec.steps.front().gang = this->workers.chance(25);
        const WorkflowId id("a" + std::to_string(this->submitted++));
        this->apply(AcceptWorkflow{.id = id,
                                   .queue = "queue",
                                   .upstream = "upstream",
                                   .customer = CustomerId("customer"),
                                   .attempts = 100,
                                   .spec = encodeRecord(spec)});
        this->dispatcher.workflowAccepted(id);
    }

    void heartbeats()
    {
        for (SimulatedWorker &worker : this->workers.machines) {
            if (!worker.up || worker.cut || this->clock.steadyNow() < worker.nextHeartbeat
                || !this->leads) {
                continue;
            }
            worker.nextHeartbeat = this->clock.steadyNow() + 500ms;
            ++worker.record.announcement;
            const std::optional<WorkerRecord> known = this->state.worker(worker.record.id);
            if (known && isRepeatedAnnouncement(*known, worker.record)) {
                this->dispatcher.heartbeatReceived(worker.record, this->workers.clockOf(worker));
            } else {
                this->apply(AnnounceWorker{.worker = worker.record});
                this->dispatcher.workerAnnounced(worker.record);
            }
        }
    }

    void causeFault()
    {
        SimulatedWorker &worker
            = this->workers.machines[static_cast<std::size_t>(this->workers.between(0, 5).count())];
        const auto kind = this->workers.between(1, 10).count();
        if (kind <= 4 && worker.up) {
            worker.up = false;
            worker.running.clear();
            worker.returnsAt = this->clock.steadyNow() + this->workers.between(50, 1500);
            worker.returnsUnderItsId = this->workers.chance(70);
        } else if (kind <= 7 && !worker.cut) {
            worker.cut = true;
            this->timers.schedule()(this->workers.between(500, 15'000),
                                    [&worker]() { worker.cut = false; });
        } else if (kind <= 8 && this->leads) {
            this->leads = false;
            this->log.leads = false;
            this->dispatcher.endTerm();
            this->timers.schedule()(this->workers.between(100, 600), [this]() {
                this->leads = true;
                this->log.leads = true;
                ++this->term.value;
                this->dispatcher.beginTerm(this->term);
            });
        } else {
            this->submit();
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed{0}; passed < time; passed += 10ms) {
            this->workers.tick();
            this->heartbeats();
            if (this->workers.faults && this->workers.chance(3)) {
                this->causeFault();
            }
            this->timers.advance(10ms);
        }
    }

    std::size_t unfinished() const
    {
        std::size_t count = 0;
        this->state.visitLiveWorkflows([&](const WorkflowRecord & /*workflow*/) { ++count; });
        return count;
    }

    ManualClock clock;
    FakeTimers timers{clock};
    WorkflowState state{std::chrono::minutes(3)};
    FakeCommandLog log{state, timers};
    FakeAdviser adviser{timers};
    CountingObserver observer;
    SimulatedWorkers workers;
    Dispatcher dispatcher;
    Term term{1};
    bool leads = true;
    int submitted = 0;
};

/** Turns the log off, which would slow the search down. */
struct QuietLog
{
    QuietLog()
        : level(spdlog::get_level())
    {
        spdlog::set_level(spdlog::level::off);
    }
    ~QuietLog()
    {
        spdlog::set_level(this->level);
    }

    spdlog::level::level_enum level;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunProofTest, QuietLog)

// Guards against a run that is given up without proof, and against one that is never given up.
BOOST_AUTO_TEST_CASE(NeverRunsATaskTwiceAtOnce)
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        SimulatedCell cell(seed);
        for (int number = 0; number < 6; ++number) {
            cell.submit();
        }
        cell.run(20'000ms);
        cell.workers.faults = false;
        for (int second = 0; second < 60 && cell.unfinished() > 0; ++second) {
            cell.run(1000ms);
        }
        BOOST_TEST(cell.workers.violations.empty(),
                   "seed " << seed << ": "
                           << (cell.workers.violations.empty() ? std::string()
                                                               : cell.workers.violations.front()));
        BOOST_TEST(cell.unfinished() == 0U,
                   "seed " << seed << ": unfinished " << cell.unfinished() << " of "
                           << cell.submitted);
    }
}

BOOST_AUTO_TEST_SUITE_END()
