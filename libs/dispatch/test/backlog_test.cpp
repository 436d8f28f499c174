// Tests of placement while more steps wait than fit on the workers.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** Tasks of this size leave too little room on a worker of 16 cores for a waiting task. */
constexpr std::int64_t fillingCpu = 13'000;
constexpr std::int64_t waitingCpu = 4000;

/** A cell whose workers are full, with workflows of one task that wait. */
struct FullCell : DispatchFixture
{
    FullCell(std::size_t workerCount, std::size_t waiting)
        : DispatchFixture(workerCount)
        , filling(
              this->submit("filling", {step(static_cast<std::uint32_t>(workerCount), fillingCpu)}))
    {
        this->run(200ms);
        for (std::size_t number = 0; number < waiting; ++number) {
            this->submit("waiting-" + std::to_string(number), {step(1, waitingCpu)});
        }
        this->run(200ms);
    }

    /** Ends the filling task on a worker and returns the worker. */
    InstanceId endOneFilling()
    {
        for (const auto &[id, worker] : this->workers.workers) {
            for (const auto &[task, run] : worker.running) {
                if (task.workflow == this->filling) {
                    // Copied, since the worker's entry goes with the end.
                    const TaskKey ended = task;
                    this->workers.end(id, ended, EndKind::Done);
                    return id;
                }
            }
        }
        return {};
    }

    WorkflowId filling;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BacklogTest)

// Guards against a leader that tries every waiting step in every pass. With a thousand steps and
// 1,100 workers a pass took 40 ms of its processor time, and urgent work waited for seconds.
BOOST_AUTO_TEST_CASE(DoesNotTryStepsAgainWithoutNewRoom)
{
    constexpr std::size_t waiting = 100;
    FullCell cell(8, waiting);
    cell.observer.attempts = 0;
    cell.run(1000ms);
    BOOST_TEST(cell.workers.runningTasks() == 8U);
    BOOST_TEST(cell.observer.attempts == 0U);
}

BOOST_AUTO_TEST_CASE(UsesRoomAsSoonAsARunEnds)
{
    FullCell cell(8, 100);
    const InstanceId free = cell.endOneFilling();
    cell.run(200ms);
    BOOST_TEST(cell.workers.workers.at(free).running.size() == 4U);
    BOOST_TEST(cell.workers.violations.empty());
}

BOOST_AUTO_TEST_CASE(UsesRoomOnTheWorkersThatTheAdviserAllows)
{
    DispatchFixture cell(2);
    cell.changeConfig([](RoutingConfig &config) {
        config.queues.front().advice
            = AdviserTiming{.decision = 10ms, .timePerWorker = 1ms, .ticketValidity = 60s};
    });
    cell.adviser.refused = {DispatchFixture::workerId(1)};
    const WorkflowId filling = cell.submit("filling", {DispatchFixture::step(1, fillingCpu)});
    cell.run(300ms);
    cell.submit("waiting", {DispatchFixture::step(1, waitingCpu)});
    cell.run(2000ms);
    BOOST_TEST(cell.workers.runningTasks() == 1U);
    cell.workers.end(DispatchFixture::workerId(0), DispatchFixture::task(filling, 0),
                     EndKind::Done);
    cell.run(300ms);
    BOOST_TEST(cell.workers.workers.at(DispatchFixture::workerId(0)).running.size() == 1U);
}

// A worker that may be used again has room that no run's end announces.
BOOST_AUTO_TEST_CASE(UsesRoomOnWorkersThatComeBackIntoUse)
{
    DispatchFixture cell(4);
    cell.evacuate("domain-a", true);
    cell.evacuate("domain-b", true);
    cell.submit("waiting", {DispatchFixture::step(8, waitingCpu)});
    cell.run(500ms);
    BOOST_TEST(cell.workers.runningTasks() == 0U);
    cell.evacuate("domain-b", false);
    cell.run(200ms);
    BOOST_TEST(cell.workers.runningTasks() == 8U);
}

BOOST_AUTO_TEST_CASE(UsesRoomOnNewWorkers)
{
    FullCell cell(2, 3);
    WorkerRecord record = cell.workers.workers.at(DispatchFixture::workerId(0)).record;
    record.id = InstanceId("added");
    record.address.port = 9999;
    cell.workers.add(record);
    cell.announce(record.id, [](WorkerRecord & /*unchanged*/) {});
    cell.run(300ms);
    BOOST_TEST(cell.workers.workers.at(record.id).running.size() == 3U);
}

