#include <boost/test/unit_test.hpp>

#include "simulated_cell.h"

using namespace gooseberry;
using std::chrono::milliseconds;

namespace {

FaultRates allFaults()
{
    return FaultRates{.drop = 0.05,
                      .duplicate = 0.05,
                      .slow = 0.05,
                      .crash = 0.001,
                      .pause = 0.001,
                      .crashLeader = 0.001,
                      .crashAfterVote = 0.02,
                      .crashAfterCommit = 0.002,
                      .quickRestart = 0.001,
                      .isolate = 0.001,
                      .cutLink = 0.002,
                      .eraseDisk = 0.0005,
                      .leadershipTransfer = 0.001,
                      .snapshot = 0.01};
}

void requireNoViolation(const SimulatedCell &cell, std::uint64_t seed)
{
    BOOST_REQUIRE_MESSAGE(!cell.violation,
                          "seed " << seed << ": " << cell.violation.value_or(std::string()));
}

/** Returns the first seed for which the checker finds a violation, 0 when it finds none. */
std::uint64_t firstViolation(FaultRates rates, InjectedBugs injectedBugs, bool forgetVotes,
                             std::uint64_t seeds, std::size_t voters = 3)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SimulatedCell cell(seed, voters, rates, injectedBugs, forgetVotes);
        cell.run(milliseconds(20000));
        if (cell.violation) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << *cell.violation);
            // The injected bug is the cause only if the same faults do not violate a rule without
            // it.
            SimulatedCell intact(seed, voters, rates);
            intact.run(milliseconds(20000));
            requireNoViolation(intact, seed);
            return seed;
        }
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DecisionsTest)

// Guards against lost entries, two leaders in a term or with a lease, and a cell that does not
// recover, for random sequences of faults.
BOOST_AUTO_TEST_CASE(KeepsInvariantsUnderRandomFaults)
{
    std::size_t leaderships = 0;
    std::size_t repairs = 0;
    std::size_t installs = 0;
    std::uint64_t committed = 0;
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        SimulatedCell cell(seed, seed % 4 == 0 ? 5 : 3, allFaults());
        cell.run(milliseconds(10000));
        requireNoViolation(cell, seed);
        BOOST_TEST(cell.recovers(), "seed " << seed << " does not recover");
        requireNoViolation(cell, seed);
        leaderships += cell.leaderships;
        repairs += cell.repairs;
        installs += cell.installs;
        committed += cell.committed().value;
    }
    BOOST_TEST_MESSAGE(leaderships << " leaderships, " << repairs << " repairs, " << installs
                                   << " snapshots installed, " << committed << " committed");
    // Checks that the runs exercised enough faults to be meaningful.
    BOOST_TEST(leaderships > 100U);
    BOOST_TEST(repairs > 5U);
    BOOST_TEST(installs > 20U);
    BOOST_TEST(committed > 1000U);
}

// Guards against a leader that is paused until its lease has expired and relies on the lease after
// resuming.
BOOST_AUTO_TEST_CASE(PausedLeaderHasNoLeaseAfterResuming)
{
    SimulatedCell cell(1, 3, {});
    BOOST_REQUIRE(
        cell.runUntil([&] { return cell.leaseHolder().has_value(); }, milliseconds(3000)));
    const std::size_t old = *cell.leaseHolder();
    cell.pause(old, milliseconds(600));
    BOOST_TEST(cell.runUntil([&] { return cell.leaseHolder() && *cell.leaseHolder() != old; },
                             milliseconds(599)));
    cell.run(milliseconds(1000));
    requireNoViolation(cell, 1);
    BOOST_TEST((cell.leaseHolder() && *cell.leaseHolder() != old));
}

// Guards against a replica that can only send or only receive and therefore repeatedly deposes a
// healthy leader, or keeps a lease that no voter confirms.
BOOST_AUTO_TEST_CASE(OneWayPartitionDoesNotDisruptLeader)
{
    for (const bool sends : {true, false}) {
        SimulatedCell cell(2, 3, {});
        BOOST_REQUIRE(
            cell.runUntil([&] { return cell.leaseHolder().has_value(); }, milliseconds(3000)));
        const std::size_t leader = *cell.leaseHolder();
        cell.run(milliseconds(300));
        cell.isolate((leader + 1) % 3, sends, !sends);
        const std::size_t before = cell.leaderships;
        cell.run(milliseconds(2000));
        requireNoViolation(cell, 2);
        BOOST_TEST(cell.leaderships == before);
        cell.isolate((leader + 1) % 3, false, false);
        cell.isolate(leader, sends, !sends);
        BOOST_TEST(
            cell.runUntil([&] { return cell.leaseHolder() && *cell.leaseHolder() != leader; },
                          milliseconds(2000)));
        BOOST_TEST(cell.recovers());
        requireNoViolation(cell, 2);
    }
}

// Guards against a voter that lost its disk and still votes or is counted in a quorum.
BOOST_AUTO_TEST_CASE(VoterWithErasedDiskIsNotCounted)
{
    SimulatedCell cell(3, 3, {});
    BOOST_REQUIRE(cell.runUntil([&] { return cell.committed().value > 10; }, milliseconds(5000)));
    const std::size_t leader = *cell.latestLeader();
    const std::size_t other = (leader + 1) % 3;
    const std::size_t lost = (leader + 2) % 3;
    cell.crash(lost);
    cell.eraseDisk(lost);
    cell.crash(leader);
    cell.restart(lost);
    const LogIndex before = cell.committed();
    cell.run(milliseconds(3000));
    requireNoViolation(cell, 3);
    BOOST_TEST(!cell.isEligibleVoter(lost));
    BOOST_TEST((cell.committed() == before));
    BOOST_TEST(!cell.leaseHolder().has_value());
    cell.restart(leader);
    BOOST_TEST(cell.runUntil([&] { return cell.isEligibleVoter(lost) && cell.repairs == 1; },
                             milliseconds(5000)));
    cell.crash(other);
    BOOST_TEST(cell.runUntil([&] { return cell.committed().value > before.value + 20; },
                             milliseconds(5000)));
}

