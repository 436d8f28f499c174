#include <policy/policy.h>

#include <random>
#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** What one policy does with a backlog. */
struct BacklogResult
{
    std::size_t attempts = 0;
    /** Steps that were not tried although one of their workers had gained room. */
    std::size_t missed = 0;
};

/**
 * Replays the seconds after an outage on 1,100 workers: 1,000 steps wait, each may run on 12
 * workers, and in each of 80 passes 20 workers gain room that is too small for any step.
 */
template<typename MayAttempt>
BacklogResult replayBacklog(const MayAttempt &mayAttempt)
{
    constexpr std::size_t workers = 1100;
    constexpr std::size_t steps = 1000;
    constexpr std::size_t allowedPerStep = 12;
    constexpr std::size_t passes = 80;
    constexpr std::size_t gainsPerPass = 20;
    std::mt19937 random(7);
    std::uniform_int_distribution<std::size_t> anyWorker(0, workers - 1);
    std::vector<std::vector<std::size_t>> allowed(steps);
    for (auto &places : allowed) {
        for (std::size_t number = 0; number < allowedPerStep; ++number) {
            places.push_back(anyWorker(random));
        }
    }
    std::vector<RoomVersion> gained(workers, 0);
    std::vector<std::optional<RoomVersion>> failed(steps);
    RoomVersion last = 0;
    BacklogResult result;
    for (std::size_t pass = 0; pass < passes; ++pass) {
        std::set<std::size_t> changed;
        for (std::size_t number = 0; number < gainsPerPass; ++number) {
            const std::size_t worker = anyWorker(random);
            gained[worker] = ++last;
            changed.insert(worker);
        }
        for (std::size_t step = 0; step < steps; ++step) {
            RoomVersion newest = 0;
            bool mustTry = !failed[step].has_value();
            for (const std::size_t worker : allowed[step]) {
                newest = std::max(newest, gained[worker]);
                mustTry = mustTry || changed.contains(worker);
            }
            if (mayAttempt(failed[step], newest)) {
                ++result.attempts;
                failed[step] = last;
            } else {
                result.missed += mustTry ? 1 : 0;
            }
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementRetryTest)

// Guards against a leader that spends its processor time on attempts that can't succeed: after an
// outage its passes took 40 ms, so that urgent work waited seconds beside free workers. The
// baseline tries every step in every pass.
BOOST_AUTO_TEST_CASE(TriesABacklogOnlyWhereRoomHasChanged)
{
    const BacklogResult each = replayBacklog([](const std::optional<RoomVersion> & /*lastFailure*/,
                                                RoomVersion /*newestGain*/) { return true; });
    const BacklogResult chosen = replayBacklog(mayFindRoom);
    BOOST_TEST_MESSAGE("attempts: every pass " << each.attempts << ", chosen " << chosen.attempts);
    BOOST_TEST(chosen.missed == 0U);
    BOOST_TEST(chosen.attempts < each.attempts / 3);
}

BOOST_AUTO_TEST_CASE(TriesAStepThatHasNotFailed)
{
    BOOST_TEST(mayFindRoom(std::nullopt, 0));
    BOOST_TEST(!mayFindRoom(5, 5));
    BOOST_TEST(mayFindRoom(5, 6));
}

// A ticket that can be renewed for a worker with new room must not wait as long as a step whose
// workers have not changed.
BOOST_AUTO_TEST_CASE(SearchesSoonerWhereRoomHasChanged)
{
    const CandidateSearch last{.at = SteadyTime(10s), .room = 7};
    BOOST_TEST(maySearchCandidates(std::nullopt, 0, SteadyTime(10s)));
    BOOST_TEST(!maySearchCandidates(last, 8, SteadyTime(10s) + 20ms));
    BOOST_TEST(maySearchCandidates(last, 8, SteadyTime(10s) + 50ms));
    BOOST_TEST(!maySearchCandidates(last, 7, SteadyTime(10s) + 50ms));
    BOOST_TEST(maySearchCandidates(last, 7, SteadyTime(10s) + 400ms));
}

BOOST_AUTO_TEST_SUITE_END()
