// Tests of the decision on the next membership change.

#include <boost/test/unit_test.hpp>
#include <cluster/cluster.h>
#include <rapidcheck.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime now{100s};

InstanceId node(int number)
{
    return InstanceId("node-" + std::to_string(number));
}

MembershipView fiveVoters()
{
    MembershipView view;
    view.self = node(1);
    view.now = now;
    view.termBegan = SteadyTime(10s);
    for (int number = 1; number <= 5; ++number) {
        view.membership.voters.insert(node(number));
        view.membership.disks[node(number)] = DiskId(static_cast<std::uint64_t>(number));
        if (number > 1) {
            view.peers[node(number)] = PeerStatus{.lastContact = now, .caughtUp = true};
        }
    }
    return view;
}

void silence(MembershipView &view, int number)
{
    view.peers[node(number)].lastContact = now - 5s;
}

void addLearner(MembershipView &view, int number, bool caughtUp)
{
    view.membership.learners.insert(node(number));
    view.joinRequests[node(number)] = DiskId(99);
    view.peers[node(number)] = PeerStatus{.lastContact = now, .caughtUp = caughtUp};
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipStepTest)

BOOST_AUTO_TEST_CASE(ChangesNothingWithoutAReplacement)
{
    MembershipView view = fiveVoters();
    BOOST_TEST(!nextMembershipStep(view).has_value());
    view.joinRequests[node(6)] = DiskId(6);
    BOOST_TEST(!nextMembershipStep(view).has_value());
    // A silent voter stays as long as no other node can replace it.
    view.joinRequests.clear();
    silence(view, 5);
    BOOST_TEST(!nextMembershipStep(view).has_value());
}

BOOST_AUTO_TEST_CASE(ReplacesASilentVoterOnlyWhenAnotherNodeHasCaughtUp)
{
    MembershipView view = fiveVoters();
    silence(view, 5);
    view.joinRequests[node(6)] = DiskId(6);
    auto step = nextMembershipStep(view);
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST((step->action == MembershipAction::AddLearner));
    BOOST_TEST((step->node == node(6)));

    addLearner(view, 6, false);
    BOOST_TEST(!nextMembershipStep(view).has_value());
    view.peers[node(6)].caughtUp = true;
    step = nextMembershipStep(view);
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST((step->action == MembershipAction::Remove));
    BOOST_TEST((step->node == node(5)));

    view.membership.voters.erase(node(5));
    step = nextMembershipStep(view);
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST((step->action == MembershipAction::Promote));
    BOOST_TEST((step->node == node(6)));
}

BOOST_AUTO_TEST_CASE(RemovesAVoterThatReturnsWithAnotherDisk)
{
    MembershipView view = fiveVoters();
    view.joinRequests[node(3)] = DiskId(33);
    const auto step = nextMembershipStep(view);
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST((step->action == MembershipAction::Remove));
    BOOST_TEST((step->node == node(3)));
}

BOOST_AUTO_TEST_CASE(TreatsNoVoterAsSilentRightAfterAnElection)
{
    MembershipView view = fiveVoters();
    silence(view, 5);
    view.termBegan = now - 500ms;
    addLearner(view, 6, true);
    BOOST_TEST(!nextMembershipStep(view).has_value());
}

BOOST_AUTO_TEST_CASE(DropsALearnerThatHasGone)
{
    MembershipView view = fiveVoters();
    addLearner(view, 6, true);
    view.joinRequests.clear();
    silence(view, 6);
    const auto step = nextMembershipStep(view);
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST((step->action == MembershipAction::Remove));
    BOOST_TEST((step->node == node(6)));
}

// Guards against a repair that reduces the number of failures that the cell tolerates: live voters
// must stay a majority after every step.
BOOST_AUTO_TEST_CASE(KeepsAMajorityOfLiveVotersDuringRepair)
{
    BOOST_TEST(rc::check([]() {
        MembershipView view = fiveVoters();
        const int lost = *rc::gen::inRange(0, 3);
        for (int i = 0; i < lost; ++i) {
            silence(view, 5 - i);
        }
        std::set<InstanceId> alive;
        for (int number = 1; number <= 5 - lost; ++number) {
            alive.insert(node(number));
        }
        const int spares = *rc::gen::inRange(0, 4);
        for (int number = 6; number < 6 + spares; ++number) {
            view.joinRequests[node(number)] = DiskId(static_cast<std::uint64_t>(number));
            alive.insert(node(number));
        }
        for (int steps = 0; steps < 30; ++steps) {
            const auto step = nextMembershipStep(view);
            if (!step) {
                break;
            }
            Membership &membership = view.membership;
            if (step->action == MembershipAction::AddLearner) {
                addLearner(view, std::stoi(step->node.value.substr(5)), true);
            } else if (step->action == MembershipAction::Promote) {
                membership.learners.erase(step->node);
                membership.voters.insert(step->node);
                membership.disks[step->node] = view.joinRequests[step->node];
                view.joinRequests.erase(step->node);
            } else {
                membership.voters.erase(step->node);
                membership.learners.erase(step->node);
            }
            std::size_t votes = 0;
            for (const InstanceId &voter : membership.voters) {
                votes += alive.contains(voter) ? 1 : 0;
            }
            RC_ASSERT(votes * 2 > membership.voters.size());
            RC_ASSERT(membership.voters.size() <= 5U);
        }
    }));
}

// Guards against a leader that keeps leadership and refuses all work while its disk is full.
BOOST_AUTO_TEST_CASE(TransfersLeadershipWhenTheDiskIsFullAndAnotherVoterCanLead)
{
    ReplicaStatus status;
    status.leads = true;
    status.storageFull = true;
    status.membership = fiveVoters().membership;
    BOOST_TEST(!shouldTransferLeadership(status));
    status.peers[node(6)] = PeerStatus{.lastContact = now, .caughtUp = true};
    BOOST_TEST(!shouldTransferLeadership(status));
    status.peers[node(2)] = PeerStatus{.lastContact = now, .caughtUp = true};
    BOOST_TEST(shouldTransferLeadership(status));
    status.storageFull = false;
    BOOST_TEST(!shouldTransferLeadership(status));
}

BOOST_AUTO_TEST_SUITE_END()
