// Tests of workers whose address a later worker with another id has taken.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** A cell with one worker, which has got a start that it never answers. */
struct ReplacementFixture : DispatchFixture
{
    ReplacementFixture()
        : DispatchFixture(1)
    {
        FakeWorker &first = this->workers.workers[workerId(0)];
        first.startsUnanswered = true;
        this->submit("a", {step(1)});
        this->run(100ms);
        BOOST_REQUIRE(this->workers.delayedStarts.size() == 1U);
        first.unresponsive = true;
    }

    /** Announces a worker with another id at the address of the first one. */
    void replaceWorker(std::size_t number)
    {
        WorkerRecord record = this->workers.workers[workerId(0)].record;
        record.id = workerId(number);
        record.incarnation += 1s * number;
        this->workers.add(record);
        this->announce(record.id, [](WorkerRecord &) {});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReplacementTest, ReplacementFixture)

// Each announcement at the address put off the release of the run by 15 s, so a task whose worker
// had crashed waited for as long as its successors came and went.
BOOST_AUTO_TEST_CASE(ReleasesARunThoughSuccessorsOfItsWorkerAnnounceThemselvesAgain)
{
    for (std::size_t number = 1; number <= 4; ++number) {
        this->replaceWorker(number);
        this->run(3000ms);
        this->announce(workerId(number), [](WorkerRecord &record) { record.labels.insert("new"); });
        BOOST_TEST(this->workers.runningTasks() == 0U);
        this->run(500ms);
        this->workers.workers[workerId(number)].unresponsive = number < 4;
    }
    this->run(3000ms);
    BOOST_TEST(this->workers.runningTasks() == 1U);
    BOOST_TEST(this->workers.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
