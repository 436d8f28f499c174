#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace gooseberry;

namespace {

/** Returns whether a worker must refuse the start as outdated, by the rule in docs/api.md. */
bool workerRefuses(const StartMessage &start, const WorkerLease &seen)
{
    constexpr std::uint64_t maxLag = 3;
    return start.term < seen.term
        || (start.term == seen.term && start.leaseGeneration + maxLag < seen.generation);
}

Error sendError(Outcome outcome)
{
    return Error{.code = ErrorCode::Unavailable,
                 .step = Step::Send,
                 .peer = "w",
                 .message = "test",
                 .outcome = outcome};
}

constexpr std::chrono::milliseconds leaseAndDrift(6000 + 60 + 200);

} // namespace

BOOST_FIXTURE_TEST_SUITE(CoordinatorTest, CellFixture)

// Guards against a start that a leader sends after a pause in which its lease expired.
BOOST_AUTO_TEST_CASE(DoesNotSendStartsAfterLeaseExpires)
{
    this->announce("w");
    this->submit("r1", spec());
    this->log.deferCommits = true;
    this->coordinator.step();
    this->log.hasLease = false;
    this->log.commitAll();
    BOOST_TEST(this->port.sent.empty());
}

// Guards against a task that is not placed again after its worker refused the start, or that is
// placed again while the start may still have been accepted.
BOOST_AUTO_TEST_CASE(PlacesAgainAfterRefusalButNotAfterUnknownOutcome)
{
    this->announce("w");
    this->submit("r1", spec());
    this->coordinator.step();
    BOOST_REQUIRE_EQUAL(this->port.sent.size(), 1U);
    this->port.sent[0].done(sendError(Outcome::NotRun));
    BOOST_TEST(toString(this->task().state) == "pending");
    this->coordinator.step();
    BOOST_REQUIRE_EQUAL(this->port.sent.size(), 2U);
    this->port.sent[1].done(sendError(Outcome::Unknown));
    this->coordinator.step();
    BOOST_TEST(toString(this->task().state) == "running");
    BOOST_TEST(this->port.sent.size() == 2U);
}

// Guards against a lost start that blocks its task forever, and against a release while the start
// may still arrive.
BOOST_AUTO_TEST_CASE(ReleasesLostStartOnceWorkerWouldRefuseIt)
{
    WorkerLease seen = this->announce("w");
    this->submit("r1", spec());
    this->coordinator.step();
    const StartMessage start = this->port.sent.at(0).message;
    while (!workerRefuses(start, seen)) {
        BOOST_TEST(toString(this->task().state) == "running");
        seen = this->heartbeat("w", seen, {});
    }
    this->heartbeat("w", seen, {});
    BOOST_TEST(toString(this->task().state) == "pending");
}

// Guards against a start that was in flight while the lease expired and that runs although its
// task was placed again.
BOOST_AUTO_TEST_CASE(InvalidatesInFlightStartsWhenLeaseExpires)
{
    WorkerLease seen = this->announce("w");
    this->submit("r1", spec());
    this->coordinator.step();
    const StartMessage start = this->port.sent.at(0).message;
    this->clock.advance(leaseAndDrift);
    this->coordinator.step();
    BOOST_TEST(toString(this->task().state) == "pending");
    seen = this->heartbeat("w", seen, {});
    BOOST_TEST(workerRefuses(start, seen));
}

// Guards against a start for the previous incarnation of a worker that the restarted one accepts.
BOOST_AUTO_TEST_CASE(InvalidatesInFlightStartsWhenWorkerRestarts)
{
    this->announce("w");
    this->submit("r1", spec());
    this->coordinator.step();
    const StartMessage start = this->port.sent.at(0).message;
    const WorkerLease seen = this->announce("w", "i2");
    BOOST_TEST(toString(this->task().state) == "pending");
    BOOST_TEST(workerRefuses(start, seen));
}

// Guards against a task that stays running forever because its start was sent after the lease of
// its worker had expired.
BOOST_AUTO_TEST_CASE(ReleasesStartSentAfterLeaseExpired)
{
    this->announce("w");
    this->submit("r1", spec());
    this->log.deferCommits = true;
    this->coordinator.step();
    this->clock.advance(leaseAndDrift);
    this->coordinator.step();
    this->log.deferCommits = false;
    this->log.commitAll();
    BOOST_REQUIRE_EQUAL(this->port.sent.size(), 1U);
    this->port.sent[0].done(sendError(Outcome::Unknown));
    this->coordinator.step();
    BOOST_TEST(toString(this->task().state) == "pending");
}

// Guards against a new leader that places a task again while its worker may still run it.
BOOST_AUTO_TEST_CASE(NewLeaderWaitsForLeaseAndDriftBound)
{
    this->announce("w");
    this->submit("r1", spec());
    this->coordinator.step();
    this->log.currentTerm = Term(2);
    this->coordinator.beginTerm(Term(2));
    this->clock.advance(leaseAndDrift - std::chrono::milliseconds(1));
    this->announce("w2");
    this->coordinator.step();
    BOOST_TEST(toString(this->task().state) == "running");
    BOOST_TEST(this->task().instance.value == "w");
    this->clock.advance(std::chrono::milliseconds(1));
    this->coordinator.step();
    BOOST_TEST(toString(this->task().state) == "running");
    BOOST_TEST(this->task().instance.value == "w2");
}

