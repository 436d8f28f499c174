#include "small_cell.h"

#include <algorithm>
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::test;

BOOST_AUTO_TEST_SUITE(SchedulerTest)

// Guards against a round that gives all capacity to the team that submitted first.
BOOST_AUTO_TEST_CASE(SharesOneRoundBetweenTeams)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addTeam("b", "1");
    cell.addInstance("w1", amount(8, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 20, amount(1, 1)));
    cell.submit("b/1", cell.spec(JobClass::Batch, 20, amount(1, 1)));
    std::map<TeamId, int> startsPerTeam;
    for (const StartDecision &start : cell.decide()) {
        ++startsPerTeam[start.team];
    }
    BOOST_TEST(startsPerTeam[TeamId("a/1")] == 4);
    BOOST_TEST(startsPerTeam[TeamId("b/1")] == 4);
}

// Guards against urgent tasks scheduled after other classes, and services after batch tasks.
BOOST_AUTO_TEST_CASE(SchedulesByClassPriority)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addInstance("w1", amount(2, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 1, amount(1, 1)));
    const JobId service = cell.submit("a/1", cell.spec(JobClass::Service, 1, amount(1, 1)));
    const JobId urgent = cell.submit("a/1", cell.spec(JobClass::Urgent, 1, amount(1, 1)));
    const std::vector<StartDecision> starts = cell.decide();
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST((starts[0].attempt.task.job == urgent));
    BOOST_TEST((starts[1].attempt.task.job == service));
}

// Guards against urgent tasks that exceed their team's limit.
BOOST_AUTO_TEST_CASE(EnforcesTeamLimitOnUrgentWork)
{
    SmallCell cell;
    cell.addTeam("a", "1", 1.0, amount(2, 100));
    cell.addInstance("w1", amount(8, 64));
    const JobId job = cell.submit("a/1", cell.spec(JobClass::Urgent, 5, amount(1, 1)));
    BOOST_TEST(cell.decide().size() == 2U);
    BOOST_TEST(toString(cell.scheduler.whyWaiting(job)) == "team-at-limit");
}

// Guards against a team that stays blocked after its usage has dropped below its limit.
BOOST_AUTO_TEST_CASE(UnblocksTeamOnceBelowItsLimit)
{
    SmallCell cell;
    cell.addTeam("a", "1", 1.0, amount(1, 100));
    cell.addInstance("w1", amount(8, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 2, amount(1, 1)));
    const std::vector<StartDecision> first = cell.decide();
    BOOST_REQUIRE(first.size() == 1U);
    cell.commit(first[0]);
    BOOST_TEST(cell.decide().empty());
    cell.end(first[0]);
    BOOST_TEST(cell.decide().size() == 1U);
}

// Guards against a team that stays blocked after its limit was raised.
BOOST_AUTO_TEST_CASE(UnblocksTeamOnceTheLimitIsRaised)
{
    SmallCell cell;
    cell.addTeam("a", "1", 1.0, amount(1, 100));
    cell.addInstance("w1", amount(8, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 2, amount(1, 1)));
    BOOST_TEST(cell.decide().size() == 1U);
    cell.config.customers[0].teams[0].limit.maximum.cpu = CpuMillis(2000);
    BOOST_TEST(cell.decide().size() == 1U);
}

// Guards against a shape that stays blocked after a larger instance was announced.
BOOST_AUTO_TEST_CASE(UnblocksImpossibleShapeOnceCapacityChanges)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addInstance("w1", amount(8, 64));
    const JobId job = cell.submit("a/1", cell.spec(JobClass::Batch, 1, amount(32, 1)));
    BOOST_TEST(cell.decide().empty());
    BOOST_TEST(toString(cell.scheduler.whyWaiting(job)) == "shape-impossible");
    cell.addInstance("w2", amount(32, 64));
    BOOST_TEST(cell.decide().size() == 1U);
}

// Guards against starting some tasks of a gang without the others.
BOOST_AUTO_TEST_CASE(StartsGangWholeOrNotAtAll)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addInstance("w1", amount(4, 64));
    cell.addInstance("w2", amount(4, 64));
    const JobId large = cell.submit("a/1", cell.spec(JobClass::Gang, 5, amount(2, 1)));
    const JobId small = cell.submit("a/1", cell.spec(JobClass::Gang, 4, amount(2, 1)));
    const std::vector<StartDecision> starts = cell.decide();
    BOOST_TEST(starts.size() == 4U);
    for (const StartDecision &start : starts) {
        BOOST_TEST((start.attempt.task.job == small));
    }
    BOOST_TEST(toString(cell.scheduler.whyWaiting(large)) == "no-capacity");
}