// Guards against losing entries when a second voter loses its disk right after the first one was
// repaired: the repaired voter must have all committed entries before it is counted in a quorum.
BOOST_AUTO_TEST_CASE(KeepsEntriesWhenSecondDiskIsLostAfterRepair)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SimulatedCell cell(seed, 3, {.drop = 0.02, .slow = 0.02, .propose = 0.1});
        BOOST_REQUIRE(
            cell.runUntil([&] { return cell.committed().value > 50; }, milliseconds(9000)));
        for (std::size_t round = 0; round < 4; ++round) {
            const std::size_t lost = (*cell.latestLeader() + round) % 3;
            cell.crash(lost);
            cell.eraseDisk(lost);
            cell.restart(lost);
            BOOST_REQUIRE_MESSAGE(
                cell.runUntil([&] { return cell.repairs == round + 1 && cell.latestLeader(); },
                              milliseconds(9000)),
                "seed " << seed << " round " << round << ": "
                        << cell.violation.value_or("not repaired"));
        }
        BOOST_TEST(cell.recovers());
        requireNoViolation(cell, seed);
    }
}

// Guards against a cell that can't elect a leader because only one remaining voter has stored the
// promotion of a learner: the learner must vote for it without having the promotion itself.
BOOST_AUTO_TEST_CASE(PromotedLearnerVotesBeforeReceivingItsPromotion)
{
    ReplicaState learner;
    learner.settings.self = InstanceId("b");
    learner.settings.disk = DiskId(7);
    Effects effects;
    receive(learner, SteadyTime(milliseconds(1000)), InstanceId("a"),
            Vote{.term = Term(2), .lastIndex = LogIndex(9), .lastTerm = Term(1), .disk = DiskId(7)},
            effects);
    receive(learner, SteadyTime(milliseconds(2000)), InstanceId("c"),
            Vote{.term = Term(3), .lastIndex = LogIndex(9), .lastTerm = Term(1), .disk = DiskId(6)},
            effects);
    BOOST_REQUIRE(effects.messages.size() == 2U);
    BOOST_TEST(std::get<VoteReply>(effects.messages[0].message).granted);
    BOOST_TEST(!std::get<VoteReply>(effects.messages[1].message).granted);
}

// Guards against a new cell that can't recover from a crash during bootstrap.
BOOST_AUTO_TEST_CASE(BootstrapSurvivesCrashes)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SimulatedCell cell(seed, 3, {.drop = 0.1, .slow = 0.1, .crash = 0.03});
        cell.run(milliseconds(300));
        requireNoViolation(cell, seed);
        BOOST_TEST(cell.recovers(), "seed " << seed << " does not recover");
        requireNoViolation(cell, seed);
    }
}

// The following tests guard against a checker that misses violations: each injects a bug that the
// checker must find.

BOOST_AUTO_TEST_CASE(CheckerFindsCommitOfEarlierTermsByCounting)
{
    FaultRates rates{
        .drop = 0.1, .crash = 0.002, .crashLeader = 0.02, .crashAfterCommit = 0.6, .propose = 0};
    BOOST_TEST(firstViolation(rates, {.commitEarlierTermsByCounting = true}, false, 100) != 0U);
}

BOOST_AUTO_TEST_CASE(CheckerFindsForgottenVote)
{
    FaultRates rates{.crashLeader = 0.005, .crashAfterVote = 0.5, .cutLink = 0.01, .propose = 0};
    BOOST_TEST(firstViolation(rates, {.forgetLeaderContactOnRestart = true}, true, 40, 5) != 0U);
}

BOOST_AUTO_TEST_CASE(CheckerFindsLeaseCountedFromReplyTime)
{
    FaultRates rates{.slow = 0.3, .isolate = 0.001, .cutLink = 0.003};
    BOOST_TEST(firstViolation(rates, {.leaseFromReplyTime = true}, false, 40) != 0U);
}

BOOST_AUTO_TEST_CASE(CheckerFindsVoteDespiteLeaderContact)
{
    FaultRates rates{.cutLink = 0.003};
    BOOST_TEST(firstViolation(rates, {.voteDespiteLeaderContact = true}, false, 20) != 0U);
}

BOOST_AUTO_TEST_CASE(CheckerFindsVoteAfterLostDisk)
{
    FaultRates rates{.slow = 0.05, .crash = 0.002, .isolate = 0.001, .eraseDisk = 0.001};
    BOOST_TEST(firstViolation(rates, {.voteAfterLostDisk = true}, false, 40) != 0U);
}

BOOST_AUTO_TEST_CASE(CheckerFindsLeaseKeptDuringTransfer)
{
    FaultRates rates{.slow = 0.1, .isolate = 0.001, .leadershipTransfer = 0.01};
    BOOST_TEST(firstViolation(rates, {.keepLeaseDuringTransfer = true}, false, 20) != 0U);
}

BOOST_AUTO_TEST_CASE(CheckerFindsLeaderContactForgottenOnRestart)
{
    FaultRates rates{.quickRestart = 0.01, .cutLink = 0.005, .propose = 0};
    BOOST_TEST(firstViolation(rates, {.forgetLeaderContactOnRestart = true}, false, 40) != 0U);
}

BOOST_AUTO_TEST_SUITE_END()
