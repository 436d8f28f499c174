// Tests of the scheduling decisions, which are functions over plain structs.

#include <algorithm>
#include <functional>

#include <boost/test/unit_test.hpp>
#include <dispatch/dispatch.h>
#include <rapidcheck.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

Resources size(std::int64_t cpu)
{
    return Resources{.cpu = CpuMillis(cpu),
                     .memory = Bytes(1),
                     .accelerators = AcceleratorCount(0),
                     .slots = SlotCount(0)};
}

PlacementCandidate candidate(std::size_t worker, std::int64_t cpu, const std::string &rack = "r")
{
    PlacementCandidate result;
    result.worker = worker;
    result.free = Resources{.cpu = CpuMillis(cpu),
                            .memory = Bytes(1000),
                            .accelerators = AcceleratorCount(0),
                            .slots = SlotCount(0)};
    result.rack = RackId(rack);
    return result;
}

TaskPlacementRequest request(std::uint32_t count, std::int64_t cpu)
{
    TaskPlacementRequest result;
    result.count = count;
    result.size = size(cpu);
    return result;
}

StepUrgency urgency(std::uint32_t priority, Duration objective, Duration remaining)
{
    StepUrgency result;
    result.priority = priority;
    result.objective = SteadyTime(objective);
    result.remaining = remaining;
    return result;
}

} // namespace

