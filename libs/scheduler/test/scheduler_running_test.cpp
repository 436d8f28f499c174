#include "small_cell.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::test;
using namespace std::chrono_literals;

namespace {

RunningTask runningTask(const StartDecision &start, JobClass jobClass, SteadyTime now)
{
    RunningTask task;
    task.attempt = start.attempt;
    task.instance = start.instance;
    task.team = start.team;
    task.jobClass = jobClass;
    task.amount = start.amount;
    task.startedAt = now;
    return task;
}

/** Runs a round, commits all starts, reports them to the scheduler and returns them. */
std::vector<StartDecision> startAll(SmallCell &cell, JobClass jobClass,
                                    std::chrono::milliseconds runTime = 0ms)
{
    std::vector<StartDecision> starts = cell.decide();
    for (const StartDecision &start : starts) {
        cell.commit(start);
        RunningTask task = runningTask(start, jobClass, cell.input.now);
        if (runTime > 0ms) {
            task.estimatedRunTime = runTime;
        }
        cell.scheduler.taskStarted(task);
    }
    return starts;
}

FaultDecision endOne(SmallCell &cell, const StartDecision &start, EndCause cause)
{
    cell.end(start);
    return cell.scheduler.taskEnded(TaskEnd{.attempt = start.attempt,
                                            .instance = start.instance,
                                            .cause = cause,
                                            .at = cell.input.now});
}

} // namespace

BOOST_AUTO_TEST_SUITE(SchedulerRunningTest)

// Guards against a worker that fails every task, looks idle and so gets all new tasks.
BOOST_AUTO_TEST_CASE(PlacesNothingOnQuarantinedInstance)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addInstance("bad", amount(8, 64));
    for (int job = 0; job < 3; ++job) {
        cell.submit("a/1", cell.spec(JobClass::Batch, 1, amount(1, 1)));
    }
    for (const StartDecision &start : startAll(cell, JobClass::Batch)) {
        endOne(cell, start, EndCause::Failed);
    }
    BOOST_TEST(cell.scheduler.quarantined(cell.input.now).size() == 1U);
    cell.addInstance("good", amount(8, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 12, amount(1, 1)));
    const std::vector<StartDecision> starts = cell.decide();
    BOOST_TEST(starts.size() == 8U);
    for (const StartDecision &start : starts) {
        BOOST_TEST(start.instance.value == "good");
    }
    cell.input.now += 31s;
    BOOST_TEST(cell.decide().size() == 4U);
}

// Guards against a job that fails everywhere and causes healthy instances to be quarantined.
BOOST_AUTO_TEST_CASE(DelaysJobThatFailsEverywhere)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    for (int number = 0; number < 3; ++number) {
        cell.addInstance("w" + std::to_string(number), amount(1, 64));
    }
    const JobSpec spec = cell.spec(JobClass::Batch, 3, amount(1, 1));
    const JobId job = cell.submit("a/1", spec);
    const auto shared = std::make_shared<const JobSpec>(spec);
    std::vector<StartDecision> starts = startAll(cell, JobClass::Batch);
    BOOST_REQUIRE(starts.size() == 3U);
    for (const StartDecision &start : starts) {
        endOne(cell, start, EndCause::Failed);
        cell.scheduler.addTask(WaitingJob{.id = job,
                                          .jobClass = JobClass::Batch,
                                          .team = TeamId("a/1"),
                                          .submittedAt = CellTime{}},
                               shared, start.attempt.task.index, Attempt(2));
    }
    BOOST_TEST(cell.scheduler.quarantined(cell.input.now).empty());
    BOOST_TEST(cell.decide().empty());
    BOOST_TEST(toString(cell.scheduler.whyWaiting(job)) == "job-back-off");
    cell.input.now += 10s;
    BOOST_TEST(cell.decide().size() == 3U);
}

