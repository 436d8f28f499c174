// Tests of a new leader that recovers runs on workers whose restart the earlier leader had not
// learned of when it sent the starts. The worker's next incarnation may have carried them out.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** Two workers restart unnoticed, and one of them then carries out the start of the only task. */
struct RecoveryFixture : DispatchFixture
{
    RecoveryFixture()
    {
        this->workers.acceptsAnyIncarnation = true;
        this->log.commitsPaused = true;
        const WorkflowId id = this->submit("a", {DispatchFixture::step(1)});
        this->key = DispatchFixture::task(id, 0);
        this->run(100ms);
        for (auto &[worker, fake] : this->workers.workers) {
            fake.record.incarnation += 5s;
            fake.lastEnd = 0;
            fake.fence = FencingToken(0);
            fake.renewalsUnanswered = true;
        }
        this->run(100ms);
        this->log.commitsPaused = false;
        this->log.commitPending();
        this->timers.advance(5ms);
        for (auto &[worker, fake] : this->workers.workers) {
            fake.renewalsUnanswered = false;
            if (fake.running.contains(this->key)) {
                this->holder = &fake;
            }
        }
        BOOST_REQUIRE(this->holder != nullptr);
    }

    std::size_t startCount() const
    {
        std::size_t starts = 0;
        for (const auto &[id, worker] : this->workers.workers) {
            starts += worker.starts;
        }
        return starts;
    }

    TaskKey key;
    FakeWorker *holder = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RecoveryTest, RecoveryFixture)