// Guards against a withdrawn key that can still submit or read jobs.
BOOST_AUTO_TEST_CASE(RefusesWithdrawnKeyAtOnce)
{
    this->submit("r1", spec());
    this->coordinator.withdrawKey(KeyId("k"), [](const auto &) {});
    const auto refused = this->submit("r2", spec());
    BOOST_REQUIRE(!ok(refused));
    BOOST_TEST(toString(errorOf(refused).code) == "unauthenticated");
    const auto read = this->coordinator.job(this->caller("r1"), JobId(1));
    BOOST_REQUIRE(!ok(read));
    BOOST_TEST(toString(errorOf(read).code) == "unauthenticated");
}

// Guards against a start in a failure domain that was taken out of service after the commit.
BOOST_AUTO_TEST_CASE(DoesNotSendStartIfDomainLeavesServiceAfterCommit)
{
    this->announce("w");
    this->submit("r1", spec());
    this->log.deferCommits = true;
    this->coordinator.step();
    // The domain is out of service before the callback of the start runs.
    this->state.apply(StampedCommand{
        .at = {}, .command = SetDomain{.domain = FailureDomainId("d1"), .inService = false}});
    this->log.deferCommits = false;
    this->log.commitAll();
    BOOST_TEST(this->port.sent.empty());
    BOOST_TEST(toString(this->task().state) == "pending");
}

// Guards against a task that continues to run or ends twice when it is cancelled while starting.
BOOST_AUTO_TEST_CASE(CancellingStartingTaskEndsItOnce)
{
    const WorkerLease seen = this->announce("w");
    this->submit("r1", spec());
    this->coordinator.step();
    const AttemptId attempt = this->port.sent.at(0).message.attempt;
    this->coordinator.cancel(this->caller("r1"), JobId(1), [](const auto &) {});
    BOOST_TEST(toString(this->task().state) == "running");
    const WorkerLease lease = this->heartbeat("w", seen, {attempt});
    BOOST_REQUIRE_EQUAL(lease.stop.size(), 1U);
    this->coordinator.finish(Placement{.attempt = attempt, .instance = InstanceId("w")},
                             AttemptResult::Stopped, {}, [](const auto &) {});
    BOOST_TEST(toString(this->task().state) == "cancelled");
}

// Guards against memory use that grows with every job because ended jobs are never removed.
BOOST_AUTO_TEST_CASE(RetentionExpiresAnswersAndRequestIds)
{
    this->announce("w");
    this->submit("r1", spec());
    this->coordinator.step();
    this->coordinator.finish(
        Placement{.attempt = this->port.sent.at(0).message.attempt, .instance = InstanceId("w")},
        AttemptResult::Succeeded, "answer", [](const auto &) {});
    BOOST_TEST(this->state.answerBytes().value == 6);
    this->clock.advance(std::chrono::minutes(15) - std::chrono::milliseconds(1));
    this->coordinator.step();
    BOOST_TEST(this->state.jobs().find(JobId(1)).has_value());
    // Expired jobs are searched for once a second, so this step must remove the job at the latest.
    this->clock.advance(std::chrono::seconds(1));
    this->coordinator.step();
    BOOST_TEST(!this->state.jobs().find(JobId(1)).has_value());
    BOOST_TEST(this->state.answerBytes().value == 0);
    BOOST_TEST(!this->state.requests().find(TeamId("c/t"), RequestId("r1")).has_value());
}

// Guards against a change that is merged over a configuration without its predecessor, which is
// not committed yet.
BOOST_AUTO_TEST_CASE(RefusesVersionBeforeItsPredecessorIsInForce)
{
    this->log.deferCommits = true;
    std::vector<bool> accepted;
    const auto recordReply
        = [&accepted](const Result<ConfigVersion> &reply) { accepted.push_back(ok(reply)); };
    this->coordinator.applyConfig(ConfigVersion(2), "domains: [{name: d3, region: r}]", "a",
                                  recordReply);
    this->coordinator.applyConfig(ConfigVersion(3), "domains: [{name: d4, region: r}]", "b",
                                  recordReply);
    this->log.commitAll();
    BOOST_REQUIRE_EQUAL(accepted.size(), 2U);
    BOOST_TEST(!accepted[0]);
    BOOST_TEST(accepted[1]);
    BOOST_TEST(findDomain(*this->state.config().current(), FailureDomainId("d3")) != nullptr);
}

// Guards against a burst of cancellations that slows down later placements, because they visit the
// cancelled tasks again.
BOOST_AUTO_TEST_CASE(CancellationBurstDoesNotDelayLaterPlacement)
{
    constexpr std::uint64_t burst = 10'000;
    this->announce("w");
    for (std::uint64_t job = 1; job <= burst; ++job) {
        BOOST_REQUIRE(ok(this->submit("r" + std::to_string(job), spec())));
    }
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t job = 1; job <= burst; ++job) {
        this->coordinator.cancel(this->caller("any"), JobId(job), [](const auto &) {});
    }
    const auto burstEnd = std::chrono::steady_clock::now();
    this->submit("last", spec());
    this->coordinator.step();
    const auto placed = std::chrono::steady_clock::now();
    BOOST_TEST(this->port.sent.size() == 1U);
    BOOST_TEST(this->state.jobs().find(JobId(burst))->ended());
    const double ratio = std::chrono::duration<double>(placed - burstEnd)
        / std::chrono::duration<double>(burstEnd - begin);
    BOOST_TEST(ratio < 0.1, "placement took " << ratio << " of the time of the burst before it");
}

BOOST_AUTO_TEST_SUITE_END()