// Guards against retries that displace first attempts after the budget is spent.
BOOST_AUTO_TEST_CASE(RetriesWaitForTheBudget)
{
    SchedulerSettings settings;
    settings.retry.maxBudget = 2.0;
    settings.retry.retriesPerFirstAttempt = 0.0;
    settings.quarantine.minFailedJobs = 1000;
    SmallCell cell(settings);
    cell.addTeam("a", "1");
    cell.addInstance("w1", amount(8, 64));
    const JobSpec spec = cell.spec(JobClass::Batch, 8, amount(1, 1));
    const JobId job = cell.submit("a/1", spec);
    const auto shared = std::make_shared<const JobSpec>(spec);
    for (const StartDecision &start : startAll(cell, JobClass::Batch)) {
        endOne(cell, start, EndCause::Failed);
        cell.scheduler.addTask(WaitingJob{.id = job,
                                          .jobClass = JobClass::Batch,
                                          .team = TeamId("a/1"),
                                          .submittedAt = CellTime{}},
                               shared, start.attempt.task.index, Attempt(2));
    }
    // Two from the budget and one that is allowed every ten seconds regardless of the budget.
    BOOST_TEST(cell.decide().size() == 3U);
    BOOST_TEST(cell.scheduler.pendingTasks(QueueId("q")) == 5U);
    BOOST_TEST(toString(cell.scheduler.whyWaiting(job)) == "retry-budget-spent");
    cell.input.now += 10s;
    BOOST_TEST(cell.decide().size() == 1U);
}

// Guards against starvation of a large gang by small tasks.
BOOST_AUTO_TEST_CASE(ReservesCapacityForGangAndStartsIt)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addTeam("b", "1");
    cell.addInstance("w1", amount(4, 64));
    cell.addInstance("w2", amount(4, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 8, amount(1, 1)));
    const std::vector<StartDecision> first = startAll(cell, JobClass::Batch, 60s);
    BOOST_REQUIRE(first.size() == 8U);
    const JobId gang = cell.submit("b/1", cell.spec(JobClass::Gang, 2, amount(4, 1)));
    BOOST_TEST(cell.decide().empty());
    BOOST_TEST((cell.scheduler.reservation().value().job == gang));
    // Capacity becomes free task by task; tasks without an estimate must not use it.
    cell.submit("a/1", cell.spec(JobClass::Batch, 8, amount(1, 1)));
    for (std::size_t index = 0; index < 8; ++index) {
        BOOST_TEST(cell.decide().empty());
        endOne(cell, first[index], EndCause::Succeeded);
    }
    const std::vector<StartDecision> starts = cell.decide();
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST((starts[0].attempt.task.job == gang));
    BOOST_TEST(!cell.scheduler.reservation().has_value());
}

// Guards against reserved capacity that stays idle although short tasks would end in time.
BOOST_AUTO_TEST_CASE(BackfillsShortWorkBehindReservation)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addInstance("w1", amount(4, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 3, amount(1, 1)));
    BOOST_REQUIRE(startAll(cell, JobClass::Batch, 600s).size() == 3U);
    cell.submit("a/1", cell.spec(JobClass::Gang, 2, amount(2, 1)));
    BOOST_TEST(cell.decide().empty());
    BOOST_TEST(cell.scheduler.reservation().has_value());
    JobSpec tooLong = cell.spec(JobClass::Batch, 1, amount(1, 1));
    tooLong.expectedRunTime = 61s;
    const JobId longJob = cell.submit("a/1", tooLong);
    BOOST_TEST(cell.decide().empty());
    BOOST_TEST(toString(cell.scheduler.whyWaiting(longJob)) == "room-reserved");
    cell.scheduler.removeJob(longJob);
    JobSpec inTime = tooLong;
    inTime.expectedRunTime = 59s;
    cell.submit("a/1", inTime);
    BOOST_TEST(cell.decide().size() == 1U);
}

// Guards against gangs that block each other: a reservation that can't be used expires and passes
// to the next gang.
BOOST_AUTO_TEST_CASE(ReservationExpiresAndMovesToNextGang)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addTeam("b", "1");
    cell.addInstance("w1", amount(4, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 4, amount(1, 1)));
    BOOST_REQUIRE(startAll(cell, JobClass::Batch, 60s).size() == 4U);
    const JobId first = cell.submit("b/1", cell.spec(JobClass::Gang, 2, amount(2, 1)));
    const JobId second = cell.submit("b/1", cell.spec(JobClass::Gang, 4, amount(1, 1)));
    cell.decide();
    BOOST_TEST((cell.scheduler.reservation().value().job == first));
    // The tasks on the instance run longer than estimated.
    cell.input.now += 91s;
    cell.decide();
    BOOST_TEST((cell.scheduler.reservation().value().job == second));
}

