#include <policy/policy.h>

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const SteadyTime now{10h};

Resources amount(std::int64_t cores, std::int64_t gigabytes)
{
    return Resources{.cpu = CpuMillis(cores * 1000),
                     .memory = Bytes(gigabytes << 30),
                     .accelerators = {},
                     .slots = SlotCount(1)};
}

Instance instance(const std::string &id, const Resources &used, const std::string &domain = "d")
{
    Instance result;
    result.spec.id = InstanceId(id);
    result.spec.domain = FailureDomainId(domain);
    result.spec.capacity = amount(8, 64);
    result.spec.capacity.slots = SlotCount(8);
    result.allocated = used;
    return result;
}

RunningTask task(std::uint64_t job, JobClass jobClass, const std::string &on, const Resources &size,
                 std::chrono::milliseconds age)
{
    RunningTask result;
    result.attempt.task.job = JobId(job);
    result.jobClass = jobClass;
    result.instance = InstanceId(on);
    result.amount = size;
    result.startedAt = now - age;
    return result;
}

UrgentRequest urgent(const Resources &size)
{
    UrgentRequest request;
    request.amount = size;
    request.remainingLimit = amount(100, 1000);
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RunningWorkTest)

// Guards against stopping the task with the most progress.
BOOST_AUTO_TEST_CASE(PreemptsLeastProgress)
{
    const std::vector<Instance> instances{instance("w1", amount(8, 8)),
                                          instance("w2", amount(8, 8))};
    const std::vector<RunningTask> running{task(1, JobClass::Batch, "w1", amount(8, 8), 2h),
                                           task(2, JobClass::Batch, "w2", amount(8, 8), 1min)};
    const PreemptionDecision decision
        = choosePreemption(urgent(amount(1, 1)), instances, running, now);
    BOOST_REQUIRE(decision.victims.size() == 1U);
    BOOST_TEST(decision.victims[0].attempt.task.job.value == 2U);
    BOOST_TEST(decision.instance.value().value == "w2");
}

// Guards against losing progress although a checkpoint could have preserved it.
BOOST_AUTO_TEST_CASE(PreemptsCheckpointableFirst)
{
    const std::vector<Instance> instances{instance("w1", amount(8, 8)),
                                          instance("w2", amount(8, 8))};
    std::vector<RunningTask> running{task(1, JobClass::Batch, "w1", amount(8, 8), 2h),
                                     task(2, JobClass::Batch, "w2", amount(8, 8), 1min)};
    running[0].checkpointable = true;
    const PreemptionDecision decision
        = choosePreemption(urgent(amount(1, 1)), instances, running, now);
    BOOST_REQUIRE(decision.victims.size() == 1U);
    BOOST_TEST(decision.victims[0].attempt.task.job.value == 1U);
    BOOST_TEST(decision.victims[0].checkpoint);
}

// Guards against running a task twice that must not be repeated.
BOOST_AUTO_TEST_CASE(NeverPreemptsNonRepeatableOrUrgent)
{
    const std::vector<Instance> instances{instance("w1", amount(8, 8))};
    std::vector<RunningTask> running{task(1, JobClass::Batch, "w1", amount(4, 4), 1min),
                                     task(2, JobClass::Urgent, "w1", amount(4, 4), 1min)};
    running[0].repeatable = false;
    const PreemptionDecision decision
        = choosePreemption(urgent(amount(1, 1)), instances, running, now);
    BOOST_TEST(decision.victims.empty());
    BOOST_TEST(toString(decision.reason) == "nothing-to-preempt");
}

// Guards against stopping tasks for a team whose limit does not allow the urgent task.
BOOST_AUTO_TEST_CASE(NeverPreemptsAboveTheUrgentTeamsLimit)
{
    const std::vector<Instance> instances{instance("w1", amount(8, 8))};
    const std::vector<RunningTask> running{task(1, JobClass::Batch, "w1", amount(8, 8), 1min)};
    UrgentRequest request = urgent(amount(2, 1));
    request.remainingLimit = amount(1, 100);
    const PreemptionDecision decision = choosePreemption(request, instances, running, now);
    BOOST_TEST(decision.victims.empty());
    BOOST_TEST(toString(decision.reason) == "team-at-limit");
}

