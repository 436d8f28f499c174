// Tests of orders for evacuations that arrive late: an order that was delayed on its way, or in a
// suspended process, must not undo what was ordered after it.

#include <boost/test/unit_test.hpp>
#include <codec/codec.h>
#include <workflow/workflow.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

struct EvacuationFixture
{
    /** Applies an order whose sender has read this revision; returns whether it is in force. */
    bool order(bool evacuated, std::uint64_t revision)
    {
        return this->state
            .apply(ProposedCommand{.origin = 1,
                                   .number = 1,
                                   .at = {},
                                   .command = OrderEvacuation{.domain = this->domain,
                                                              .evacuated = evacuated,
                                                              .expectedRevision = revision}})
            .accepted.front();
    }

    std::uint64_t revision() const
    {
        return this->state.evacuationRevision(this->domain);
    }

    bool isEvacuated() const
    {
        return this->state.evacuated().contains(this->domain);
    }

    FailureDomainId domain{"domain"};
    WorkflowState state{1min};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationOrderTest, EvacuationFixture)

BOOST_AUTO_TEST_CASE(ADelayedWithdrawalDoesNotEndALaterEvacuation)
{
    BOOST_TEST(this->order(true, 0));
    const std::uint64_t readByDelayed = this->revision();
    BOOST_TEST(this->order(false, this->revision()));
    BOOST_TEST(this->order(true, this->revision()));
    BOOST_TEST(!this->order(false, readByDelayed));
    BOOST_TEST(this->isEvacuated());
}

// The same if the order between them changed nothing: it was ordered later all the same.
BOOST_AUTO_TEST_CASE(ADelayedWithdrawalDoesNotEndAnEvacuationThatWasOrderedAgain)
{
    BOOST_TEST(this->order(true, 0));
    const std::uint64_t readByDelayed = this->revision();
    BOOST_TEST(this->order(true, this->revision()));
    BOOST_TEST(!this->order(false, readByDelayed));
    BOOST_TEST(this->isEvacuated());
}

// Guards against a refusal of an order that was accepted, when its answer was lost.
BOOST_AUTO_TEST_CASE(AcknowledgesACopyOfAnOrderThatIsInForce)
{
    BOOST_TEST(this->order(true, 0));
    BOOST_TEST(this->order(true, 0));
    BOOST_TEST(this->revision() == 1U);
}

BOOST_AUTO_TEST_CASE(RemembersTheOrderInASnapshot)
{
    this->order(true, 0);
    const std::uint64_t readByDelayed = this->revision();
    this->order(false, this->revision());
    this->order(true, this->revision());
    BOOST_REQUIRE(ok(this->state.restore(this->state.snapshot())));
    BOOST_TEST(!this->order(false, readByDelayed));
    BOOST_TEST(this->isEvacuated());
}

BOOST_AUTO_TEST_CASE(OrdersDomainsIndependently)
{
    this->order(true, 0);
    BOOST_TEST(this->state.evacuationRevision(FailureDomainId("other")) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
