#include <policy/policy.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

Error orderError(ErrorCode code, Outcome outcome)
{
    return Error{
        .code = code, .step = Step::Send, .peer = {}, .message = "test", .outcome = outcome};
}

} // namespace

BOOST_AUTO_TEST_SUITE(DescriptorBudgetTest)

// Guards against a leader of 1,100 workers whose orders take all 4,324 descriptors in a burst, so
// that links, files and the workers' own calls fail.
BOOST_AUTO_TEST_CASE(NeverExceedsTheLimit)
{
    for (const std::size_t limit : {1024U, 4100U, 4324U, 65'536U}) {
        const auto budget = splitDescriptors(
            limit, DescriptorDemand{.servesCallers = false, .servesControl = true});
        BOOST_REQUIRE(ok(budget));
        const DescriptorBudget &split = valueOf(budget);
        const std::size_t sum
            = split.callers + split.control + 2 * split.monitoring + split.orders + split.advice;
        BOOST_TEST(sum + 200 + 152 <= limit, "limit " << limit << ", split " << sum);
    }
}

// Each of 1,437 workers needs one connection for its lease renewal; starts and stops share the
// rest.
BOOST_AUTO_TEST_CASE(LeavesALeaderOfTheTargetSizeAConnectionForEachWorker)
{
    const auto budget
        = splitDescriptors(4324, DescriptorDemand{.servesCallers = false, .servesControl = true});
    BOOST_REQUIRE(ok(budget));
    BOOST_TEST(valueOf(budget).orders >= 1437U + 1437U / 4);
    // The workers' reports, if two of five nodes are lost.
    BOOST_TEST(valueOf(budget).control >= 1437U / 3);
}

BOOST_AUTO_TEST_CASE(RefusesALimitThatIsTooLow)
{
    const auto budget
        = splitDescriptors(700, DescriptorDemand{.servesCallers = true, .servesControl = true});
    BOOST_REQUIRE(!ok(budget));
    BOOST_TEST(errorOf(budget).message.find("700") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OrderFailureTest)

BOOST_AUTO_TEST_CASE(AttributesAShortageOfTheSenderToTheSender)
{
    const RecentOrders one{.workersUsable = 1100, .workersFailed = 1};
    BOOST_TEST((attributeOrderFailure(orderError(ErrorCode::Overloaded, Outcome::NotRun), one)
                == OrderFailure::Sender));
    BOOST_TEST((attributeOrderFailure(orderError(ErrorCode::NotLeader, Outcome::NotRun), one)
                == OrderFailure::Sender));
    BOOST_TEST((attributeOrderFailure(orderError(ErrorCode::Unavailable, Outcome::NotRun), one)
                == OrderFailure::Worker));
}

// Guards against a fleet of which nothing is left to use after a stall of the leader.
BOOST_AUTO_TEST_CASE(AttributesTheFailureOfMostWorkersToASharedCause)
{
    const Error silence = orderError(ErrorCode::DeadlineExceeded, Outcome::Unknown);
    BOOST_TEST(
        (attributeOrderFailure(silence, RecentOrders{.workersUsable = 1100, .workersFailed = 600})
         == OrderFailure::Shared));
    BOOST_TEST(
        (attributeOrderFailure(silence, RecentOrders{.workersUsable = 1100, .workersFailed = 220})
         == OrderFailure::Worker));
    BOOST_TEST((attributeOrderFailure(silence, RecentOrders{.workersUsable = 3, .workersFailed = 2})
                == OrderFailure::Worker));
}

BOOST_AUTO_TEST_SUITE_END()
