#include <policy/policy.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

Resources amount(std::int64_t cores, std::int64_t gigabytes, std::int64_t accelerators = 0)
{
    return Resources{.cpu = CpuMillis(cores * 1000),
                     .memory = Bytes(gigabytes << 30),
                     .accelerators = AcceleratorCount(accelerators),
                     .slots = SlotCount(1)};
}

Candidate candidate(const Resources &capacity, const Resources &used, std::uint32_t domain = 0,
                    std::uint32_t rack = 0)
{
    Candidate result;
    result.capacity = capacity;
    result.capacity.slots = SlotCount(8);
    result.free = subtract(result.capacity, used).value();
    result.domain = DomainIndex(domain);
    result.rack = RackIndex(rack);
    return result;
}

PlacementRequest request(const Resources &wanted)
{
    PlacementRequest result;
    result.job = JobId(1);
    result.amount = wanted;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTest)

// Guards against small tasks that fragment empty instances while used ones have free capacity.
BOOST_AUTO_TEST_CASE(PacksOntoFullestInstanceThatFits)
{
    const std::vector<Candidate> candidates{candidate(amount(16, 64), Resources{}),
                                            candidate(amount(16, 64), amount(12, 48)),
                                            candidate(amount(16, 64), amount(15, 60))};
    const CandidateChoice choice = chooseCandidate(candidates, request(amount(2, 8)));
    BOOST_TEST(choice.best.value() == 1U);
    BOOST_TEST(choice.runnerUp.value() == 0U);
}

// Guards against stranded memory on instances whose processors are fully used.
BOOST_AUTO_TEST_CASE(KeepsDimensionsInBalance)
{
    const std::vector<Candidate> candidates{candidate(amount(16, 64), amount(8, 8)),
                                            candidate(amount(16, 64), amount(2, 32))};
    BOOST_TEST(chooseCandidate(candidates, request(amount(6, 4))).best.value() == 1U);
}

// Guards against tasks without accelerators that strand an instance's free accelerators.
BOOST_AUTO_TEST_CASE(AvoidsInstancesWithFreeAccelerators)
{
    const std::vector<Candidate> candidates{candidate(amount(16, 64, 8), amount(13, 60)),
                                            candidate(amount(16, 64), Resources{})};
    BOOST_TEST(chooseCandidate(candidates, request(amount(2, 2))).best.value() == 1U);
}

// Guards against tasks that wait although an instance with accelerators has free capacity.
BOOST_AUTO_TEST_CASE(TakesAcceleratorInstanceWhenNothingElseFits)
{
    const std::vector<Candidate> candidates{candidate(amount(16, 64, 8), Resources{}),
                                            candidate(amount(16, 64), amount(16, 64))};
    BOOST_TEST(chooseCandidate(candidates, request(amount(2, 2))).best.value() == 0U);
}

// Guards against a service whose tasks all fail with one failure domain or one rack.
BOOST_AUTO_TEST_CASE(SpreadsOverDomainsThenRacks)
{
    const std::vector<Candidate> candidates{candidate(amount(16, 64), amount(8, 32), 0, 0),
                                            candidate(amount(16, 64), amount(8, 32), 1, 1),
                                            candidate(amount(16, 64), Resources{}, 1, 2)};
    SpreadCounts counts;
    counts.perDomain = {{DomainIndex(0), 2}, {DomainIndex(1), 1}};
    counts.perRack = {{RackIndex(0), 2}, {RackIndex(1), 1}};
    PlacementRequest wanted = request(amount(2, 8));
    wanted.spread = &counts;
    BOOST_TEST(chooseCandidate(candidates, wanted).best.value() == 2U);
}

// Guards against placements that exceed an instance's capacity in any dimension.
BOOST_AUTO_TEST_CASE(NeverExceedsInstanceCapacity)
{
    const std::vector<Candidate> candidates{candidate(amount(16, 64, 1), amount(15, 8)),
                                            candidate(amount(16, 64, 1), amount(2, 63)),
                                            candidate(amount(16, 64, 1), amount(2, 8, 1))};
    const CandidateChoice choice = chooseCandidate(candidates, request(amount(2, 2, 1)));
    BOOST_TEST(!choice.best.has_value());
    BOOST_TEST(choice.anyEligible);
}

// Guards against backfilled tasks that outlast the reservation and delay the gang.
BOOST_AUTO_TEST_CASE(BackfillsOnlyWorkThatEndsInTime)
{
    Candidate reserved = candidate(amount(16, 64), Resources{});
    reserved.reservedUntil = SteadyTime(std::chrono::seconds(100));
    reserved.reservedFor = JobId(7);
    const std::vector<Candidate> candidates{reserved};
    PlacementRequest wanted = request(amount(1, 1));
    BOOST_TEST(!chooseCandidate(candidates, wanted).best.has_value());
    wanted.expectedEnd = SteadyTime(std::chrono::seconds(101));
    BOOST_TEST(!chooseCandidate(candidates, wanted).best.has_value());
    wanted.expectedEnd = SteadyTime(std::chrono::seconds(99));
    BOOST_TEST(chooseCandidate(candidates, wanted).best.has_value());
    wanted.expectedEnd.reset();
    wanted.job = JobId(7);
    BOOST_TEST(chooseCandidate(candidates, wanted).best.has_value());
}

// Guards against placing tasks on instances that must not take new ones.
BOOST_AUTO_TEST_CASE(RejectsDepartingUnreachableAndOutOfService)
{
    Instance instance;
    instance.spec.domain = FailureDomainId("heredia");
    BOOST_TEST(acceptsNewTasks(instance, {}));
    BOOST_TEST(!acceptsNewTasks(instance, {FailureDomainId("heredia")}));
    instance.departing = true;
    BOOST_TEST(!acceptsNewTasks(instance, {}));
    instance.departing = false;
    instance.reachable = false;
    BOOST_TEST(!acceptsNewTasks(instance, {}));
}

BOOST_AUTO_TEST_SUITE_END()
