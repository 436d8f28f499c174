// Tests of the numbers by which a leader lets workers forget their ends. Each incarnation of a
// worker counts its ends from one, so a number that was meant for an earlier one may hide those of
// the next.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** One worker, which has reported an end, and runs another task. */
struct AcknowledgementFixture : DispatchFixture
{
    AcknowledgementFixture()
        : DispatchFixture(1)
    {
        this->submit("a", {DispatchFixture::step(1)});
        this->run(300ms);
        this->finishAll();
        this->run(300ms);
        BOOST_REQUIRE(this->worker.acknowledged == 1U);
        this->submit("b", {DispatchFixture::step(1)});
        this->run(300ms);
        BOOST_REQUIRE(this->worker.running.size() == 1U);
    }

    /** Restarts the worker under its id; nobody knows of it yet. */
    void restart() const
    {
        this->worker.running.clear();
        this->worker.ended.clear();
        this->worker.refusedRuns.clear();
        this->worker.lastEnd = 0;
        this->worker.acknowledged = 0;
        this->worker.fence = FencingToken(0);
        this->worker.record.incarnation += 5s;
    }

    FakeWorker &worker = this->workers.workers[workerId(0)];
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AcknowledgementTest, AcknowledgementFixture)

// Guards against a repeated acknowledgement, which the worker's next incarnation takes for its own
// ends: it forgets the first of them unread, and their tasks run again although they were done.
BOOST_AUTO_TEST_CASE(DoesNotAcknowledgeEndsOfAnEarlierIncarnation)
{
    this->worker.unresponsive = true;
    this->run(600ms);
    this->restart();
    this->worker.unresponsive = false;
    this->run(2800ms);
    BOOST_TEST(this->worker.acknowledged == 0U);

    this->announce(workerId(0), [](WorkerRecord & /*record*/) {});
    this->run(1000ms);
    const std::size_t starts = this->worker.starts;
    BOOST_REQUIRE(this->worker.running.size() == 1U);
    this->finishAll();
    this->run(500ms);
    BOOST_TEST((this->phase(WorkflowId("b")) == WorkflowPhase::Completed));
    BOOST_TEST(this->worker.starts == starts);
}

// Guards against an acknowledgement that is sent again although its renewal got no answer: the
// worker may have restarted meanwhile.
BOOST_AUTO_TEST_CASE(RepeatsAnAcknowledgementOnlyAfterTheWorkerHasAnswered)
{
    this->log.commitsPaused = true;
    this->finishAll();
    this->run(200ms);
    this->worker.unresponsive = true;
    this->log.commitsPaused = false;
    this->log.commitPending();
    this->run(300ms);
    this->restart();
    this->worker.unresponsive = false;
    this->run(2000ms);
    BOOST_TEST(this->worker.acknowledged == 0U);
}

// Guards against ends that are never acknowledged, which the worker lists again and again.
BOOST_AUTO_TEST_CASE(AcknowledgesAgainOnceTheSameIncarnationAnswers)
{
    this->worker.unresponsive = true;
    this->run(3000ms);
    this->worker.unresponsive = false;
    this->finishAll();
    this->run(3000ms);
    BOOST_TEST(this->worker.acknowledged == 2U);
    BOOST_TEST(this->worker.ended.empty());
}

BOOST_AUTO_TEST_SUITE_END()
