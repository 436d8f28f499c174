// A search over orders of events for tasks that run twice, with the workers' own truth as the
// oracle: crashes, returns under the same or another id, cuts in both directions or in one, lost
// answers, delayed orders and heartbeats, acknowledged ends, tickets, and leaders that are killed,
// frozen or hand over. Each seed plays the scheduler's own code on a simulated clock.

#include <cstdlib>
#include <iostream>

#include <boost/test/unit_test.hpp>
#include <spdlog/spdlog.h>

#include "simulated_keepers.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t machineCount = 6;

ManualClock &advancedClock(ManualClock &clock)
{
    clock.advance(1h);
    return clock;
}

DispatchSettings settingsOf(std::chrono::milliseconds longestLease)
{
    DispatchSettings settings;
    settings.longestWorkerLease = longestLease;
    return settings;
}

/** A cell whose events a seed chooses. */
struct SimulatedCell
{
    explicit SimulatedCell(unsigned seed)
        : workers(advancedClock(clock), timers, seed)
        , longestLease(workers.chance(50) ? 6000 : 10'000)
        , keepers(clock, timers, workers, settingsOf(longestLease))
    {
        const bool faultyOrders = this->workers.chance(75);
        this->workers.faults = WorkerFaults{.unansweredOrders = faultyOrders ? 12 : 2,
                                            .delayedOrders = faultyOrders ? 18 : 2,
                                            .failedRuns = 10};
        this->workers.longestLease = this->longestLease;
        RoutingConfig config;
        config.version = ConfigVersion(1);
        QueueRule queue;
        queue.name = "queue";
        queue.upstream = "upstream";
        queue.attempts = 100;
        const auto rule = this->workers.between(1, 4).count();
        if (rule > 2) {
            this->workers.ticketRule = rule == 3 ? TicketRule::ForProcess : TicketRule::ForId;
            queue.advice
                = AdviserTiming{.decision = 10ms, .timePerWorker = 1ms, .ticketValidity = 1500ms};
        }
        config.queues.push_back(queue);
        config.upstreams.push_back(UpstreamRule{.name = "upstream",
                                                .workersEnforceCapacity = false,
                                                .standby = false,
                                                .healthPath = {}});
        this->keepers.commit(PutConfig{.config = config});
        this->mostlyRestarts = this->workers.chance(30);
        this->heartbeatInterval = this->workers.chance(50) ? 500ms : 1500ms;
        for (std::uint16_t number = 0; number < machineCount; ++number) {
            WorkerRecord worker;
            worker.address = Address{.host = "127.0.0.1", .port = number};
            worker.upstream = "upstream";
            worker.capacity = Resources{.cpu = CpuMillis(4000),
                                        .memory = Bytes(64'000),
                                        .accelerators = AcceleratorCount(0),
                                        .slots = SlotCount(0)};
            this->workers.addMachine(worker, this->heartbeatInterval);
        }
    }

    void submit()
    {
        WorkflowSpec spec;
        spec.payload = "payload";
        spec.steps = {DispatchFixture::step(3)};
        spec.steps.front().gang = this->workers.chance(25);
        this->keepers.commit(
            AcceptWorkflow{.id = WorkflowId("a" + std::to_string(this->submitted++)),
                           .queue = "queue",
                           .upstream = "upstream",
                           .customer = CustomerId("customer"),
                           .attempts = 100,
                           .spec = encodeRecord(spec)});
    }

    void deliverHeartbeat(const WorkerRecord &record, WorkerTime workerClock)
    {
        SimulatedKeeper *const leader = this->keepers.leader();
        if (leader == nullptr || leader->isFrozen()) {
            return;
        }
        const std::optional<WorkerRecord> known = leader->state.worker(record.id);
        if (known && isRepeatedAnnouncement(*known, record)) {
            leader->dispatcher.heartbeatReceived(record, workerClock);
        } else {
            leader->propose(AnnounceWorker{.worker = record},
                            [](const Result<CommandOutcome> & /*result*/) {});
        }
    }

    void heartbeats()
    {
        for (SimulatedWorker &worker : this->workers.machines) {
            if (!worker.up || !this->workers.isHeard(worker)
                || this->clock.steadyNow() < worker.nextHeartbeat) {
                continue;
            }
            worker.nextHeartbeat = this->clock.steadyNow() + this->heartbeatInterval;
            ++worker.record.announcement;
            const bool late = this->faults && this->workers.chance(5);
            this->timers.schedule()(
                late ? this->workers.between(100, 8000) : 1ms,
                [this, record = worker.record, workerClock = this->workers.clockOf(worker)]() {
                    this->deliverHeartbeat(record, workerClock);
                });
        }
    }

    SimulatedWorker &anyMachine()
    {
        return this->workers
            .machines[static_cast<std::size_t>(this->workers.between(0, machineCount - 1).count())];
    }

    /** Cuts the worker off, or only what it sends. */
    void cut(SimulatedWorker &worker, std::chrono::milliseconds time)
    {
        SteadyTime &until = this->workers.chance(75) ? worker.cutUntil : worker.mutedUntil;
        until = this->clock.steadyNow() + time;
    }

    /** Some workers restart under their ids and are cut off soon after, perhaps before a heartbeat.
     */
    void restartAndCut()
    {
        const bool atOnce = this->workers.chance(50);
        for (SimulatedWorker &worker : this->workers.machines) {
            if (!worker.up || this->workers.chance(50)) {
                continue;
            }
            const auto away = this->workers.between(50, 900);
            this->workers.crash(worker, away, true);
            const auto delay = atOnce ? away + this->workers.between(0, 1500)
                                      : this->workers.between(1000, 4000);
            this->timers.schedule()(
                delay, [this, &worker]() { this->cut(worker, this->workers.between(3000, 9000)); });
        }
    }

    void causeFault()
    {
        if (this->mostlyRestarts) {
            if (this->workers.chance(10)) {
                this->restartAndCut();
            } else if (this->workers.chance(35)) {
                this->submit();
            }
            return;
        }
        SimulatedWorker &worker = this->anyMachine();
        const auto kind = this->workers.between(1, 100).count();
        if (kind <= 38) {
            if (worker.up) {
                this->workers.crash(worker, this->workers.between(50, 1500),
                                    this->workers.chance(70));
            }
        } else if (kind <= 66) {
            this->cut(worker, this->workers.between(500, 15'000));
        } else if (kind <= 70) {
            this->restartAndCut();
        } else if (kind <= 75) {
            this->keepers.killLeader();
        } else if (kind <= 79) {
            this->keepers.freezeLeader();
        } else if (kind <= 82) {
            this->keepers.handOver();
        } else {
            this->submit();
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed{0}; passed < time; passed += 10ms) {
            this->workers.tick();
            this->keepers.tick();
            this->heartbeats();
            if (this->faults && this->workers.chance(3)) {
                this->causeFault();
            }
            this->timers.advance(10ms);
        }
    }

    void endFaults()
    {
        this->faults = false;
        this->workers.faults = {};
        for (SimulatedWorker &worker : this->workers.machines) {
            worker.cutUntil = SteadyTime{};
            worker.mutedUntil = SteadyTime{};
        }
    }

    std::size_t unfinished()
    {
        SimulatedKeeper *const leader = this->keepers.leader();
        if (leader == nullptr) {
            return 1;
        }
        std::size_t count = 0;
        leader->state.visitLiveWorkflows([&](const WorkflowRecord & /*workflow*/) { ++count; });
        return count;
    }

    ManualClock clock;
    FakeTimers timers{clock};
    SimulatedWorkers workers;
    const std::chrono::milliseconds longestLease;
    SimulatedKeepers keepers;
    std::chrono::milliseconds heartbeatInterval{500};
    /** The only faults besides those of orders are workers that restart and are cut off. */
    bool mostlyRestarts = false;
    bool faults = true;
    int submitted = 0;
};

/** Turns the log off, which would slow the search down, unless GL_LOG is set. */
struct QuietLog
{
    QuietLog()
        : level(spdlog::get_level())
    {
        // NOLINTNEXTLINE(concurrency-mt-unsafe): the test has one thread.
        const bool logs = std::getenv("GL_LOG") != nullptr;
        spdlog::set_level(logs ? spdlog::level::debug : spdlog::level::off);
    }
    ~QuietLog()
    {
        spdlog::set_level(this->level);
    }

    spdlog::level::level_enum level;
};

/** Returns the number in the environment variable, to search from another seed or for longer. */
unsigned numberFromEnvironment(const char *name, unsigned fallback)
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe): the test has one thread.
    const char *const text = std::getenv(name);
    return text == nullptr ? fallback : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

std::string firstOf(const std::vector<std::string> &violations)
{
    return violations.empty() ? std::string("none") : violations.front();
}

void playSeed(unsigned seed)
{
    SimulatedCell cell(seed);
    for (int number = 0; number < 6; ++number) {
        cell.submit();
    }
    cell.run(25'000ms);
    cell.endFaults();
    for (int second = 0; second < 60 && cell.unfinished() > 0; ++second) {
        cell.run(1000ms);
    }
    const RunOracle &oracle = cell.workers.oracle;
    if (!oracle.delayedOrders.empty()) {
        std::cout << "known (KNOWN-RED.txt, 2 and 17): seed " << seed << ": "
                  << oracle.delayedOrders.front() << '\n';
    }
    BOOST_TEST(oracle.concurrentRuns.empty(),
               "seed " << seed << ": two runs at once: " << firstOf(oracle.concurrentRuns));
    BOOST_TEST(oracle.startsAfterDone.empty(),
               "seed " << seed << ": started after an acknowledged end as done: "
                       << firstOf(oracle.startsAfterDone));
    BOOST_TEST(cell.unfinished() == 0U,
               "seed " << seed << ": unfinished " << cell.unfinished() << " of " << cell.submitted);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunProofTest, QuietLog)

// Guards against a run that is given up without proof, against an end that is acknowledged without
// being read, and against a task that is never run again.
BOOST_AUTO_TEST_CASE(NeverRunsATaskTwice)
{
    const unsigned first = numberFromEnvironment("GL_FIRST_SEED", 1);
    const unsigned count = numberFromEnvironment("GL_SEEDS", 400);
    for (unsigned seed = first; seed < first + count; ++seed) {
        playSeed(seed);
    }
}

// Guards against a lease that is taken for shorter than it is, since a worker has restarted unseen:
// each of these seeds ran a task twice before the answers to starts were checked for that.
BOOST_AUTO_TEST_CASE(NeverRunsATaskTwiceAfterUnseenRestarts)
{
    for (const unsigned seed : {842U, 2438U, 3255U, 4749U, 6532U, 6836U, 8543U, 8865U, 9021U, 9151U,
                                12'362U, 12'510U, 14'612U, 14'660U}) {
        playSeed(seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
