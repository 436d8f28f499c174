// Tests of runs that go on after their workflow was cancelled, and of a leader that is lost before
// all workers were told to stop them.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** A customer's limit is used up by a cancelled workflow whose runs go on, under a new leader. */
struct CancelledRunFixture : DispatchFixture
{
    CancelledRunFixture()
        : DispatchFixture(4)
    {
        this->changeConfig(
            [](RoutingConfig &next) { next.customers.front().limit.cpu = CpuMillis(4000); });
        StepSpec spread = step(4);
        spread.maxPerWorker = 1;
        this->cancelled = this->submit("cancelled", {spread});
        this->run(300ms);
        BOOST_REQUIRE(this->workers.runningTasks() == 4U);
        for (auto &[id, worker] : this->workers.workers) {
            worker.stopsUnanswered = true;
            worker.renewalsUnanswered = id != workerId(0);
        }
        this->cancel(this->cancelled);
        this->changeLeader();
        this->waiting = this->submit("waiting", {step(4)});
    }

    void answerAll()
    {
        for (auto &[id, worker] : this->workers.workers) {
            worker.stopsUnanswered = false;
            worker.renewalsUnanswered = false;
        }
    }

    WorkflowId cancelled;
    WorkflowId waiting;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CancelledRunTest, CancelledRunFixture)

// Guards against work beyond a customer's limit: a new leader did not count the runs of a cancelled
// workflow until their workers had reported them.
BOOST_AUTO_TEST_CASE(ANewLeaderCountsTheRunsOfACancelledWorkflow)
{
    this->run(2000ms);
    BOOST_TEST(this->workers.runningTasks() == 4U);
    this->answerAll();
    this->run(3000ms);
    BOOST_TEST(this->workers.runningTasks() == 4U);
    for (const auto &[id, worker] : this->workers.workers) {
        for (const auto &[task, run] : worker.running) {
            BOOST_TEST((task.workflow == this->waiting));
        }
    }
}

// Guards against capacity that stays taken: the stored assignments of a cancelled workflow are not
// updated when its runs end.
BOOST_AUTO_TEST_CASE(ANewLeaderReleasesCancelledRunsThatHaveEnded)
{
    for (auto &[id, worker] : this->workers.workers) {
        worker.running.clear();
    }
    this->answerAll();
    this->run(1500ms);
    BOOST_TEST(this->workers.runningTasks() == 4U);
    this->finishAll();
    this->run(500ms);
    this->changeLeader();
    this->submit("next", {step(4)});
    this->run(1500ms);
    BOOST_TEST(this->workers.runningTasks() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
