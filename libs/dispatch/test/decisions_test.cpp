// The decisions of the leader as functions over plain structs.

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

Seat seat(std::size_t worker, std::int64_t cpu, const std::string &rack = "r")
{
    Seat made;
    made.worker = worker;
    made.free = Resources{.cpu = CpuMillis(cpu),
                          .memory = Bytes(1000),
                          .accelerators = AcceleratorCount(0),
                          .slots = SlotCount(0)};
    made.rack = RackId(rack);
    return made;
}

SeatRequest request(std::uint32_t count, std::int64_t cpu)
{
    SeatRequest made;
    made.count = count;
    made.size = size(cpu);
    return made;
}

StepUrgency urgency(std::uint32_t priority, Duration objective, Duration remaining)
{
    StepUrgency made;
    made.priority = priority;
    made.objective = SteadyTime(objective);
    made.remaining = remaining;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementChoiceTest)

BOOST_AUTO_TEST_CASE(FillsTheFullestWorkerThatStillFits)
{
    const auto places = choosePlaces(request(1, 2000), {seat(1, 16'000), seat(2, 2500)});
    BOOST_REQUIRE(places.size() == 1U);
    BOOST_TEST(places.front() == 2U);
}

BOOST_AUTO_TEST_CASE(PlacesAGangWholeOrNotAtAll)
{
    SeatRequest gang = request(3, 8000);
    gang.together = true;
    BOOST_TEST(choosePlaces(gang, {seat(1, 16'000)}).empty());
    BOOST_TEST(choosePlaces(gang, {seat(1, 16'000), seat(2, 8000)}).size() == 3U);
}

BOOST_AUTO_TEST_CASE(KeepsARackSensitiveGangOnOneRackWhenItFits)
{
    SeatRequest gang = request(2, 8000);
    gang.together = true;
    gang.oneRack = true;
    const auto places
        = choosePlaces(gang, {seat(1, 8000, "a"), seat(2, 8000, "b"), seat(3, 8000, "b")});
    BOOST_REQUIRE(places.size() == 2U);
    BOOST_TEST(places[0] != 1U);
    BOOST_TEST(places[1] != 1U);
}

BOOST_AUTO_TEST_CASE(PrefersTheRackOfTheData)
{
    SeatRequest near = request(1, 1000);
    near.dataRack = RackId("b");
    const auto places = choosePlaces(near, {seat(1, 1000, "a"), seat(2, 16'000, "b")});
    BOOST_REQUIRE(places.size() == 1U);
    BOOST_TEST(places.front() == 2U);
}

BOOST_AUTO_TEST_CASE(KeepsTheBoundPerWorker)
{
    SeatRequest bounded = request(4, 1000);
    bounded.maxPerWorker = 2;
    Seat used = seat(1, 16'000);
    used.sameStep = 1;
    BOOST_TEST(choosePlaces(bounded, {used, seat(2, 16'000)}).size() == 3U);
}

BOOST_AUTO_TEST_CASE(NeverPlacesMoreThanIsFree)
{
    BOOST_TEST(rc::check([]() {
        SeatRequest asked = request(*rc::gen::inRange<std::uint32_t>(1, 40),
                                    *rc::gen::inRange<std::int64_t>(1, 5000));
        asked.together = *rc::gen::arbitrary<bool>();
        std::vector<Seat> seats;
        const auto count = *rc::gen::inRange<std::size_t>(0, 8);
        for (std::size_t i = 0; i < count; ++i) {
            seats.push_back(seat(i, *rc::gen::inRange<std::int64_t>(0, 16'000)));
        }
        std::map<std::size_t, std::int64_t> used;
        const auto places = choosePlaces(asked, seats);
        for (const std::size_t place : places) {
            used[place] += asked.size.cpu.value;
        }
        for (const auto &[worker, cpu] : used) {
            RC_ASSERT(cpu <= seats[worker].free.cpu.value);
        }
        RC_ASSERT(places.size() <= asked.count);
        RC_ASSERT(!asked.together || places.empty() || places.size() == asked.count);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdviceChoiceTest)

// Replays the load after a change of leader: hundreds of steps ask at once, and each worker named
// costs the adviser's time.
BOOST_AUTO_TEST_CASE(NamesNoMoreWorkersThanTheStepProbablyNeeds)
{
    constexpr std::size_t workerCount = 350;
    std::vector<SeatsOfWorker> workers;
    workers.reserve(workerCount);
    for (std::size_t i = 0; i < workerCount; ++i) {
        workers.push_back(SeatsOfWorker{.worker = i, .seats = i % 4});
    }
    BOOST_TEST(workersForSeats(workers, 10, 0.3).size() == 90U);
    BOOST_TEST(workersForSeats(workers, 2, 0.7).size() == 12U);
    // A full fleet: the question is bounded all the same.
    for (SeatsOfWorker &worker : workers) {
        worker.seats = 0;
    }
    BOOST_TEST(workersForSeats(workers, 20, 0.3).size() == 100U);
    BOOST_TEST(workersForSeats({}, 20, 0.3).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UrgencyTest)

BOOST_AUTO_TEST_CASE(PutsWorkThatCanStillEndInTimeFirst)
{
    const StepUrgency late = urgency(0, 10s, 8s);
    const StepUrgency inTime = urgency(2, 60s, 10s);
    BOOST_TEST(goesBefore(inTime, late, SteadyTime(5s)));
    BOOST_TEST(!goesBefore(late, inTime, SteadyTime(5s)));
}

BOOST_AUTO_TEST_CASE(PutsUrgentQueuesFirstAndThenTheLeastSlack)
{
    BOOST_TEST(goesBefore(urgency(0, 60s, 1s), urgency(1, 10s, 1s), SteadyTime(0s)));
    BOOST_TEST(goesBefore(urgency(2, 10s, 2s), urgency(1, 10s, 1s), SteadyTime(0s)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WorkerClockTest)

BOOST_AUTO_TEST_CASE(NeverGrantsALeaseThatOutlastsWhatTheLeaderWaitsFor)
{
    BOOST_TEST(rc::check([]() {
        const ClockReading reading{.clock = WorkerTime(std::chrono::hours(1)),
                                   .at = SteadyTime(std::chrono::hours(2))};
        const auto elapsed = std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
        const auto lease = std::chrono::milliseconds(*rc::gen::inRange(1, 10'000));
        const double rate = 1.0 - *rc::gen::inRange(0, 20) / 1000.0;
        const WorkerTime end = earliestClock(reading, reading.at + elapsed) + lease;
        const SteadyTime over = certainlyAfter(reading, end);
        const std::chrono::duration<double, std::milli> passed(over - reading.at);
        // What the worker's clock shows when the leader takes the lease for over.
        RC_ASSERT(reading.clock.time_since_epoch().count() + passed.count() * rate
                  >= static_cast<double>(end.time_since_epoch().count()) - 1.0);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