namespace {

using Order = std::function<bool(const StepUrgency &, const StepUrgency &, SteadyTime)>;

/**
 * Replays an outage of six seconds, after which all callers return at once, and a burst that
 * follows it, on a hundred places that each run one job at a time. Returns the worth that is
 * earned.
 */
double worthAfterOutage(const Order &order)
{
    constexpr std::size_t places = 100;
    constexpr auto length = 640ms;
    constexpr auto objective = 1200ms;
    std::vector<StepUrgency> waiting;
    std::vector<SteadyTime> freeAt(places);
    double worth = 0.0;
    for (SteadyTime now(0s); now < SteadyTime(20s); now += 10ms) {
        const auto elapsed = now.time_since_epoch();
        // 156 jobs a second fill the places; the returning callers need six seconds of that.
        const std::size_t arrivals = elapsed == 0ms ? 930 : (elapsed < 4s ? 2 : 1);
        for (std::size_t i = 0; i < arrivals; ++i) {
            StepUrgency job;
            job.acceptedAt = now;
            job.objective = now + objective;
            job.remaining = length;
            waiting.push_back(job);
        }
        std::stable_sort(waiting.begin(), waiting.end(),
                         [&](const StepUrgency &left, const StepUrgency &right) {
                             return order(left, right, now);
                         });
        for (SteadyTime &place : freeAt) {
            if (place > now || waiting.empty()) {
                continue;
            }
            place = now + length;
            const Duration took = place - waiting.front().acceptedAt;
            worth += took <= objective ? 1.0 : (took <= 3 * objective ? 0.2 : 0.0);
            waiting.erase(waiting.begin());
        }
    }
    return worth;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TaskPlacementTest)

BOOST_AUTO_TEST_CASE(PrefersTheWorkerWithTheLeastFreeCpuThatFits)
{
    const auto chosen = chooseWorkers(request(1, 2000), {candidate(1, 16'000), candidate(2, 2500)});
    BOOST_REQUIRE(chosen.size() == 1U);
    BOOST_TEST(chosen.front() == 2U);
}

BOOST_AUTO_TEST_CASE(PlacesAllTasksOfAGangOrNone)
{
    TaskPlacementRequest gang = request(3, 8000);
    gang.allOrNone = true;
    BOOST_TEST(chooseWorkers(gang, {candidate(1, 16'000)}).empty());
    BOOST_TEST(chooseWorkers(gang, {candidate(1, 16'000), candidate(2, 8000)}).size() == 3U);
}

BOOST_AUTO_TEST_CASE(KeepsARackSensitiveGangOnOneRackWhenItFits)
{
    TaskPlacementRequest gang = request(2, 8000);
    gang.allOrNone = true;
    gang.preferOneRack = true;
    const auto chosen = chooseWorkers(
        gang, {candidate(1, 8000, "a"), candidate(2, 8000, "b"), candidate(3, 8000, "b")});
    BOOST_REQUIRE(chosen.size() == 2U);
    BOOST_TEST(chosen[0] != 1U);
    BOOST_TEST(chosen[1] != 1U);
}

BOOST_AUTO_TEST_CASE(PrefersTheRackOfTheData)
{
    TaskPlacementRequest nearData = request(1, 1000);
    nearData.dataRack = RackId("b");
    const auto chosen
        = chooseWorkers(nearData, {candidate(1, 1000, "a"), candidate(2, 16'000, "b")});
    BOOST_REQUIRE(chosen.size() == 1U);
    BOOST_TEST(chosen.front() == 2U);
}

BOOST_AUTO_TEST_CASE(RespectsTheMaximumPerWorker)
{
    TaskPlacementRequest bounded = request(4, 1000);
    bounded.maxPerWorker = 2;
    PlacementCandidate partlyUsed = candidate(1, 16'000);
    partlyUsed.tasksOfStep = 1;
    BOOST_TEST(chooseWorkers(bounded, {partlyUsed, candidate(2, 16'000)}).size() == 3U);
}

BOOST_AUTO_TEST_CASE(NeverPlacesMoreThanIsFree)
{
    BOOST_TEST(rc::check([]() {
        TaskPlacementRequest requested = request(*rc::gen::inRange<std::uint32_t>(1, 40),
                                                 *rc::gen::inRange<std::int64_t>(1, 5000));
        requested.allOrNone = *rc::gen::arbitrary<bool>();
        std::vector<PlacementCandidate> candidates;
        const auto count = *rc::gen::inRange<std::size_t>(0, 8);
        for (std::size_t i = 0; i < count; ++i) {
            candidates.push_back(candidate(i, *rc::gen::inRange<std::int64_t>(0, 16'000)));
        }
        std::map<std::size_t, std::int64_t> used;
        const auto chosen = chooseWorkers(requested, candidates);
        for (const std::size_t workerIndex : chosen) {
            used[workerIndex] += requested.size.cpu.value;
        }
        for (const auto &[worker, cpu] : used) {
            RC_ASSERT(cpu <= candidates[worker].free.cpu.value);
        }
        RC_ASSERT(chosen.size() <= requested.count);
        RC_ASSERT(!requested.allOrNone || chosen.empty() || chosen.size() == requested.count);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdviceCandidatesTest)

// After a change of leader, hundreds of steps send requests at once, and each listed worker adds to
// the adviser's decision time.
BOOST_AUTO_TEST_CASE(BoundsTheWorkersOfOneRequest)
{
    constexpr std::size_t workerCount = 350;
    std::vector<AdviceCandidate> workers;
    workers.reserve(workerCount);
    for (std::size_t i = 0; i < workerCount; ++i) {
        workers.push_back(AdviceCandidate{.worker = i, .taskCapacity = i % 4});
    }
    BOOST_TEST(chooseAdviceCandidates(workers, 10, 0.3).size() == 90U);
    BOOST_TEST(chooseAdviceCandidates(workers, 2, 0.7).size() == 12U);
    // Without free capacity in the fleet, the size of the request is still bounded.
    for (AdviceCandidate &worker : workers) {
        worker.taskCapacity = 0;
    }
    BOOST_TEST(chooseAdviceCandidates(workers, 20, 0.3).size() == 100U);
    BOOST_TEST(chooseAdviceCandidates({}, 20, 0.3).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(StepUrgencyTest)

// The baselines are first come, first served, and late steps in the order in which they came, as
// before the group of expired steps.
BOOST_AUTO_TEST_CASE(ServesCallersThatStillWaitAfterAnOutage)
{
    const double firstCome
        = worthAfterOutage([](const StepUrgency &left, const StepUrgency &right,
                              SteadyTime /*now*/) { return left.acceptedAt < right.acceptedAt; });
    const double lateLast
        = worthAfterOutage([](const StepUrgency &left, const StepUrgency &right, SteadyTime now) {
              return isLate(left, now) != isLate(right, now)
                  ? isLate(right, now)
                  : latestStart(left) < latestStart(right);
          });
    const double chosen = worthAfterOutage(hasPriorityOver);
    BOOST_TEST_MESSAGE("first come " << firstCome << ", late last " << lateLast << ", chosen "
                                     << chosen);
    BOOST_TEST(chosen > 1.5 * firstCome);
    BOOST_TEST(chosen >= lateLast);
}

BOOST_AUTO_TEST_CASE(PrefersStepsThatCanStillMeetTheirObjective)
{
    const StepUrgency late = urgency(0, 10s, 8s);
    const StepUrgency inTime = urgency(2, 60s, 10s);
    BOOST_TEST(hasPriorityOver(inTime, late, SteadyTime(5s)));
    BOOST_TEST(!hasPriorityOver(late, inTime, SteadyTime(5s)));
}

BOOST_AUTO_TEST_CASE(PrefersUrgentQueuesAndThenTheLeastSlack)
{
    BOOST_TEST(hasPriorityOver(urgency(0, 60s, 1s), urgency(1, 10s, 1s), SteadyTime(0s)));
    BOOST_TEST(hasPriorityOver(urgency(2, 10s, 2s), urgency(1, 10s, 1s), SteadyTime(0s)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WorkerClockTest)

BOOST_AUTO_TEST_CASE(WorkerLeaseExpiresBeforeTheLeaderTreatsItAsExpired)
{
    BOOST_TEST(rc::check([]() {
        const ClockReading reading{.clock = WorkerTime(std::chrono::hours(1)),
                                   .at = SteadyTime(std::chrono::hours(2))};
        const auto elapsed = std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
        const auto lease = std::chrono::milliseconds(*rc::gen::inRange(1, 10'000));
        const double rate = 1.0 - *rc::gen::inRange(0, 20) / 1000.0;
        const WorkerTime end = earliestWorkerTime(reading, reading.at + elapsed) + lease;
        const SteadyTime expiry = latestLeaseExpiry(reading, end);
        const std::chrono::duration<double, std::milli> passed(expiry - reading.at);
        // The time on the worker's clock when the leader considers the lease expired.
        RC_ASSERT(reading.clock.time_since_epoch().count() + passed.count() * rate
                  >= static_cast<double>(end.time_since_epoch().count()) - 1.0);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
