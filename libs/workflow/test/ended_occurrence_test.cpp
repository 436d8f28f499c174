// Tests of the replicated state of occurrences that have ended: only their numbers are kept, since
// a workflow may have millions.

#include <random>
#include <set>

#include <boost/test/unit_test.hpp>
#include <codec/codec.h>
#include <workflow/workflow.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** A workflow with three occurrences of one task. */
struct EndedOccurrenceFixture
{
    EndedOccurrenceFixture()
    {
        WorkflowSpec spec;
        spec.steps.resize(1);
        spec.steps.front().count = 1;
        spec.timetable.occurrences = 3;
        this->apply(AcceptWorkflow{.id = this->id,
                                   .queue = "queue",
                                   .upstream = "upstream",
                                   .customer = CustomerId("customer"),
                                   .attempts = 2,
                                   .spec = encodeRecord(spec)});
    }

    CommandOutcome apply(WorkflowCommand command)
    {
        return this->state.apply(
            ProposedCommand{.origin = 1, .number = 1, .at = {}, .command = std::move(command)});
    }

    TaskKey key(std::uint32_t occurrence) const
    {
        return TaskKey{.workflow = this->id, .occurrence = occurrence, .step = 0, .index = 0};
    }

    bool assign(std::uint32_t occurrence, std::uint32_t run)
    {
        return this
            ->apply(AssignRuns{.runs = {RunAssignment{.task = this->key(occurrence),
                                                      .run = RunNumber(run),
                                                      .worker = InstanceId("worker"),
                                                      .incarnation = {},
                                                      .checkpoint = {}}}})
            .accepted.front();
    }

    bool end(std::uint32_t occurrence, std::uint32_t run)
    {
        return this
            ->apply(EndRuns{.ends = {RunEnd{.task = this->key(occurrence),
                                            .run = RunNumber(run),
                                            .result = StoredResult::Done,
                                            .checkpoint = {}}}})
            .accepted.front();
    }

    std::size_t storedOccurrences() const
    {
        std::size_t stored = 0;
        this->state.visitWorkflow(
            this->id, [&](const WorkflowRecord &record) { stored = record.occurrences.size(); });
        return stored;
    }

    void checkTheRest()
    {
        BOOST_TEST(this->storedOccurrences() == 0U);
        BOOST_TEST(!this->assign(1, 2));
        BOOST_TEST(!this->end(1, 1));
        for (const std::uint32_t occurrence : {0U, 2U}) {
            BOOST_TEST(this->assign(occurrence, 1));
            BOOST_TEST(this->end(occurrence, 1));
        }
        BOOST_TEST((this->state.status(this->id)->phase == WorkflowPhase::Completed));
    }

    WorkflowId id{"a"};
    WorkflowState state{1min};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndedOccurrenceTest, EndedOccurrenceFixture)

// Guards against an occurrence that begins again once its state is gone.
BOOST_AUTO_TEST_CASE(RefusesRunsOfAnOccurrenceThatHasEnded)
{
    this->assign(1, 1);
    BOOST_TEST(this->end(1, 1));
    this->checkTheRest();
}

BOOST_AUTO_TEST_CASE(RemembersEndedOccurrencesInASnapshot)
{
    this->assign(1, 1);
    this->end(1, 1);
    const std::string snapshot = this->state.snapshot();
    BOOST_REQUIRE(ok(this->state.restore(snapshot)));
    BOOST_TEST(this->state.snapshot() == snapshot);
    this->checkTheRest();
}

// Guards against an occurrence that runs again after an upgrade: earlier snapshots hold the whole
// state of ended occurrences, and no list of their numbers.
BOOST_AUTO_TEST_CASE(TakesEndedOccurrencesFromAnEarlierVersionsSnapshot)
{
    this->assign(1, 1);
    this->end(1, 1);
    Result<StoredState> stored = decodeRecord<StoredState>(this->state.snapshot());
    BOOST_REQUIRE(ok(stored));
    StoredState &earlier = valueOf(stored);
    earlier.version = 3;
    StepState step;
    step.tasks.resize(1);
    step.tasks.front().phase = StoredTaskPhase::Done;
    step.done = 1;
    earlier.workflows.front().record.occurrences[1] = {step};
    BOOST_REQUIRE(ok(this->state.restore(encodeRecord(earlier))));
    this->checkTheRest();
}

BOOST_AUTO_TEST_CASE(HoldsTheSameNumbersAsASetOfThem)
{
    std::minstd_rand random(7);
    OccurrenceSet ranges;
    std::set<std::uint32_t> numbers;
    for (int step = 0; step < 300; ++step) {
        const auto number = static_cast<std::uint32_t>(random() % 100);
        ranges.insert(number);
        numbers.insert(number);
        for (std::uint32_t from = 0; from < 102; ++from) {
            std::uint32_t missing = from;
            while (numbers.contains(missing)) {
                ++missing;
            }
            BOOST_REQUIRE(ranges.contains(from) == numbers.contains(from));
            BOOST_REQUIRE(ranges.firstMissing(from) == missing);
        }
    }
    BOOST_TEST(ranges.ranges.size() <= 100U - numbers.size() + 1U);
}

BOOST_AUTO_TEST_SUITE_END()