// Guards against a round between two addTask() calls that starts only part of a gang.
BOOST_AUTO_TEST_CASE(DelaysGangUntilAllTasksAreAdded)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addInstance("w1", amount(8, 64));
    const auto spec = std::make_shared<const JobSpec>(cell.spec(JobClass::Gang, 2, amount(1, 1)));
    const WaitingJob job{.id = JobId(1),
                         .jobClass = JobClass::Gang,
                         .team = TeamId("a/1"),
                         .submittedAt = CellTime{}};
    cell.scheduler.addTask(job, spec, 0, Attempt(1));
    BOOST_TEST(cell.decide().empty());
    BOOST_TEST(toString(cell.scheduler.whyWaiting(JobId(1))) == "gang-incomplete");
    cell.scheduler.addTask(job, spec, 1, Attempt(1));
    BOOST_TEST(cell.decide().size() == 2U);
}

// Guards against a service whose tasks are all lost with one failure domain.
BOOST_AUTO_TEST_CASE(SpreadsServiceOverDomains)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    for (int index = 0; index < 9; ++index) {
        const std::string number = std::to_string(index);
        cell.addInstance("w" + number, amount(16, 64), "d" + std::to_string(index % 3),
                         "r" + number);
    }
    cell.submit("a/1", cell.spec(JobClass::Service, 9, amount(1, 1)));
    std::map<InstanceId, int> perInstance;
    for (const StartDecision &start : cell.decide()) {
        ++perInstance[start.instance];
    }
    BOOST_TEST(perInstance.size() == 9U);
}

// Guards against starts in a failure domain that was taken out of service.
BOOST_AUTO_TEST_CASE(StartsNothingInDomainTakenOut)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addInstance("w1", amount(16, 64), "heredia");
    cell.addInstance("w2", amount(2, 64), "cartago");
    cell.input.domainsOut = {FailureDomainId("heredia")};
    cell.submit("a/1", cell.spec(JobClass::Batch, 5, amount(1, 1)));
    const std::vector<StartDecision> starts = cell.decide();
    BOOST_TEST(starts.size() == 2U);
    for (const StartDecision &start : starts) {
        BOOST_TEST(start.instance.value == "w2");
    }
}

// Guards against decisions that differ between two replays of the same session.
BOOST_AUTO_TEST_CASE(EqualSeedsGiveEqualDecisionsOnOneThread)
{
    const auto run = [] {
        SmallCell cell;
        cell.addTeam("a", "1");
        cell.addTeam("b", "1", 2.0);
        for (int index = 0; index < 150; ++index) {
            cell.addInstance("w" + std::to_string(index), amount(16, 64, index % 5 == 0 ? 4 : 0),
                             "d" + std::to_string(index % 3), "r" + std::to_string(index % 10));
        }
        cell.submit("a/1", cell.spec(JobClass::Service, 50, amount(2, 1)));
        cell.submit("b/1", cell.spec(JobClass::Batch, 200, amount(3, 5)));
        cell.submit("b/1", cell.spec(JobClass::Gang, 20, amount(2, 1, 2)));
        std::vector<std::string> log;
        for (const StartDecision &start : cell.decide()) {
            log.push_back(toString(start.attempt) + "@" + start.instance.value);
        }
        return log;
    };
    const std::vector<std::string> first = run();
    BOOST_TEST(first.size() == 270U);
    BOOST_TEST(first == run(), boost::test_tools::per_element());
}

// Guards against races between decision threads that overcommit, start a task twice or lose one.
BOOST_AUTO_TEST_CASE(KeepsAllRulesOnFourThreads)
{
    SchedulerSettings settings;
    settings.decisionThreads = 4;
    SmallCell cell(settings);
    for (int team = 0; team < 8; ++team) {
        cell.addTeam("c" + std::to_string(team % 3), std::to_string(team), 1.0, amount(150, 9999));
    }
    for (int index = 0; index < 200; ++index) {
        cell.addInstance("w" + std::to_string(index), amount(8, 64, index % 4 == 0 ? 4 : 0),
                         "d" + std::to_string(index % 5), "r" + std::to_string(index % 20));
    }
    for (int team = 0; team < 8; ++team) {
        const std::string id = "c" + std::to_string(team % 3) + "/" + std::to_string(team);
        cell.submit(id, cell.spec(JobClass::Batch, 200, amount(1, 2)));
        cell.submit(id, cell.spec(JobClass::Gang, 10, amount(2, 2)));
        cell.submit(id, cell.spec(JobClass::Service, 10, amount(1, 1)));
    }
    std::set<TaskId> seen;
    std::map<JobId, int> perJob;
    for (const StartDecision &start : cell.decide()) {
        BOOST_TEST(seen.insert(start.attempt.task).second);
        ++perJob[start.attempt.task.job];
        cell.commit(start);
    }
    for (const Instance &instance : cell.fleet.snapshot()) {
        BOOST_TEST(!firstShortage(instance.allocated, instance.spec.capacity));
        BOOST_TEST((instance.reserved == Resources{}));
    }
    for (const TeamUsage &usage : cell.ledger.allUsage()) {
        BOOST_TEST(usage.running.cpu.value == 150'000);
        BOOST_TEST((usage.reserved == Resources{}));
    }
    for (const auto &[job, count] : perJob) {
        BOOST_TEST((job.value % 3 != 2 || count == 10));
    }
}

BOOST_AUTO_TEST_SUITE_END()
