#include "cell_model.h"

#include <sstream>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace gooseberry;
using namespace gooseberry::test;

namespace {

constexpr int runs = 200;
constexpr int operationsPerRun = 5'000;

/** Returns the first rule that a faulty scheduler breaks within 20 runs, or "none". */
std::string ruleBrokenBy(const FaultInjection &faults, bool submitRefused = false,
                         bool commitTwice = false)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ModelSetup setup;
        setup.seed = seed;
        setup.operations = 2'000;
        setup.faults = faults;
        setup.submitRefused = submitRefused;
        setup.commitTwice = commitTwice;
        if (const auto broken = CellModel(setup).run()) {
            return *broken;
        }
    }
    return "none";
}

} // namespace

BOOST_AUTO_TEST_SUITE(SchedulerPropertyTest)

// Guards against sequences of submissions, task ends, worker losses, domain changes and limit
// changes after which the scheduler overcommits an instance, runs a task twice, exceeds a limit,
// splits a gang, starts a task in a domain taken out, starts a refused job or miscounts. Runs
// 1,000,000 operations. Each decision is checked as it is made; the whole state is compared every
// 250 operations.
BOOST_AUTO_TEST_CASE(KeepsAllRulesUnderRandomOperations)
{
    std::uint64_t committed = 0;
    rc::detail::TestParams parameters;
    parameters.seed = 20261204;
    parameters.maxSuccess = runs;
    parameters.disableShrinking = true;
    const auto result = rc::detail::checkTestable(
        [&committed] {
            ModelSetup setup;
            setup.seed = *rc::gen::arbitrary<std::uint64_t>();
            setup.operations = operationsPerRun;
            setup.instances = *rc::gen::inRange(2, 14);
            setup.teams = *rc::gen::inRange(2, 7);
            CellModel model(setup);
            const auto broken = model.run();
            committed += model.startsCommitted();
            if (broken) {
                RC_FAIL("rule broken: " + *broken + ", seed " + std::to_string(setup.seed)
                        + ", instances " + std::to_string(setup.instances) + ", teams "
                        + std::to_string(setup.teams));
            }
        },
        rc::detail::TestMetadata{.id = "scheduler", .description = "keeps all rules"}, parameters);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(), message.str());
    // A run with few starts would not exercise the rules.
    BOOST_TEST(committed > 50'000U);
    BOOST_TEST_MESSAGE("starts committed: " << committed);
}

// Guards against a model check that misses an overcommitted instance.
BOOST_AUTO_TEST_CASE(DetectsOvercommittedInstance)
{
    FaultInjection faults;
    faults.ignoreInstanceSize = true;
    BOOST_TEST(ruleBrokenBy(faults) == "instance overcommitted");
}

// Guards against a model check that misses a team above its limit.
BOOST_AUTO_TEST_CASE(DetectsTeamAboveItsLimit)
{
    FaultInjection faults;
    faults.ignoreTeamLimit = true;
    BOOST_TEST(ruleBrokenBy(faults) == "team above its limit");
}

// Guards against a model check that misses starts in a failure domain taken out.
BOOST_AUTO_TEST_CASE(DetectsStartInDomainTakenOut)
{
    FaultInjection faults;
    faults.ignoreDomainsOut = true;
    BOOST_TEST(ruleBrokenBy(faults) == "start in a failure domain taken out");
}

// Guards against a model check that misses a partially started gang.
BOOST_AUTO_TEST_CASE(DetectsSplitGang)
{
    FaultInjection faults;
    faults.splitGangs = true;
    BOOST_TEST(ruleBrokenBy(faults) == "gang is not whole");
}

// Guards against a model check that misses a task that is decided twice.
BOOST_AUTO_TEST_CASE(DetectsTaskDecidedTwice)
{
    FaultInjection faults;
    faults.requeueStartedTasks = true;
    BOOST_TEST(ruleBrokenBy(faults) == "task started twice");
}

// Guards against a model check that misses a task that is committed twice.
BOOST_AUTO_TEST_CASE(DetectsTaskCommittedTwice)
{
    BOOST_TEST(ruleBrokenBy({}, false, true) == "task started twice");
}

// Guards against a model check that misses the start of a refused job.
BOOST_AUTO_TEST_CASE(DetectsStartOfRefusedJob)
{
    BOOST_TEST(ruleBrokenBy({}, true) == "start of a refused, cancelled or ended job");
}

// Guards against a model check that misses reservations that are never released.
BOOST_AUTO_TEST_CASE(DetectsLeakedReservations)
{
    FaultInjection faults;
    faults.leakReservations = true;
    BOOST_TEST(ruleBrokenBy(faults).find("model differ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