// Guards against stopping more tasks than the urgent one needs.
BOOST_AUTO_TEST_CASE(StopsNoMoreThanNeeded)
{
    const std::vector<Instance> instances{instance("w1", amount(8, 8))};
    const std::vector<RunningTask> running{task(1, JobClass::Batch, "w1", amount(1, 1), 1min),
                                           task(2, JobClass::Batch, "w1", amount(3, 3), 2min),
                                           task(3, JobClass::Batch, "w1", amount(4, 4), 3min)};
    const PreemptionDecision decision
        = choosePreemption(urgent(amount(4, 1)), instances, running, now);
    BOOST_TEST(decision.victims.size() == 2U);
    const PreemptionDecision smaller
        = choosePreemption(urgent(amount(3, 1)), instances, running, now);
    BOOST_REQUIRE(smaller.victims.size() == 1U);
    BOOST_TEST(smaller.victims[0].attempt.task.job.value == 2U);
}

// Guards against a gang that keeps running without one of its tasks.
BOOST_AUTO_TEST_CASE(PreemptsGangsWhole)
{
    const std::vector<Instance> instances{instance("w1", amount(8, 8)),
                                          instance("w2", amount(8, 8))};
    const std::vector<RunningTask> running{task(1, JobClass::Gang, "w1", amount(8, 8), 1min),
                                           task(1, JobClass::Gang, "w2", amount(8, 8), 1min)};
    BOOST_TEST(choosePreemption(urgent(amount(1, 1)), instances, running, now).victims.size()
               == 2U);
}

// Guards against an evacuation that moves batch tasks before services, or too many at once.
BOOST_AUTO_TEST_CASE(MovesServicesBeforeBatchWithinConcurrencyLimit)
{
    const std::vector<Instance> instances{instance("w1", amount(8, 8), "out"),
                                          instance("w2", amount(8, 8), "in")};
    std::vector<RunningTask> running;
    for (std::uint64_t job = 0; job < 100; ++job) {
        running.push_back(task(job, job % 2 == 0 ? JobClass::Batch : JobClass::Service,
                               job % 4 < 2 ? "w1" : "w2", amount(1, 1), 1min));
    }
    EvacuationSettings settings;
    settings.maxConcurrentMoves = 30;
    const auto moves = chooseMoves(running, instances, {FailureDomainId("out")}, 0, settings);
    BOOST_REQUIRE(moves.size() == 30U);
    for (std::size_t index = 0; index < moves.size(); ++index) {
        BOOST_TEST(moves[index].attempt.task.job.value % 2 == (index < 25 ? 1U : 0U));
        BOOST_TEST(moves[index].from.value == "w1");
    }
    BOOST_TEST(chooseMoves(running, instances, {FailureDomainId("out")}, 28, settings).size()
               == 2U);
    BOOST_TEST(chooseMoves(running, instances, {FailureDomainId("out")}, 31, settings).empty());
}

// Guards against moving a task that must not run twice.
BOOST_AUTO_TEST_CASE(LeavesNonRepeatableWorkInPlace)
{
    Instance leaving = instance("w1", amount(8, 8));
    leaving.departing = true;
    std::vector<RunningTask> running{task(1, JobClass::Batch, "w1", amount(1, 1), 1min),
                                     task(2, JobClass::Batch, "w1", amount(1, 1), 1min)};
    running[0].repeatable = false;
    const auto moves = chooseMoves(running, {leaving}, {}, 0, EvacuationSettings{});
    BOOST_REQUIRE(moves.size() == 1U);
    BOOST_TEST(moves[0].attempt.task.job.value == 2U);
    BOOST_TEST(toString(moves[0].reason) == "instance-departing");
}

// Guards against placing all waiting tasks in a failure domain the moment it returns.
BOOST_AUTO_TEST_CASE(ReturningDomainRampsUpGradually)
{
    const EvacuationSettings settings;
    const auto open = [&](std::chrono::milliseconds since) {
        int count = 0;
        for (int number = 0; number < 1000; ++number) {
            count += isIncludedInRamp(InstanceId("worker-" + std::to_string(number)),
                                      rampFraction(since, settings))
                ? 1
                : 0;
        }
        return count;
    };
    BOOST_TEST(std::abs(open(0s) - 100) < 40);
    BOOST_TEST(std::abs(open(30s) - 550) < 60);
    BOOST_TEST(open(60s) == 1000);
}

