// Tests of starts that get no answer and are carried out late, by the worker that they were sent to
// or by a later incarnation under the same id, which knows nothing of a stop.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** The start of the only task gets no answer; its worker answers everything else. */
struct DelayedStartFixture : DispatchFixture
{
    explicit DelayedStartFixture(bool withTicket = false)
    {
        this->workers.acceptsAnyIncarnation = true;
        if (withTicket) {
            this->changeConfig([](RoutingConfig &next) {
                next.queues.front().advice = AdviserTiming{
                    .decision = 10ms, .timePerWorker = 1ms, .ticketValidity = 1500ms};
            });
        }
        for (auto &[worker, fake] : this->workers.workers) {
            fake.startsUnanswered = true;
        }
        this->key = DispatchFixture::task(this->submit("a", {DispatchFixture::step(1)}), 0);
        this->run(300ms);
        BOOST_REQUIRE(this->workers.delayedStarts.size() == 1U);
        this->first = &this->workers.workers[this->workers.delayedStarts.front().first];
        for (auto &[worker, fake] : this->workers.workers) {
            fake.startsUnanswered = &fake == this->first;
        }
    }

    /** Restarts the first worker under its id; nobody knows of it yet. */
    void restartFirst() const
    {
        this->workers.restartUnseen(*this->first);
        this->first->startsUnanswered = false;
    }

    bool runsElsewhere() const
    {
        for (const auto &[id, fake] : this->workers.workers) {
            if (&fake != this->first && fake.running.contains(this->key)) {
                return true;
            }
        }
        return false;
    }

    TaskKey key;
    FakeWorker *first = nullptr;
};

struct TicketedStartFixture : DelayedStartFixture
{
    TicketedStartFixture()
        : DelayedStartFixture(true)
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DelayedStartTest)