// Guards against a second run: the new leader learns of the restart from the report that lists the
// run, and must not take the run for one of the earlier incarnation.
BOOST_AUTO_TEST_CASE(KeepsARunThatTheReportOfAnUnknownRestartLists)
{
    this->changeLeader();
    this->run(2000ms);
    BOOST_TEST(this->startCount() == 1U);
    BOOST_TEST(this->holder->running.contains(this->key));
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against the same second run if the restart was stored before the new leader began: the
// stored assignment then names an earlier incarnation than the worker's record.
BOOST_AUTO_TEST_CASE(KeepsARunWhoseWorkerAnnouncedItsRestartBeforeTheTerm)
{
    this->dispatcher.endTerm();
    this->announce(this->holder->record.id, [](WorkerRecord &) {});
    this->changeLeader();
    this->run(2000ms);
    BOOST_TEST(this->startCount() == 1U);
    BOOST_TEST(this->holder->running.contains(this->key));
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against a second run while the restarted worker does not respond: the lease in the start
// was a time on the clock of the earlier incarnation and ends later on the new clock.
BOOST_AUTO_TEST_CASE(WaitsForDelayedOrdersIfTheRestartedWorkerDoesNotRespond)
{
    this->dispatcher.endTerm();
    this->announce(this->holder->record.id, [](WorkerRecord &) {});
    this->holder->unresponsive = true;
    this->changeLeader();
    // The start may arrive for 15 s, and then bring the longest lease of 6 s.
    this->run(18'000ms);
    BOOST_TEST(this->startCount() == 1U);
    this->holder->running.clear();
    this->run(6000ms);
    BOOST_TEST(this->startCount() == 2U);
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against a second run while the first one goes on under the longest lease that the worker
// accepts: the lease end in its start was a time on the clock of the earlier incarnation, which is
// far ahead on the new clock.
BOOST_AUTO_TEST_CASE(WaitsForTheLongestLeaseOfARestartedWorkerThatTookAnEarlierOrder)
{
    this->changeLeader();
    this->run(200ms);
    BOOST_REQUIRE(this->holder->running.contains(this->key));
    this->holder->unresponsive = true;
    this->run(5600ms);
    BOOST_TEST(this->startCount() == 1U);
    this->holder->running.clear();
    this->run(2000ms);
    BOOST_TEST(this->startCount() == 2U);
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against waiting for a run that has ended with the worker's earlier incarnation: the report
// of the next one shows at once that the run is gone.
BOOST_AUTO_TEST_CASE(ReschedulesARunThatTheReportOfTheRestartDoesNotList)
{
    this->holder->running.clear();
    this->changeLeader();
    this->run(500ms);
    BOOST_TEST(this->startCount() == 2U);
    BOOST_TEST(this->workers.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EarlierLeaseTest)

// Guards against a second run on a worker that had restarted just before the change of leader: a
// renewal for its earlier incarnation gave it the longest lease, and it never answers the new
// leader.
BOOST_AUTO_TEST_CASE(WaitsForTheLongestLeaseOfAWorkerThatDoesNotAnswerTheNewLeader)
{
    DispatchFixture cell(2);
    for (auto &[id, worker] : cell.workers.workers) {
        worker.lastEnd = 0;
        worker.fence = FencingToken(0);
        cell.announce(id, [](WorkerRecord &record) { record.incarnation += 5s; });
    }
    cell.submit("a", {DispatchFixture::step(1)});
    cell.run(300ms);
    FakeWorker *holder = nullptr;
    for (auto &[id, worker] : cell.workers.workers) {
        holder = worker.running.empty() ? holder : &worker;
    }
    BOOST_REQUIRE(holder != nullptr);
    holder->unresponsive = true;
    cell.changeLeader();
    cell.run(5900ms);
    BOOST_TEST(cell.workers.violations.empty());
    BOOST_TEST(cell.workers.runningTasks() == 1U);
    holder->running.clear();
    cell.run(1000ms);
    BOOST_TEST(cell.workers.runningTasks() == 1U);
}

// Guards against the usual lease being assumed for a worker that answers the new leader, if it
// began a moment ago or is known to have restarted.
BOOST_AUTO_TEST_CASE(AssumesTheLongestLeaseOfAWorkerThatMayHaveHadOrdersForAnEarlierIncarnation)
{
    FenceConfirmation confirmation{.timeSinceRestart = 20s,
                                   .at = SteadyTime(100s),
                                   .termBegan = SteadyTime(99s),
                                   .hasRestarted = false,
                                   .usualLease = 4500ms,
                                   .longestLease = 10'000ms};
    BOOST_TEST((earlierLeasesExpiry(confirmation) >= SteadyTime(110s)));
    confirmation.timeSinceRestart = 30s;
    BOOST_TEST((earlierLeasesExpiry(confirmation) >= SteadyTime(103'500ms)));
    BOOST_TEST((earlierLeasesExpiry(confirmation) < SteadyTime(104s)));
    confirmation.hasRestarted = true;
    BOOST_TEST((earlierLeasesExpiry(confirmation) >= SteadyTime(110s)));
    confirmation.hasRestarted = false;
    confirmation.timeSinceRestart.reset();
    BOOST_TEST((earlierLeasesExpiry(confirmation) < SteadyTime(104s)));
}

// Guards against a second run while a lease of an earlier leader goes on: the new one computed its
// own first lease from a heartbeat that was seconds old, and then took the end of that lease, which
// was in the past on the worker's clock, for the end of all leases.
BOOST_AUTO_TEST_CASE(WaitsForLeasesOfEarlierLeadersAfterAnOldHeartbeat)
{
    DispatchFixture cell(1);
    FakeWorker &worker = cell.workers.workers[DispatchFixture::workerId(0)];
    const WorkflowId id = cell.submit("a", {DispatchFixture::step(2)});
    cell.run(300ms);
    BOOST_REQUIRE(worker.running.size() == 2U);
    cell.log.leads = false;
    cell.changeLeader();
    cell.timers.settle();
    cell.log.leads = true;
    cell.timers.advance(70ms);
    // The report of an end delays the next renewal beyond the next check of leases.
    cell.workers.end(worker.record.id, DispatchFixture::task(id, 0), EndKind::Done);
    cell.dispatcher.heartbeatReceived(worker.record, cell.workers.clockOf(worker) - 7s);
    cell.timers.advance(60ms);
    BOOST_TEST(worker.starts == 2U);
    cell.run(1000ms);
    BOOST_TEST(worker.starts == 2U);
    BOOST_TEST(worker.running.contains(DispatchFixture::task(id, 1)));
}

BOOST_AUTO_TEST_SUITE_END()