// Guards against starvation of a large gang by small tasks.
BOOST_AUTO_TEST_CASE(ReservesInstancesThatBecomeFreeFirst)
{
    const std::vector<Instance> instances{
        instance("w1", amount(8, 8)), instance("w2", amount(8, 8)), instance("w3", amount(8, 8))};
    std::vector<RunningTask> running{task(1, JobClass::Batch, "w1", amount(8, 8), 1min),
                                     task(2, JobClass::Batch, "w2", amount(8, 8), 1min),
                                     task(3, JobClass::Service, "w3", amount(8, 8), 1min)};
    running[0].estimatedRunTime = 5min;
    running[1].estimatedRunTime = 3min;
    GangRequest request;
    request.job = JobId(9);
    request.perTask = amount(4, 1);
    request.tasks = 4;
    const ReservationSettings settings;
    const auto reservation = planGangReservation(request, instances, running, now, settings);
    BOOST_REQUIRE(reservation.has_value());
    BOOST_TEST(reservation->reservation.instances.size() == 2U);
    BOOST_TEST((reservation->expectedStart == now + 4min));
    BOOST_TEST((reservation->reservation.end == now + 4min + settings.slack));
    request.tasks = 5;
    BOOST_TEST(!planGangReservation(request, instances, running, now, settings).has_value());
}

// Guards against an estimate that follows a single outlier.
BOOST_AUTO_TEST_CASE(EstimateIsRobustAndBounded)
{
    const CorrectionSettings settings;
    TemplateHistory history;
    addSample(history, RunSample{.runTime = 1h, .peakUsage = {}}, settings);
    BOOST_TEST(!estimateOf(history, settings).has_value());
    for (int run = 0; run < 30; ++run) {
        addSample(history, RunSample{.runTime = 60s, .peakUsage = amount(2, 1)}, settings);
    }
    BOOST_TEST((estimateOf(history, settings).value().runTime == 60s));
    BOOST_TEST((estimateOf(history, settings).value().usage.cpu == CpuMillis(2000)));
    for (int run = 0; run < 1000; ++run) {
        addSample(history, RunSample{.runTime = 90s, .peakUsage = {}}, settings);
    }
    BOOST_TEST(history.samples.size() == settings.window);
    BOOST_TEST((estimateOf(history, settings).value().runTime == 90s));
}

// Guards against an instance that runs out of memory because no task was stopped in time.
BOOST_AUTO_TEST_CASE(StopsTheTaskFurthestAboveItsSize)
{
    std::vector<TaskUsage> tasks{
        TaskUsage{.task = task(1, JobClass::Batch, "w1", amount(2, 16), 1min),
                  .actual = amount(2, 16)},
        TaskUsage{.task = task(2, JobClass::Batch, "w1", amount(2, 16), 1min),
                  .actual = amount(2, 40)},
        TaskUsage{.task = task(3, JobClass::Batch, "w1", amount(2, 4), 1min),
                  .actual = amount(2, 6)}};
    const auto decisions = correctUsage(amount(8, 64), tasks, CorrectionSettings{});
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(decisions[0].attempt.task.job.value == 2U);
    BOOST_TEST((decisions[0].action == CorrectiveAction::Stop));
}

// Guards against throttling tasks that stay within their declared size.
BOOST_AUTO_TEST_CASE(ThrottlesOnlyTasksAboveTheirSize)
{
    std::vector<TaskUsage> tasks{
        TaskUsage{.task = task(1, JobClass::Batch, "w1", amount(4, 1), 1min),
                  .actual = amount(4, 1)},
        TaskUsage{.task = task(2, JobClass::Batch, "w1", amount(2, 1), 1min),
                  .actual = amount(4, 1)}};
    const auto decisions = correctUsage(amount(8, 64), tasks, CorrectionSettings{});
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(decisions[0].attempt.task.job.value == 2U);
    BOOST_TEST((decisions[0].action == CorrectiveAction::Throttle));
}

BOOST_AUTO_TEST_SUITE_END()
