// Tests of what the replicated state tells a new leader of workers that have restarted: such a
// worker may have carried out an order to its earlier incarnation, with a lease that ends late.

#include <boost/test/unit_test.hpp>
#include <codec/codec.h>
#include <workflow/workflow.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

struct WorkerRestartFixture
{
    void apply(WorkflowCommand command)
    {
        this->state.apply(ProposedCommand{
            .origin = 1, .number = 1, .at = this->now, .command = std::move(command)});
    }

    void announce(std::chrono::milliseconds incarnation, const std::string &id = "worker")
    {
        WorkerRecord record;
        record.id = InstanceId(id);
        record.incarnation = WorkerIncarnation(incarnation);
        this->apply(AnnounceWorker{.worker = record});
    }

    void forget(std::chrono::milliseconds incarnation, const std::string &id = "worker")
    {
        this->apply(
            ForgetWorker{.id = InstanceId(id), .incarnation = WorkerIncarnation(incarnation)});
    }

    std::optional<std::chrono::milliseconds>
    sinceRestart(std::chrono::milliseconds incarnation) const
    {
        return this->state.timeSinceRestart(InstanceId("worker"), WorkerIncarnation(incarnation));
    }

    CellTime now{1min};
    WorkflowState state{1min};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerRestartTest, WorkerRestartFixture)

BOOST_AUTO_TEST_CASE(KnowsOfNoRestartOfANewWorker)
{
    this->announce(1s);
    BOOST_TEST(!this->sinceRestart(1s).has_value());
}

BOOST_AUTO_TEST_CASE(TellsHowLongAgoAWorkerRestarted)
{
    this->announce(1s);
    this->now += 10s;
    this->announce(11s);
    this->now += 5s;
    // Commands for other workers advance the time of the cell.
    this->announce(1s, "other");
    BOOST_TEST((this->sinceRestart(11s) == 5s));
    BOOST_TEST(!this->sinceRestart(1s).has_value());
    BOOST_REQUIRE(ok(this->state.restore(this->state.snapshot())));
    BOOST_TEST((this->sinceRestart(11s) == 5s));
}

// Guards against a worker that leaves and returns under its id, and is taken for a new one.
BOOST_AUTO_TEST_CASE(RemembersAWorkerThatWasRemovedAMomentAgo)
{
    this->announce(1s);
    this->forget(1s);
    this->now += 2s;
    this->announce(3s);
    BOOST_TEST((this->sinceRestart(3s) == 0s));
}

// Guards against memory that grows with each worker that ever left.
BOOST_AUTO_TEST_CASE(ForgetsAWorkerThatWasRemovedLongAgo)
{
    this->announce(1s);
    this->forget(1s);
    this->now += 5min;
    this->announce(1s, "other");
    this->forget(1s, "other");
    this->announce(400s);
    BOOST_TEST(!this->sinceRestart(400s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
