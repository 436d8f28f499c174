// Tests of workers that restart under their id, take orders for the earlier incarnation, and are
// cut off before the leader hears of the restart.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** All workers have restarted unseen, on clocks that show less, and answer nothing but starts. */
struct UnseenRestartFixture : DispatchFixture
{
    explicit UnseenRestartFixture(bool withTickets = false)
    {
        this->workers.acceptsAnyIncarnation = true;
        if (withTickets) {
            this->changeConfig([](RoutingConfig &next) {
                next.queues.front().advice = AdviserTiming{
                    .decision = 10ms, .timePerWorker = 1ms, .ticketValidity = 1500ms};
            });
        }
        for (auto &[id, worker] : this->workers.workers) {
            this->workers.restartUnseen(worker);
            worker.clockOffset = -30min;
            worker.renewalsUnanswered = true;
        }
    }

    /** Submits a task, and returns the worker that has begun it. The others are heard of. */
    FakeWorker &startTask()
    {
        this->key = DispatchFixture::task(this->submit("a", {DispatchFixture::step(1)}), 0);
        FakeWorker *started = nullptr;
        while (started == nullptr) {
            this->run(1ms);
            for (auto &[id, worker] : this->workers.workers) {
                started = worker.running.contains(this->key) ? &worker : started;
            }
        }
        for (auto &[id, worker] : this->workers.workers) {
            worker.renewalsUnanswered = &worker == started;
            if (&worker != started) {
                this->announce(id, [](WorkerRecord &) {});
            }
        }
        return *started;
    }

    bool runsOnlyOn(const FakeWorker &worker) const
    {
        return this->workers.runningTasks() == 1U && worker.running.contains(this->key)
            && this->workers.violations.empty();
    }

    TaskKey key;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UnseenRestartTest)

// Guards against a second run beside one that an incarnation took of which nobody had heard: the
// lease end in its start, a time on the earlier clock, gave it the longest lease.
BOOST_FIXTURE_TEST_CASE(WaitsForTheLongestLeaseIfTheAnswerToAStartShowsAnotherClock,
                        UnseenRestartFixture)
{
    FakeWorker &first = this->startTask();
    this->run(5ms);
    first.unresponsive = true;
    this->run(5900ms);
    BOOST_TEST(this->runsOnlyOn(first));
    first.running.clear();
    this->run(2000ms);
    BOOST_TEST(this->workers.runningTasks() == 1U);
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against a restart that stays unheard while a lease renewal waits for the incarnation that
// has crashed: the answer to a start already tells of it.
BOOST_FIXTURE_TEST_CASE(AsksAWorkerForItsIncarnationIfTheAnswerToAStartShowsAnotherClock,
                        UnseenRestartFixture)
{
    FakeWorker &first = this->startTask();
    first.renewalsUnanswered = false;
    this->run(100ms);
    const FencingToken fence = first.fence;
    BOOST_TEST(fence.value > fencingToken(this->term, 1).value);
    BOOST_TEST(this->runsOnlyOn(first));
    this->run(7000ms);
    BOOST_TEST(this->runsOnlyOn(first));
}

// Guards against a restart that is suspected of a worker without one: the answer to a renewal, with
// a later clock, overtakes the answer to a start.
BOOST_FIXTURE_TEST_CASE(SuspectsNoRestartIfTheAnswerToARenewalOvertakesThatToAStart,
                        DispatchFixture)
{
    const auto tokens = [this]() {
        std::uint64_t sum = 0;
        for (const auto &[id, worker] : this->workers.workers) {
            sum += worker.fence.value;
        }
        return sum;
    };
    this->submit("a", {DispatchFixture::step(4)});
    this->run(300ms);
    const std::uint64_t before = tokens();
    for (auto &[id, worker] : this->workers.workers) {
        worker.startAnswerDelay = 20ms;
    }
    for (int number = 0; number < 40; ++number) {
        this->submit("b" + std::to_string(number), {DispatchFixture::step(1, 100)});
        this->run(50ms);
    }
    BOOST_TEST(tokens() == before);
}

BOOST_AUTO_TEST_SUITE_END()