// Guards against urgent tasks that wait for batch tasks to end.
BOOST_AUTO_TEST_CASE(PreemptsForUrgentWorkOnce)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addTeam("b", "1");
    cell.addInstance("w1", amount(4, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 4, amount(1, 1)));
    const std::vector<StartDecision> batch = startAll(cell, JobClass::Batch);
    const JobId urgent = cell.submit("b/1", cell.spec(JobClass::Urgent, 2, amount(1, 1)));
    BOOST_TEST(cell.decide().empty());
    const std::vector<PreemptionDecision> decisions = cell.scheduler.preemptions(cell.input);
    BOOST_REQUIRE(decisions.size() == 2U);
    BOOST_REQUIRE(decisions[0].victims.size() == 1U);
    BOOST_REQUIRE(decisions[1].victims.size() == 1U);
    BOOST_TEST((decisions[0].victims[0].attempt != decisions[1].victims[0].attempt));
    BOOST_TEST(cell.scheduler.preemptions(cell.input).empty());
    for (const PreemptionDecision &decision : decisions) {
        for (const StartDecision &start : batch) {
            if (start.attempt == decision.victims[0].attempt) {
                endOne(cell, start, EndCause::Stopped);
            }
        }
    }
    const std::vector<StartDecision> starts = cell.decide();
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST((starts[0].attempt.task.job == urgent));
}

// Guards against an evacuation that moves nothing, a task twice or everything at once.
BOOST_AUTO_TEST_CASE(EvacuatesWithinConcurrencyLimit)
{
    SchedulerSettings settings;
    settings.evacuation.maxConcurrentMoves = 2;
    SmallCell cell(settings);
    cell.addTeam("a", "1");
    cell.addInstance("w1", amount(8, 64), "heredia");
    cell.submit("a/1", cell.spec(JobClass::Service, 3, amount(1, 1)));
    const std::vector<StartDecision> starts = startAll(cell, JobClass::Service);
    cell.input.domainsOut = {FailureDomainId("heredia")};
    const std::vector<MoveDecision> moves = cell.scheduler.evacuations(cell.input);
    BOOST_REQUIRE(moves.size() == 2U);
    BOOST_TEST(cell.scheduler.evacuations(cell.input).empty());
    for (const StartDecision &start : starts) {
        if (start.attempt == moves[0].attempt) {
            endOne(cell, start, EndCause::Stopped);
        }
    }
    BOOST_TEST(cell.scheduler.evacuations(cell.input).size() == 1U);
}

// Guards against placing all waiting tasks in a failure domain the moment it returns.
BOOST_AUTO_TEST_CASE(ReturningDomainRampsUpGradually)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    for (int number = 0; number < 200; ++number) {
        cell.addInstance("worker-" + std::to_string(number), amount(1, 64), "heredia");
    }
    cell.submit("a/1", cell.spec(JobClass::Batch, 200, amount(1, 1)));
    cell.input.domainsOut = {FailureDomainId("heredia")};
    BOOST_TEST(cell.decide().empty());
    cell.input.domainsOut.clear();
    const std::size_t atOnce = cell.decide().size();
    BOOST_TEST(atOnce > 5U);
    BOOST_TEST(atOnce < 50U);
    cell.input.now += 60s;
    BOOST_TEST(atOnce + cell.decide().size() == 200U);
}

// Guards against corrections that use declared instead of reported usage, or stop a task twice.
BOOST_AUTO_TEST_CASE(StopsTaskAboveItsSizeAfterLateReport)
{
    SmallCell cell;
    cell.addTeam("a", "1");
    cell.addInstance("w1", amount(8, 64));
    cell.submit("a/1", cell.spec(JobClass::Batch, 2, amount(1, 16)));
    const std::vector<StartDecision> starts = startAll(cell, JobClass::Batch);
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(cell.scheduler.corrections(InstanceId("w1"), cell.input.now).empty());
    cell.scheduler.reportUsage(starts[0].attempt, starts[0].instance, amount(1, 62));
    const auto decisions = cell.scheduler.corrections(InstanceId("w1"), cell.input.now);
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST((decisions[0].attempt == starts[0].attempt));
    BOOST_TEST(cell.scheduler.corrections(InstanceId("w1"), cell.input.now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