// A limit that frees up is no room on a worker, so it must not depend on one.
BOOST_AUTO_TEST_CASE(StartsAWaitingTaskWhenItsCustomerFallsBelowItsLimit)
{
    DispatchFixture cell(4);
    cell.changeConfig(
        [](RoutingConfig &config) { config.customers.front().limit.cpu = CpuMillis(waitingCpu); });
    cell.submit("waiting", {DispatchFixture::step(2, waitingCpu)});
    cell.run(500ms);
    BOOST_TEST(cell.workers.runningTasks() == 1U);
    cell.changeConfig([](RoutingConfig &config) {
        config.customers.front().limit.cpu = CpuMillis(2 * waitingCpu);
    });
    cell.run(200ms);
    BOOST_TEST(cell.workers.runningTasks() == 2U);
}

// Guards against a pass that starts all late work at once after an outage: the starts took the
// leader a second, and new work was late before its own starts were sent.
BOOST_AUTO_TEST_CASE(StartsLateWorkInPartsAndNewWorkFirst)
{
    DispatchFixture cell(200);
    cell.changeConfig(
        [](RoutingConfig &config) { config.queues.front().completionTarget = 500ms; });
    cell.evacuate("domain-a", true);
    cell.evacuate("domain-b", true);
    for (std::size_t number = 0; number < 400; ++number) {
        cell.submit("late-" + std::to_string(number), {DispatchFixture::step(1, 1000)});
    }
    cell.run(4000ms);
    cell.evacuate("domain-a", false);
    cell.evacuate("domain-b", false);
    const WorkflowId urgent = cell.submit("new", {DispatchFixture::step(1, 1000)});
    cell.timers.advance(16ms);
    BOOST_TEST(cell.workers.runningTasks() < 400U);
    const TaskKey task = DispatchFixture::task(urgent, 0);
    BOOST_TEST(std::any_of(cell.workers.workers.begin(), cell.workers.workers.end(),
                           [&](const auto &entry) { return entry.second.running.contains(task); }));
    cell.run(1000ms);
    BOOST_TEST(cell.workers.runningTasks() == 401U);
}

// Guards against a backlog that keeps the leader busy by itself: tickets of late steps were
// requested and, unused, requested again at a multiple of the rate of their starts, until
// submissions ended.
BOOST_AUTO_TEST_CASE(AsksTheAdviserForNoMoreLateWorkThanItStarts)
{
    DispatchFixture cell(200);
    cell.changeConfig([](RoutingConfig &config) {
        config.queues.front().completionTarget = 500ms;
        config.queues.front().advice
            = AdviserTiming{.decision = 10ms, .timePerWorker = 1ms, .ticketValidity = 1500ms};
    });
    cell.evacuate("domain-a", true);
    cell.evacuate("domain-b", true);
    for (std::size_t number = 0; number < 1000; ++number) {
        cell.submit("late-" + std::to_string(number), {DispatchFixture::step(1, 1000)});
    }
    cell.run(4000ms);
    cell.evacuate("domain-a", false);
    cell.evacuate("domain-b", false);
    cell.adviser.requests.clear();
    cell.observer.placed = 0;
    // A leader without processor time: whatever is due waits for 150 ms.
    for (int turn = 0; turn < 20; ++turn) {
        cell.clock.advance(150ms);
        cell.timers.settle();
    }
    BOOST_TEST(cell.observer.placed > 0U);
    BOOST_TEST(cell.adviser.requests.size() <= 2 * cell.observer.placed);
}

// Guards against steps that all ask for the same few workers when many are submitted at once: one
// of them gets the room, the others ask again. In the second after an outage that made 4,400
// requests for 500 submissions.
BOOST_AUTO_TEST_CASE(AsksForDifferentWorkersWhenManyStepsWait)
{
    constexpr std::size_t steps = 100;
    DispatchFixture cell(200);
    cell.adviser.senders = 200;
    cell.changeConfig([](RoutingConfig &config) {
        config.queues.front().advice
            = AdviserTiming{.decision = 10ms, .timePerWorker = 1ms, .ticketValidity = 1500ms};
    });
    for (std::size_t number = 0; number < steps; ++number) {
        cell.submit("new-" + std::to_string(number), {DispatchFixture::step(4, 4000)});
    }
    cell.run(500ms);
    BOOST_TEST(cell.workers.runningTasks() == 4 * steps);
    BOOST_TEST(cell.adviser.requests.size() <= steps * 3 / 2);
    BOOST_TEST(cell.workers.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
