// Tests of workflows with several occurrences.

#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

WorkflowSpec overdueSpec(std::uint32_t occurrences)
{
    WorkflowSpec spec;
    spec.payload = "payload";
    spec.steps = {DispatchFixture::step(1, 100)};
    spec.timetable = Timetable{.occurrences = occurrences, .first = {}, .interval = {}};
    return spec;
}

struct OverdueFixture : DispatchFixture
{
    std::size_t startCount() const
    {
        std::size_t starts = 0;
        for (const auto &[id, worker] : this->workers.workers) {
            starts += worker.starts;
        }
        return starts;
    }

    std::size_t liveTasks() const
    {
        const UpstreamStats stats = this->dispatcher.stats().at("upstream");
        return stats.runs + stats.tasksWaiting;
    }

    std::size_t storedOccurrences(const WorkflowId &id) const
    {
        std::size_t stored = 0;
        this->state.visitWorkflow(
            id, [&](const WorkflowRecord &workflow) { stored = workflow.occurrences.size(); });
        return stored;
    }

    /** Ends all runs as done, until the workflow has ended. */
    void finishWorkflow(const WorkflowId &id)
    {
        for (int round = 0; round < 1000 && this->phase(id) != WorkflowPhase::Completed; ++round) {
            this->finishAll();
            this->run(100ms);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OccurrenceTest, OverdueFixture)

// Guards against a submission that ends every leader for its memory: all occurrences that were due
// were created at once, by each leader again.
BOOST_AUTO_TEST_CASE(BeginsABoundedNumberOfOverdueOccurrences)
{
    const WorkflowId id = this->submit("a", overdueSpec(100'000));
    this->run(1000ms);
    BOOST_TEST(this->liveTasks() < 1000U);
    this->changeLeader();
    this->run(1000ms);
    BOOST_TEST(this->liveTasks() < 1000U);
    BOOST_TEST(this->storedOccurrences(id) < 1000U);
}

// Guards against the same from many small submissions.
BOOST_AUTO_TEST_CASE(BoundsTheOverdueOccurrencesOfAllWorkflows)
{
    for (int number = 0; number < 300; ++number) {
        WorkflowSpec spec = overdueSpec(1000);
        spec.steps.front().requiredLabel = "none";
        this->submit("w" + std::to_string(number), spec);
    }
    this->run(1000ms);
    BOOST_TEST(this->liveTasks() >= 300U);
    BOOST_TEST(this->liveTasks() < 1500U);
}

// Guards against occurrences that are skipped or run twice because they were held back, also by
// the next leader, and against the state of ended ones that is kept until the workflow ends.
BOOST_AUTO_TEST_CASE(RunsEachOverdueOccurrenceOnce)
{
    const WorkflowId id = this->submit("a", overdueSpec(600));
    for (int round = 0; round < 10; ++round) {
        this->run(100ms);
        this->finishAll();
    }
    this->run(300ms);
    BOOST_TEST(this->storedOccurrences(id) < 300U);
    this->changeLeader();
    this->finishWorkflow(id);
    BOOST_TEST((this->phase(id) == WorkflowPhase::Completed));
    BOOST_TEST(this->startCount() == 600U);
    BOOST_TEST(this->workers.violations.empty());
}

// Guards against a workflow that gets no turn while others have used up the bound.
BOOST_AUTO_TEST_CASE(LetsEachWorkflowHaveOneOccurrence)
{
    for (int number = 0; number < 100; ++number) {
        WorkflowSpec spec = overdueSpec(1000);
        spec.steps.front().requiredLabel = "none";
        this->submit("w" + std::to_string(number), spec);
    }
    this->run(500ms);
    const WorkflowId id = this->submit("z", overdueSpec(3));
    this->finishWorkflow(id);
    BOOST_TEST((this->phase(id) == WorkflowPhase::Completed));
    BOOST_TEST(this->startCount() == 3U);
}

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
