// Tests of accepted work whose queue or customer leaves the configuration. The workers and the
// adviser go on applying the queue's policy to that work.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** A workflow of two steps whose second step the adviser allows on one of two workers only. */
struct RetiredRulesFixture : DispatchFixture
{
    RetiredRulesFixture()
    {
        this->changeConfig([](RoutingConfig &next) {
            next.queues.front().advice
                = AdviserTiming{.decision = 10ms, .timePerWorker = 1ms, .ticketValidity = 1500ms};
        });
        this->adviser.refused = {DispatchFixture::workerId(0)};
        StepSpec second = DispatchFixture::step(2);
        second.dependsOn = {0};
        this->id = this->submit("a", {DispatchFixture::step(1), second});
        this->run(300ms);
        BOOST_REQUIRE(this->workers.runningTasks() == 1U);
    }

    void checkThatTheSecondStepRunsByTheRules()
    {
        this->adviser.requests.clear();
        this->finishAll();
        this->run(500ms);
        BOOST_REQUIRE(!this->adviser.requests.empty());
        BOOST_TEST(this->adviser.requests.front().step == 1U);
        BOOST_TEST(this->workers.workers[DispatchFixture::workerId(0)].starts == 0U);
        BOOST_TEST(this->workers.workers[DispatchFixture::workerId(1)].running.size() == 2U);
    }

    WorkflowId id;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RetiredRulesTest, RetiredRulesFixture)

// Guards against accepted work that never runs on: a configuration gave its queue another name, and
// without a rule of the old name no adviser was asked, so that workers refused all starts.
BOOST_AUTO_TEST_CASE(AsksTheAdviserForWorkWhoseQueueGotAnotherName)
{
    this->changeConfig([](RoutingConfig &next) { next.queues.front().name = "renamed"; });
    this->checkThatTheSecondStepRunsByTheRules();
}

// Guards against the same loss if the queue is removed and none takes its place.
BOOST_AUTO_TEST_CASE(AsksTheAdviserForWorkWhoseQueueWasRemoved)
{
    this->changeConfig([](RoutingConfig &next) { next.queues.clear(); });
    this->checkThatTheSecondStepRunsByTheRules();
}

// Guards against a new leader that knows only the active configuration, not the rules that earlier
// ones had for the work that it recovers.
BOOST_AUTO_TEST_CASE(ANewLeaderAsksTheAdviserForWorkWhoseQueueWasRemoved)
{
    this->changeConfig([](RoutingConfig &next) { next.queues.clear(); });
    this->changeLeader();
    this->run(300ms);
    this->checkThatTheSecondStepRunsByTheRules();
}

// Guards against work without a limit once its customer has left the configuration.
BOOST_AUTO_TEST_CASE(KeepsTheLimitOfACustomerThatWasRemoved)
{
    this->changeConfig(
        [](RoutingConfig &next) { next.customers.front().limit.cpu = CpuMillis(1000); });
    this->changeConfig([](RoutingConfig &next) { next.customers.clear(); });
    this->finishAll();
    this->run(500ms);
    BOOST_TEST(this->workers.runningTasks() == 1U);
}

// Guards against starts that repeat as fast as workers refuse them where a step needs a ticket and
// the configuration names no adviser.
BOOST_AUTO_TEST_CASE(RetriesSlowlyWithoutAnAdviserToAsk)
{
    this->changeConfig([](RoutingConfig &next) { next.queues.front().advice.reset(); });
    for (auto &[worker, fake] : this->workers.workers) {
        fake.startResult = StartResult::NoTicket;
    }
    this->finishAll();
    const std::size_t before = this->observer.orders;
    this->run(2500ms);
    BOOST_TEST(this->observer.orders - before <= 6U);
}

BOOST_AUTO_TEST_SUITE_END()
