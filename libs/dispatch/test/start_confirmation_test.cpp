// Tests of what the cell takes as proof that a workflow has begun. Callers saw too small a count of
// waiting work when the assignment of a run was taken for its start.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** The platform's bound on how old a count may be. */
constexpr std::chrono::milliseconds maxCountAge{2000};

struct StartConfirmationFixture : DispatchFixture
{
    void submitMany(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            this->submit("w" + std::to_string(number), {step(1)});
        }
    }

    void changeWorkers(const std::function<void(FakeWorker &)> &change)
    {
        for (auto &[id, worker] : this->workers.workers) {
            change(worker);
        }
    }

    std::size_t waitingCount() const
    {
        return this->state.queuedCount("queue");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StartConfirmationTest, StartConfirmationFixture)

BOOST_AUTO_TEST_CASE(CountsWorkAsWaitingWhileItsStartsGetNoAnswer)
{
    this->changeWorkers([](FakeWorker &worker) { worker.startsUnanswered = true; });
    this->submitMany(10);
    for (std::chrono::milliseconds passed{0}; passed < 6000ms; passed += 100ms) {
        this->run(100ms);
        BOOST_TEST(this->waitingCount() == 10U);
    }
    BOOST_TEST(!this->workers.delayedStarts.empty());
    BOOST_TEST((this->phase(WorkflowId("w0")) == WorkflowPhase::Queued));
    this->changeWorkers([](FakeWorker &worker) { worker.startsUnanswered = false; });
    this->run(6000ms);
    BOOST_TEST(this->workers.runningTasks() == 10U);
    BOOST_TEST(this->waitingCount() == 0U);
    BOOST_TEST((this->phase(WorkflowId("w0")) == WorkflowPhase::Running));
}

BOOST_AUTO_TEST_CASE(CountsWorkAsWaitingWhileWorkersRefuseItsStarts)
{
    this->changeWorkers([](FakeWorker &worker) { worker.startResult = StartResult::Unhealthy; });
    this->submitMany(10);
    this->run(6000ms);
    BOOST_TEST(this->waitingCount() == 10U);
}

BOOST_AUTO_TEST_CASE(CountsWorkAsWaitingUnderANewLeaderThatHasHeardNothing)
{
    this->changeWorkers([](FakeWorker &worker) { worker.startsUnanswered = true; });
    this->submitMany(10);
    this->run(500ms);
    this->changeWorkers([](FakeWorker &worker) { worker.unresponsive = true; });
    this->changeLeader();
    BOOST_TEST(this->waitingCount() == 10U);
    this->run(3000ms);
    BOOST_TEST(this->waitingCount() == 10U);
}

BOOST_AUTO_TEST_CASE(TakesTheReportOfARunForItsStartIfTheAnswerWasLost)
{
    this->changeWorkers([](FakeWorker &worker) { worker.startsUnanswered = true; });
    this->submitMany(4);
    this->run(100ms);
    this->workers.deliverDelayedStarts();
    BOOST_TEST(this->workers.runningTasks() == 4U);
    this->run(maxCountAge);
    BOOST_TEST(this->waitingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(TakesTheEndOfARunForItsStartIfNothingElseWasHeard)
{
    this->changeWorkers([](FakeWorker &worker) { worker.startsUnanswered = true; });
    const WorkflowId id = this->submit("w", {step(1)});
    this->run(100ms);
    BOOST_REQUIRE(this->workers.delayedStarts.size() == 1U);
    const InstanceId worker = this->workers.delayedStarts.front().first;
    this->changeWorkers([](FakeWorker &silent) { silent.renewalsUnanswered = true; });
    this->workers.deliverDelayedStarts();
    this->workers.end(worker, task(id, 0), EndKind::LeaseExpired);
    this->run(300ms);
    BOOST_TEST(this->waitingCount() == 1U);
    this->changeWorkers([](FakeWorker &silent) { silent.renewalsUnanswered = false; });
    this->run(3000ms);
    BOOST_TEST(this->waitingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(TakesTheReportOfAReleasedRunForItsStart)
{
    this->changeWorkers([](FakeWorker &worker) { worker.startsUnanswered = true; });
    this->submit("w", {step(1)});
    this->run(100ms);
    const InstanceId holder = this->workers.delayedStarts.front().first;
    this->workers.deliverDelayedStarts();
    this->changeWorkers([](FakeWorker &worker) { worker.unresponsive = true; });
    this->run(24'000ms);
    BOOST_TEST(this->dispatcher.stats().at("upstream").runs == 0U);
    BOOST_TEST(this->waitingCount() == 1U);
    this->changeWorkers([](FakeWorker &worker) { worker.unresponsive = false; });
    // After so long a silence, the worker is forgotten until it is announced again.
    this->announce(holder, [](WorkerRecord & /*record*/) {});
    this->run(3000ms);
    BOOST_TEST(this->waitingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(ANewLeaderLearnsOfStartsThatWereNotStored)
{
    this->submitMany(4);
    this->run(100ms);
    BOOST_TEST(this->workers.runningTasks() == 4U);
    this->log.leads = false;
    this->run(1000ms);
    BOOST_TEST(this->waitingCount() == 4U);
    this->log.leads = true;
    this->changeLeader();
    this->run(maxCountAge);
    BOOST_TEST(this->waitingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(StoresAStartAgainThatWasNotStored)
{
    this->submitMany(4);
    this->run(100ms);
    const std::size_t proposalsBefore = this->log.proposals;
    this->log.leads = false;
    this->run(1200ms);
    BOOST_TEST(this->log.proposals > proposalsBefore);
    BOOST_TEST(this->waitingCount() == 4U);
    this->log.leads = true;
    this->run(maxCountAge);
    BOOST_TEST(this->waitingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(StoresTheStartsOfManyWorkflowsTogether)
{
    this->run(300ms);
    this->submitMany(30);
    this->run(100ms);
    BOOST_TEST(this->workers.runningTasks() == 30U);
    const std::size_t proposalsBefore = this->log.proposals;
    this->run(maxCountAge);
    BOOST_TEST(this->waitingCount() == 0U);
    BOOST_TEST(this->log.proposals - proposalsBefore == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