// Guards against a second run beside a delayed start that the worker's next incarnation carries
// out: an answered stop and a report without the run bind one incarnation only.
BOOST_FIXTURE_TEST_CASE(KeepsTheTaskOffOtherWorkersWhileTheNextIncarnationMayStartIt,
                        DelayedStartFixture)
{
    this->run(3000ms);
    this->restartFirst();
    this->workers.deliverDelayedStarts();
    BOOST_TEST(this->workers.violations.empty());
    this->announce(this->first->record.id, [](WorkerRecord &) {});
    this->run(3000ms);
    BOOST_TEST(this->workers.runningTasks() == 1U);
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against a needless wait after the restart: once the next incarnation has answered a
// renewal with a higher token, it refuses the delayed start.
BOOST_FIXTURE_TEST_CASE(RunsTheTaskOnceTheNextIncarnationRefusesTheStart, DelayedStartFixture)
{
    this->run(3000ms);
    this->restartFirst();
    this->announce(this->first->record.id, [](WorkerRecord &) {});
    this->run(500ms);
    BOOST_TEST(this->workers.runningTasks() == 1U);
    this->workers.deliverDelayedStarts();
    BOOST_TEST(this->workers.violations.empty());
    BOOST_TEST(this->workers.runningTasks() == 1U);
}

// Guards against a report that counts although its renewal carried the token from before the
// restart: the worker had not seen the higher token and still took the delayed start.
BOOST_FIXTURE_TEST_CASE(TakesNoProofFromTheReportThatTellsOfTheRestart, DelayedStartFixture)
{
    this->run(1700ms);
    this->restartFirst();
    // The renewal in flight is answered by the new incarnation.
    this->timers.advance(11ms);
    this->workers.deliverDelayedStarts();
    BOOST_TEST(this->workers.violations.empty());
    this->run(3000ms);
    BOOST_TEST(this->workers.violations.empty());
    BOOST_TEST(this->workers.runningTasks() == 1U);
}

// Guards against a task that waits for seconds because one start was lost: the worker starts a run
// once at most, so the same start can be sent to it again.
BOOST_FIXTURE_TEST_CASE(SendsAnUnansweredStartToTheSameWorkerAgain, DelayedStartFixture)
{
    this->first->startsUnanswered = false;
    this->run(1000ms);
    BOOST_TEST(this->first->running.contains(this->key));
    BOOST_TEST(this->first->running[this->key].value == 1U);
    BOOST_TEST(!this->runsElsewhere());
}

// Guards against a second run if the repeated start failed on the worker and the delayed one is
// then carried out by the next incarnation, which does not know of the failure.
BOOST_FIXTURE_TEST_CASE(KeepsATaskThatFailedOffOtherWorkersWhileItsFirstStartIsDelayed,
                        DelayedStartFixture)
{
    this->first->startsUnanswered = false;
    this->run(1000ms);
    BOOST_REQUIRE(this->first->running.contains(this->key));
    this->workers.end(this->first->record.id, this->key, EndKind::Failed);
    this->run(3000ms);
    this->restartFirst();
    this->workers.deliverDelayedStarts();
    BOOST_TEST(this->workers.violations.empty());
    this->announce(this->first->record.id, [](WorkerRecord &) {});
    this->run(16'000ms);
    BOOST_TEST(this->workers.violations.empty());
    BOOST_TEST(this->workers.runningTasks() == 1U);
}

// Guards against a task that waits for good: no order is delayed for longer than 15 s.
BOOST_FIXTURE_TEST_CASE(RunsTheTaskOnceTheStartIsTooOld, DelayedStartFixture)
{
    this->run(10'000ms);
    const std::size_t sent = this->workers.delayedStarts.size();
    this->run(10'000ms);
    BOOST_TEST(!this->runsElsewhere());
    BOOST_TEST(this->workers.delayedStarts.size() == sent);
    this->first->startsUnanswered = false;
    this->run(5000ms);
    BOOST_TEST(this->workers.runningTasks() == 1U);
}

// Guards against a wait for a start that can't be carried out, as its ticket has expired.
BOOST_FIXTURE_TEST_CASE(RunsTheTaskElsewhereOnceTheTicketOfTheStartHasExpired, TicketedStartFixture)
{
    this->run(2500ms);
    BOOST_TEST(this->runsElsewhere());
}

// Guards against a second run beside one that an incarnation took of which nobody had heard, while
// the ticket of the start was valid: the lease end, a time on another clock, gave it the longest
// lease.
BOOST_FIXTURE_TEST_CASE(WaitsForTheLongestLeaseOfATicketedStartWithoutAnAnswer,
                        TicketedStartFixture)
{
    this->first->unresponsive = true;
    this->run(500ms);
    this->restartFirst();
    this->first->running[this->key] = RunNumber(1);
    this->run(5900ms);
    BOOST_TEST(!this->runsElsewhere());
    this->first->running.clear();
    this->run(3000ms);
    BOOST_TEST(this->runsElsewhere());
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against a run that is taken for ended with the incarnation that had reported it: an
// earlier copy of its start had reached the next one while the ticket was valid.
BOOST_FIXTURE_TEST_CASE(AsksTheNextIncarnationForARunIfOneOfItsStartsHadNoAnswer,
                        TicketedStartFixture)
{
    this->first->startsUnanswered = false;
    this->run(900ms);
    BOOST_REQUIRE(this->first->running.contains(this->key));
    BOOST_REQUIRE(!this->workers.delayedStarts.empty());
    this->restartFirst();
    this->workers.deliverDelayedStarts();
    this->first->renewalsUnanswered = true;
    this->run(800ms);
    this->first->renewalsUnanswered = false;
    this->announce(this->first->record.id, [](WorkerRecord & /*record*/) {});
    this->run(3000ms);
    BOOST_TEST(this->workers.runningTasks() == 1U);
    BOOST_TEST(this->first->running.contains(this->key));
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against a lease that renewals without an answer prolong for an incarnation that nobody
// has heard of: their end, a time on another clock, gives it the longest lease each time.
BOOST_FIXTURE_TEST_CASE(GrantsNoLeaseWhileRenewalsGetNoAnswer, DelayedStartFixture)
{
    this->first->startsUnanswered = false;
    this->run(1000ms);
    BOOST_REQUIRE(this->first->leaseOffered > WorkerTime{});
    this->first->renewalsUnanswered = true;
    this->run(2500ms);
    const std::size_t renewals = this->first->renewals;
    this->run(2000ms);
    BOOST_TEST(this->first->renewals > renewals);
    BOOST_TEST((this->first->leaseOffered == WorkerTime{}));
}

// Guards against equal tokens for two incarnations of a worker that left in between: the second one
// carried out the start that was sent to the first.
BOOST_FIXTURE_TEST_CASE(RaisesTheTokenOfAWorkerThatReturnsAfterItHasLeft, DelayedStartFixture)
{
    const InstanceId id = this->first->record.id;
    this->first->startsUnanswered = false;
    this->run(1000ms);
    this->finishAll();
    this->run(1000ms);
    const FencingToken before = this->first->fence;
    this->deregister(id);
    this->run(300ms);
    this->restartFirst();
    this->announce(id, [](WorkerRecord &) {});
    this->run(300ms);
    BOOST_TEST(this->first->fence.value > before.value);
}

// Guards against a second run beside one that a silent worker's next incarnation began at the last
// moment: nobody has heard of that, and the start has given it the longest lease.
BOOST_FIXTURE_TEST_CASE(WaitsForTheLeaseOfAStartThatArrivesAtTheLastMoment, DelayedStartFixture)
{
    this->first->unresponsive = true;
    this->run(14'000ms);
    BOOST_TEST(!this->runsElsewhere());
    this->restartFirst();
    this->first->running[this->key] = RunNumber(1);
    this->run(5900ms);
    BOOST_TEST(!this->runsElsewhere());
    this->first->running.clear();
    this->run(4000ms);
    BOOST_TEST(this->runsElsewhere());
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against the same if the restart was announced before the worker fell silent.
BOOST_FIXTURE_TEST_CASE(WaitsForTheLeaseOfALateStartOnAnIncarnationThatFellSilent,
                        DelayedStartFixture)
{
    this->run(1000ms);
    this->restartFirst();
    this->first->unresponsive = true;
    this->announce(this->first->record.id, [](WorkerRecord & /*record*/) {});
    this->run(12'500ms);
    this->first->running[this->key] = RunNumber(1);
    this->run(5900ms);
    BOOST_TEST(!this->runsElsewhere());
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against a cancelled task that runs on: the answer to the stop came from an incarnation
// that had ended, while the next one had carried out a delayed copy of the start.
BOOST_FIXTURE_TEST_CASE(RepeatsAStopThatAnEarlierIncarnationAnswered, DelayedStartFixture)
{
    this->first->startsUnanswered = false;
    this->run(1000ms);
    BOOST_REQUIRE(this->first->running.contains(this->key));
    BOOST_REQUIRE(!this->workers.delayedStarts.empty());
    this->cancel(WorkflowId("a"));
    this->restartFirst();
    this->workers.deliverDelayedStarts();
    BOOST_REQUIRE(this->first->running.contains(this->key));
    this->announce(this->first->record.id, [](WorkerRecord & /*record*/) {});
    this->run(3000ms);
    BOOST_TEST(!this->first->running.contains(this->key));
}

namespace {

/**
 * The run is held, as a report did not list it, and then its last start was carried out by an
 * incarnation that nobody has heard of.
 */
struct HeldRunFixture : DelayedStartFixture
{
    explicit HeldRunFixture(std::chrono::milliseconds renewalAnswerDelay = 0ms)
    {
        this->run(20'900ms);
        this->first->renewalAnswerDelay = renewalAnswerDelay;
        this->run(100ms);
        BOOST_REQUIRE(this->workers.runningTasks() == 0U);
        BOOST_REQUIRE(!this->workers.delayedStarts.empty());
        this->earlier = this->first->record;
        this->restartFirst();
        this->first->clockOffset = -30min;
        this->first->renewalsUnanswered = true;
        this->withoutHeartbeats.insert(this->first->record.id);
        this->workers.deliverDelayedStarts();
        BOOST_REQUIRE(this->first->running.contains(this->key));
    }

    WorkerRecord earlier;
};

/** The same with a renewal on its way, so that the next one is not due yet. */
struct HeldRunWithRenewalFixture : HeldRunFixture
{
    HeldRunWithRenewalFixture()
        : HeldRunFixture(5s)
    {
    }
};

} // namespace

// Guards against a late heartbeat of the earlier incarnation that is taken for a sign that no
// later one has begun the run.
BOOST_FIXTURE_TEST_CASE(TakesNoProofFromALateHeartbeatOfTheEarlierIncarnation, HeldRunFixture)
{
    this->first->unresponsive = true;
    for (int number = 0; number < 59; ++number) {
        this->dispatcher.heartbeatReceived(this->earlier, std::nullopt);
        this->run(100ms);
    }
    BOOST_TEST(!this->runsElsewhere());
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against the same by the answer to another start, which the later incarnation gave.
BOOST_FIXTURE_TEST_CASE(TakesNoProofFromTheAnswerToAnotherStart, HeldRunWithRenewalFixture)
{
    std::vector<InstanceId> others;
    for (const auto &[id, worker] : this->workers.workers) {
        if (&worker != this->first) {
            others.push_back(id);
        }
    }
    for (const InstanceId &id : others) {
        this->announce(id, [](WorkerRecord &record) { record.draining = true; });
    }
    this->run(1000ms);
    this->submit("b", {DispatchFixture::step(1, 100)});
    this->run(20ms);
    BOOST_REQUIRE(this->first->running.size() == 2U);
    this->first->unresponsive = true;
    for (const InstanceId &id : others) {
        this->announce(id, [](WorkerRecord &record) { record.draining = false; });
    }
    this->run(2000ms);
    BOOST_TEST(!this->runsElsewhere());
    BOOST_TEST(this->workers.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
