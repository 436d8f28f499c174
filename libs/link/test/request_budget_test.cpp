#include <link/link.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

constexpr RequestMemoryLimits limits{
    .all = Bytes(1000), .large = Bytes(600), .smallRequest = Bytes(100)};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestBudgetTest)

// Guards against large requests, such as bodies that stop short of their end, that take all memory
// and leave none for ordinary callers.
BOOST_AUTO_TEST_CASE(LargeRequestsLeaveRoomForSmallOnes)
{
    const RequestMemoryUse use{.all = Bytes(600), .large = Bytes(600)};
    BOOST_TEST(!mayChange(limits, use, Bytes(0), Bytes(101)));
    BOOST_TEST(mayChange(limits, use, Bytes(0), Bytes(100)));
    const RequestMemoryUse full{.all = Bytes(1000), .large = Bytes(600)};
    BOOST_TEST(!mayChange(limits, full, Bytes(0), Bytes(1)));
}

// Guards against a request that grows from small to large and is counted as both, or as neither.
BOOST_AUTO_TEST_CASE(CountsARequestThatGrowsAsLargeAsAWhole)
{
    const RequestMemoryUse small = useAfterChange(limits, {}, Bytes(0), Bytes(100));
    BOOST_TEST((small == RequestMemoryUse{.all = Bytes(100), .large = Bytes(0)}));
    const RequestMemoryUse large = useAfterChange(limits, small, Bytes(100), Bytes(101));
    BOOST_TEST((large == RequestMemoryUse{.all = Bytes(101), .large = Bytes(101)}));
    const RequestMemoryUse none = useAfterChange(limits, large, Bytes(101), Bytes(0));
    BOOST_TEST((none == RequestMemoryUse{}));
}

// Guards against a request that can't give memory back because the budget is full.
BOOST_AUTO_TEST_CASE(AlwaysAllowsARequestToHoldLess)
{
    const RequestMemoryUse above{.all = Bytes(2000), .large = Bytes(2000)};
    BOOST_TEST(mayChange(limits, above, Bytes(500), Bytes(400)));
    BOOST_TEST(mayChange(limits, above, Bytes(500), Bytes(0)));
}

// Guards against memory that stays counted after its request has ended.
BOOST_AUTO_TEST_CASE(AChargeGivesBackWhatItHolds)
{
    const auto budget = std::make_shared<RequestBudget>(limits);
    {
        RequestCharge first(budget);
        RequestCharge second(budget);
        BOOST_TEST(first.set(Bytes(500)));
        BOOST_TEST(!second.set(Bytes(200)));
        BOOST_TEST(second.set(Bytes(50)));
        BOOST_TEST(!second.set(Bytes(200)));
        BOOST_TEST((budget->use() == RequestMemoryUse{.all = Bytes(550), .large = Bytes(500)}));
        BOOST_TEST(budget->refusals() == 2U);
    }
    BOOST_TEST((budget->use() == RequestMemoryUse{}));
}

BOOST_AUTO_TEST_SUITE_END()
