// Tests of a process that was suspended: it must know that before it acts on what it reads next.

#include <boost/test/unit_test.hpp>
#include <cluster/cluster.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

struct PauseFixture
{
    void runFor(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed{0}; passed < time; passed += 500ms) {
            this->clock.advance(500ms);
            this->pauses.tick();
        }
    }

    ManualClock clock;
    PauseDetector pauses{clock};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PauseDetectorTest, PauseFixture)

BOOST_AUTO_TEST_CASE(SeesNoPauseWhileItsTicksAreRegular)
{
    BOOST_TEST(!this->pauses.pausedRecently());
    this->runFor(5000ms);
    BOOST_TEST(!this->pauses.pausedRecently());
}

// Guards against the order of events after the pause: a request may be read before the first tick.
BOOST_AUTO_TEST_CASE(KnowsOfAPauseBeforeTheNextTick)
{
    this->runFor(1000ms);
    this->clock.advance(4000ms);
    BOOST_TEST(this->pauses.pausedRecently());
}

BOOST_AUTO_TEST_CASE(RemembersAPauseForASecond)
{
    this->runFor(1000ms);
    this->clock.advance(4000ms);
    this->pauses.tick();
    this->clock.advance(900ms);
    BOOST_TEST(this->pauses.pausedRecently());
    this->clock.advance(100ms);
    this->pauses.tick();
    BOOST_TEST(!this->pauses.pausedRecently());
}

BOOST_AUTO_TEST_SUITE_END()
