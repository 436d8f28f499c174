#include <policy/policy.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

RouteTarget target(const std::string &domain, std::uint32_t running, std::uint32_t connections)
{
    RouteTarget result;
    result.domain = FailureDomainId(domain);
    result.running = RequestCount(running);
    result.connections = RequestCount(connections);
    return result;
}

const FailureDomainId here("heredia");

} // namespace

BOOST_AUTO_TEST_SUITE(RoutingTest)

// Guards against a ninth request on eight slots and a sixty-fifth connection.
BOOST_AUTO_TEST_CASE(NeverExceedsSlotsOrConnections)
{
    BOOST_TEST(canAcceptRequest(target("heredia", 7, 63)));
    BOOST_TEST(!canAcceptRequest(target("heredia", 8, 10)));
    BOOST_TEST(!canAcceptRequest(target("heredia", 1, 64)));
    BOOST_TEST(!chooseRoute(target("heredia", 8, 8), target("heredia", 1, 64), here).has_value());
    BOOST_TEST(chooseRoute(target("heredia", 8, 8), target("heredia", 7, 7), here).value() == 1U);
}

// Guards against requests that queue on a busy worker while another has less load.
BOOST_AUTO_TEST_CASE(TakesTheLessLoadedOfTwo)
{
    BOOST_TEST(chooseRoute(target("heredia", 3, 3), target("heredia", 2, 9), here).value() == 1U);
    BOOST_TEST(chooseRoute(target("heredia", 3, 9), target("heredia", 3, 3), here).value() == 1U);
}

// Guards against traffic between failure domains without a benefit, and against overloading a
// local worker while a remote one is idle.
BOOST_AUTO_TEST_CASE(PrefersLocalWorkerUnlessClearlyBusier)
{
    BOOST_TEST(chooseRoute(target("heredia", 3, 3), target("cartago", 2, 2), here).value() == 0U);
    BOOST_TEST(chooseRoute(target("heredia", 3, 3), target("cartago", 1, 1), here).value() == 1U);
}

// Guards against a limit that stays high while requests queue, or that never recovers.
BOOST_AUTO_TEST_CASE(LimitFollowsResponseTimes)
{
    const LimitSettings settings;
    ConcurrencyLimit limit;
    adaptLimit(limit, 10ms, true, settings);
    for (int answer = 0; answer < 20; ++answer) {
        adaptLimit(limit, 50ms, true, settings);
    }
    BOOST_TEST(limit.value == settings.minimum);
    for (int answer = 0; answer < 100; ++answer) {
        adaptLimit(limit, 11ms, true, settings);
    }
    BOOST_TEST(limit.value == settings.maximum);
}

// Guards against ejecting so many workers that the others are overloaded.
BOOST_AUTO_TEST_CASE(NeverEjectsMoreThanMaxFraction)
{
    std::vector<TargetStats> records;
    for (std::uint32_t number = 0; number < 10; ++number) {
        records.push_back(TargetStats{.instance = InstanceId("w" + std::to_string(number)),
                                      .requests = 100,
                                      .failures = number < 4 ? 90 + number : 1});
    }
    const std::vector<InstanceId> ejected = chooseEjections(records, EjectionSettings{});
    BOOST_REQUIRE(ejected.size() == 3U);
    BOOST_TEST(ejected[0].value == "w3");
    BOOST_TEST(ejected[2].value == "w1");
}

// Guards against ejecting workers when all of them fail for a common cause.
BOOST_AUTO_TEST_CASE(EjectsNoneWhenAllFailAlike)
{
    std::vector<TargetStats> records;
    for (std::uint32_t number = 0; number < 10; ++number) {
        records.push_back(TargetStats{.instance = InstanceId("w" + std::to_string(number)),
                                      .requests = 100,
                                      .failures = 80 + number});
    }
    BOOST_TEST(chooseEjections(records, EjectionSettings{}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
