// Tests of workflows with several occurrences.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(OccurrenceTest, DispatchFixture)

// The new leader took the stored assignment of a later occurrence for proof that all earlier ones
// had begun, so an occurrence that still waited for a place never ran.
BOOST_AUTO_TEST_CASE(ANewLeaderBeginsAnOccurrenceThatWaitsWhileALaterOneRuns)
{
    WorkflowSpec spec;
    spec.payload = "payload";
    spec.steps = {step(1)};
    spec.timetable = Timetable{.occurrences = 2, .first = {}, .interval = 1ms};
    const WorkflowId id = this->submit("a", spec);
    const TaskKey later{.workflow = id, .occurrence = 1, .step = 0, .index = 0};
    const WorkerRecord &worker = this->workers.workers.at(workerId(0)).record;
    this->log.propose(AssignRuns{.runs = {RunAssignment{.task = later,
                                                        .run = RunNumber(1),
                                                        .worker = worker.id,
                                                        .incarnation = worker.incarnation,
                                                        .checkpoint = {}}}},
                      [](const Result<CommandOutcome> & /*result*/) {});
    this->log.commitPending();
    this->changeLeader();
    this->run(3000ms);
    BOOST_TEST(this->workers.runningTasks() == 2U);
    this->finishAll();
    this->run(1000ms);
    BOOST_TEST((this->phase(id) == WorkflowPhase::Completed));
}

BOOST_AUTO_TEST_SUITE_END()
