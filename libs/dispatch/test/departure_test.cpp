// Tests of workers that deregister while they run tasks. Such a worker ends some seconds later, or
// at once when it has the confirmation, which may be lost.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** A cell whose only task runs on one worker and can move to the other one. */
struct DepartureFixture : DispatchFixture
{
    DepartureFixture()
    {
        const WorkflowId id = this->submit("a", {DispatchFixture::step(1)});
        this->run(300ms);
        this->key = DispatchFixture::task(id, 0);
        for (auto &[worker, fake] : this->workers.workers) {
            if (fake.running.contains(this->key)) {
                this->leaving = &fake;
            } else {
                this->other = &fake;
            }
        }
        BOOST_REQUIRE(this->leaving != nullptr);
        this->withoutHeartbeats.insert(this->leaving->record.id);
    }

    TaskKey key;
    FakeWorker *leaving = nullptr;
    FakeWorker *other = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DepartureTest, DepartureFixture)

// Guards against a second run beside one on a worker that deregistered, got no confirmation and
// goes on: only its lease shows when its run has ended.
BOOST_AUTO_TEST_CASE(WaitsForTheLeaseOfALeavingWorkerThatDoesNotRespond)
{
    this->leaving->unresponsive = true;
    this->deregister(this->leaving->record.id);
    this->run(3000ms);
    BOOST_TEST(this->other->starts == 0U);
    BOOST_TEST(this->workers.violations.empty());
    this->leaving->running.clear();
    this->run(3000ms);
    BOOST_TEST(this->other->running.contains(this->key));
}

// Guards against waiting for the lease although the worker's own reply shows that its run has
// stopped, and against the loss of the checkpoint of that run.
BOOST_AUTO_TEST_CASE(ReschedulesTheTaskOnceALeavingWorkerHasReportedItsEnd)
{
    this->deregister(this->leaving->record.id);
    this->run(300ms);
    BOOST_TEST(this->leaving->running.empty());
    BOOST_REQUIRE(this->other->running.contains(this->key));
    BOOST_TEST(this->other->checkpoints.back() == "saved-at-stop");
    BOOST_TEST(this->workers.violations.empty());
    BOOST_TEST(this->dispatcher.stats().at("upstream").workers == 1U);
}

// Guards against leases that renewals extend while a leaving worker goes on: each extension delays
// the next run of its tasks if the worker ends meanwhile.
BOOST_AUTO_TEST_CASE(DoesNotExtendTheLeaseOfALeavingWorker)
{
    this->leaving->stopsUnanswered = true;
    this->deregister(this->leaving->record.id);
    this->run(100ms);
    const WorkerTime granted = this->leaving->leaseEnd;
    this->run(2000ms);
    BOOST_TEST((this->leaving->leaseEnd == granted));
    BOOST_TEST(this->leaving->running.contains(this->key));
}

// Guards against the same second run one leader later: the worker is no longer in the replicated
// state, but the assignment to it is.
BOOST_AUTO_TEST_CASE(ANewLeaderWaitsForTheLeaseOfAWorkerThatHasLeft)
{
    this->leaving->unresponsive = true;
    this->deregister(this->leaving->record.id);
    this->changeLeader();
    this->run(5900ms);
    BOOST_TEST(this->other->starts == 0U);
    BOOST_TEST(this->workers.violations.empty());
    this->leaving->running.clear();
    this->run(1000ms);
    BOOST_TEST(this->other->running.contains(this->key));
}

// Guards against new tasks on a leaving worker after a heartbeat that it sent before it drained,
// and that arrives after its deregistration.
BOOST_AUTO_TEST_CASE(PlacesNothingOnALeavingWorkerAfterADelayedHeartbeat)
{
    this->leaving->stopsUnanswered = true;
    this->deregister(this->leaving->record.id);
    this->announce(this->leaving->record.id, [](WorkerRecord &) {});
    this->submit("b", {DispatchFixture::step(4, 8000)});
    this->run(2000ms);
    BOOST_TEST(this->leaving->starts == 1U);
    BOOST_TEST(this->other->starts == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
