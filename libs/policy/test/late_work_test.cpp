#include <policy/policy.h>

#include <deque>
#include <functional>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** Simulated outcome of the seconds after an outage. */
struct ReturnResult
{
    std::size_t newInTime = 0;
    std::size_t newArrived = 0;
    std::size_t lateStarted = 0;
};

/**
 * Replays the 4 s after an outage on 1,100 workers: 4,000 tasks of late submissions wait and 1,200
 * tasks of new ones arrive each second. The leader sends one start each 0.4 ms, in the order of the
 * placements. A new task is in time if its start is answered within 200 ms.
 */
ReturnResult replayReturn(const std::function<std::size_t(Duration)> &budget)
{
    constexpr auto tick = 400us;
    constexpr auto passInterval = 12ms;
    struct Start
    {
        Duration placed{};
        bool late = false;
    };
    ReturnResult result;
    std::deque<Start> queue;
    std::size_t late = 4000;
    double arriving = 0.0;
    Duration lateness{};
    Duration nextPass{};
    for (Duration now{}; now < 4s; now += tick) {
        arriving += 1200.0 * std::chrono::duration<double>(tick).count();
        if (now >= nextPass) {
            nextPass = now + passInterval;
            for (; arriving >= 1.0; arriving -= 1.0) {
                queue.push_back(Start{.placed = now, .late = false});
                ++result.newArrived;
            }
            // A pass waits for its turn as the starts do.
            const Duration waited = queue.empty() ? Duration{} : now - queue.front().placed;
            lateness = smoothLateness(lateness, waited);
            const std::size_t most = std::min(budget(lateness), late);
            queue.insert(queue.end(), most, Start{.placed = now, .late = true});
            late -= most;
        }
        if (!queue.empty()) {
            const Start start = queue.front();
            queue.pop_front();
            result.lateStarted += start.late ? 1 : 0;
            result.newInTime += !start.late && now - start.placed <= 200ms ? 1 : 0;
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LateWorkTest)

// Guards against a return after an outage in which late work delays all new work until it is late
// as well. The baseline places whatever fits, in the same order.
BOOST_AUTO_TEST_CASE(KeepsNewWorkInTimeWhileLateWorkReturns)
{
    const ReturnResult all = replayReturn([](Duration /*lateness*/) { return 4000; });
    const ReturnResult chosen = replayReturn(lateTaskBudget);
    BOOST_TEST_MESSAGE("new work in time: all at once "
                       << all.newInTime << ", chosen " << chosen.newInTime << " of "
                       << chosen.newArrived << "; late work started " << all.lateStarted << ", "
                       << chosen.lateStarted);
    BOOST_TEST(chosen.newInTime * 10 >= chosen.newArrived * 9);
    BOOST_TEST(chosen.newInTime > 2 * all.newInTime);
    // The processor time that new work leaves is used.
    BOOST_TEST(chosen.lateStarted * 10 >= all.lateStarted * 9);
}

BOOST_AUTO_TEST_CASE(AlwaysLetsALateStepStart)
{
    BOOST_TEST(lateTaskBudget(10s) >= 1U);
    BOOST_TEST(lateTaskBudget(0s) > lateTaskBudget(9ms));
    BOOST_TEST(lateTaskBudget(9ms) > lateTaskBudget(10s));
}

// Guards against requests for single waiting tasks that take more of the leader than their starts.
BOOST_AUTO_TEST_CASE(CountsARequestToTheAdviserAsAStepOfUsualSize)
{
    BOOST_TEST(lateAdviceCost(1) == lateTaskBudget(10s));
    BOOST_TEST(lateAdviceCost(40) == 40U);
}

BOOST_AUTO_TEST_CASE(FollowsTheLatenessWithinAFewPasses)
{
    Duration smoothed{};
    for (int pass = 0; pass < 12; ++pass) {
        smoothed = smoothLateness(smoothed, 200ms);
    }
    BOOST_TEST((smoothed > 150ms && smoothed <= 200ms));
}

BOOST_AUTO_TEST_SUITE_END()
