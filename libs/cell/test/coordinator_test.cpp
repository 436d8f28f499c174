#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace gooseberry;

namespace {

/** The rule by which a worker refuses an outdated start; docs/api.md states it. */
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

// Guards against a start that a paused leader sends after its lease has ended.
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

// Guards against a task that is lost or started elsewhere too early, by what the worker replied.
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

// Guards against a lost start that blocks its task, and against settling it while it may arrive.
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

// Guards against a start that was on its way while the lease ran out and the task was placed anew.
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

// Guards against a start to an earlier process that arrives at the restarted one.
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

// Guards against a task that stays running for ever because its worker was lost before the send.
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

// Guards against a new leader that places a task while its worker may still run it.
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

// Guards against a withdrawn key that still submits or reads.
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

// Guards against a start in a failure domain that was taken out after the start was committed.
BOOST_AUTO_TEST_CASE(DoesNotSendStartIfDomainLeavesServiceAfterCommit)
{
    this->announce("w");
    this->submit("r1", spec());
    this->log.deferCommits = true;
    this->coordinator.step();
    // The take-out is in force here before the start's callback runs.
    this->state.apply(StampedCommand{
        .at = {}, .command = SetDomain{.domain = FailureDomainId("d1"), .inService = false}});
    this->log.deferCommits = false;
    this->log.commitAll();
    BOOST_TEST(this->port.sent.empty());
    BOOST_TEST(toString(this->task().state) == "pending");
}

// Guards against a cancelled task that runs on, or that ends twice, when it was just starting.
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

// Guards against memory that grows with every job that has ever run.
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
    // Expired jobs are looked for once a second, so this is the latest step that must drop it.
    this->clock.advance(std::chrono::seconds(1));
    this->coordinator.step();
    BOOST_TEST(!this->state.jobs().find(JobId(1)).has_value());
    BOOST_TEST(this->state.answerBytes().value == 0);
    BOOST_TEST(!this->state.requests().find(TeamId("c/t"), RequestId("r1")).has_value());
}

// Guards against a change that is merged over a version its predecessor has yet to replace.
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

// Guards against a burst of cancellations that every later placement has to work through again.
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
    BOOST_TEST(ratio < 0.1, "placement took " << ratio << " of the wave before it");
}

BOOST_AUTO_TEST_SUITE_END()
