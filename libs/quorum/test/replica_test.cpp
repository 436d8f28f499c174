#include <quorum/quorum.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <future>

#include "../../journal/test/faulty_file_system.h"
#include "in_process_cell.h"

using namespace gooseberry;

namespace {

using Cell = InProcessCell;

struct ThreeVoters
{
    ThreeVoters()
        : cell({"a", "b", "c"})
    {
        // Shorter than the defaults, so that the tests run fast; the ratios are the same.
        this->cell.defaults.heartbeatInterval = std::chrono::milliseconds(60);
        this->cell.defaults.leaderLease = std::chrono::milliseconds(300);
        this->cell.defaults.minElectionTimeout = std::chrono::milliseconds(300);
        this->cell.defaults.maxElectionTimeout = std::chrono::milliseconds(600);
    }

    std::shared_ptr<Cell::Node> leader()
    {
        const std::string name = this->cell.waitForLeader();
        BOOST_REQUIRE_MESSAGE(!name.empty(), "no leader");
        return this->cell.node(name);
    }

    /**
     * Proposes the command until the leader has applied it, like a client that retries. The state
     * machines may apply it as often as it was proposed; returns this number.
     */
    std::size_t runCommand(const std::string &command)
    {
        for (std::size_t attempt = 1; attempt <= 50; ++attempt) {
            const auto node = this->leader();
            auto outcome = std::make_shared<std::promise<bool>>();
            auto result = outcome->get_future();
            // Other commands don't count: an earlier one may be applied again after a retry.
            const auto timesApplied
                = [&] { return std::ranges::count(node->machine.applied(), command); };
            const auto before = timesApplied();
            node->replica->propose(command,
                                   [outcome](const Error &) { outcome->set_value(false); });
            for (int wait = 0; wait < 2000; ++wait) {
                if (timesApplied() > before) {
                    return attempt;
                }
                if (result.wait_for(std::chrono::milliseconds(1)) == std::future_status::ready) {
                    break;
                }
            }
        }
        BOOST_FAIL("command was not applied: " + command);
        return 0;
    }

    /** Calls the function on the leader until it succeeds, and returns the last status. */
    Status
    retryUntilOk(const std::function<void(Replica &, std::function<void(const Status &)>)> &call)
    {
        Status last = Done{};
        for (int attempt = 0; attempt < 100; ++attempt) {
            auto outcome = std::make_shared<std::promise<Status>>();
            call(*this->leader()->replica,
                 [outcome](const Status &status) { outcome->set_value(status); });
            last = outcome->get_future().get();
            if (ok(last)) {
                break;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return last;
    }

    Cell cell;
};

/** Returns the commands without the duplicates that retries cause. */
std::vector<std::string> withoutDuplicates(std::vector<std::string> commands)
{
    std::set<std::string> seen;
    std::erase_if(commands, [&](const std::string &each) { return !seen.insert(each).second; });
    return commands;
}

std::vector<std::string> numberedCommands(int first, int last)
{
    std::vector<std::string> commands;
    for (int number = first; number <= last; ++number) {
        commands.push_back("command " + std::to_string(number));
    }
    return commands;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaTest, ThreeVoters)

// Guards against acknowledged commands that are lost or reordered when the leader stops.
BOOST_AUTO_TEST_CASE(KeepsCommandsWhenLeaderStops)
{
    this->cell.startAll();
    for (int number = 1; number <= 60; ++number) {
        this->runCommand("command " + std::to_string(number));
        if (number % 20 == 0) {
            const std::string killed = this->cell.waitForLeader();
            this->cell.stop(killed);
            this->runCommand("command " + std::to_string(number));
            BOOST_REQUIRE(ok(this->cell.start(killed)));
        }
    }
    BOOST_TEST(withoutDuplicates(this->leader()->machine.applied()) == numberedCommands(1, 60),
               boost::test_tools::per_element());
}

// Guards against losing state when all replicas restart at once.
BOOST_AUTO_TEST_CASE(KeepsFiveHundredCommandsWhenAllReplicasRestart)
{
    this->cell.startAll();
    const auto node = this->leader();
    std::atomic<int> failures = 0;
    for (const std::string &command : numberedCommands(1, 500)) {
        node->replica->propose(command, [&](const Error &) { failures += 1; });
    }
    BOOST_TEST(node->machine.waitForCommands(500));
    BOOST_TEST(failures == 0);
    for (int restart = 0; restart < 2; ++restart) {
        this->cell.stopAll();
        this->cell.startAll();
        this->leader();
        for (const std::string &name : this->cell.running()) {
            BOOST_TEST(this->cell.node(name)->machine.waitForCommands(500));
            BOOST_TEST(this->cell.node(name)->machine.applied() == numberedCommands(1, 500),
                       boost::test_tools::per_element());
        }
    }
}

// Guards against a planned stop that takes an election timeout, and against commands accepted by
// the old leader after it has given up its lease.
BOOST_AUTO_TEST_CASE(TransfersLeadership)
{
    this->cell.startAll();
    const std::string old = this->cell.waitForLeader();
    this->runCommand("command 1");
    BOOST_REQUIRE(ok(this->retryUntilOk(
        [](Replica &replica, auto done) { replica.transferLeadership(std::move(done)); })));
    BOOST_TEST(!this->cell.node(old)->replica->holdsLease());
    BOOST_TEST(this->cell.waitForLeader() != old);
    std::promise<Error> refused;
    this->cell.node(old)->replica->propose("late",
                                           [&](const Error &error) { refused.set_value(error); });
    BOOST_TEST((refused.get_future().get().outcome == Outcome::NotRun));
}

// Guards against an isolated leader that still relies on its lease, and against reporting NotRun
// for its commands, which may still be committed.
BOOST_AUTO_TEST_CASE(IsolatedLeaderLosesItsLeaseAndReportsUnknown)
{
    this->cell.startAll();
    const std::string old = this->cell.waitForLeader();
    const auto node = this->cell.node(old);
    this->cell.isolate(old, true);
    std::promise<Error> failed;
    node->replica->propose("in flight", [&](const Error &error) { failed.set_value(error); });
    BOOST_TEST((failed.get_future().get().outcome == Outcome::Unknown));
    BOOST_TEST(!node->replica->holdsLease());
    BOOST_TEST(this->cell.waitForLeader() != old);
    this->runCommand("command 1");
    this->cell.isolate(old, false);
    BOOST_TEST(node->machine.waitForCommands(1));
    BOOST_TEST(node->machine.applied() == numberedCommands(1, 1), boost::test_tools::per_element());
}

// Guards against a replica that leads again while its state machine still acts for its earlier
// term: it would answer callers and send orders without what another leader has committed in
// between.
BOOST_AUTO_TEST_CASE(HoldsNoLeaseWhileItsStateMachineActsForAnEarlierTerm)
{
    this->cell.startAll();
    const std::string old = this->cell.waitForLeader();
    const auto node = this->cell.node(old);
    this->runCommand("command 1");
    const Term earlier = node->replica->status().term;
    {
        // The state machine can't apply the next command meanwhile.
        const std::lock_guard stalled(node->machine.mutex);
        node->replica->propose("command 2", [](const Error & /*error*/) {});
        const auto waitUntil = [](const std::function<bool()> &condition) {
            for (int wait = 0; wait < 20'000 && !condition(); ++wait) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            return condition();
        };
        BOOST_REQUIRE(waitUntil([&] {
            const ReplicaStatus status = node->replica->status();
            return status.applied < status.committed;
        }));
        this->cell.isolate(old, true);
        BOOST_REQUIRE(waitUntil([&] { return !node->replica->holdsLease(); }));
        const std::string next = this->cell.waitForLeader();
        this->runCommand("command 3");
        this->cell.isolate(old, false);
        for (const std::string &name : this->cell.running()) {
            this->cell.isolate(name, name != old && name != next);
        }
        const auto leadsAgain = [&] {
            const ReplicaStatus status = node->replica->status();
            if (status.leads && status.term > earlier) {
                return true;
            }
            this->cell.node(next)->replica->transferLeadership([](const Status & /*status*/) {});
            return false;
        };
        BOOST_REQUIRE(waitUntil(leadsAgain));
        // Long enough for a lease of the new term.
        for (int wait = 0; wait < 500; ++wait) {
            BOOST_REQUIRE(!node->replica->holdsLease());
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    BOOST_TEST(node->machine.waitForDistinctCommands(3));
    BOOST_TEST(!this->cell.waitForLeader().empty());
}

// Guards against a log that grows without bound, and against a replica that never catches up
// because the entries it needs were compacted.
BOOST_AUTO_TEST_CASE(LaggingReplicaCatchesUpFromChunkedSnapshot)
{
    this->cell.defaults.snapshotInterval = Bytes(200LL * 1024);
    this->cell.startAll();
    this->leader();
    std::string lagging;
    for (const std::string &name : this->cell.running()) {
        lagging = name != this->cell.waitForLeader() ? name : lagging;
    }
    this->cell.stop(lagging);
    // A leader keeps entries for a follower that replied within the maximum election timeout.
    std::this_thread::sleep_for(this->cell.defaults.maxElectionTimeout);
    const std::string filler(std::size_t{10} * 1024, 'x');
    std::vector<std::string> commands;
    std::size_t proposals = 0;
    for (int number = 1; number <= 100; ++number) {
        commands.push_back(filler + std::to_string(number));
        proposals += this->runCommand(commands.back());
    }
    BOOST_TEST(this->leader()->machine.snapshots > 1);
    BOOST_REQUIRE(ok(this->cell.start(lagging)));
    const auto node = this->cell.node(lagging);
    BOOST_TEST(node->machine.waitForDistinctCommands(100));
    BOOST_TEST(node->machine.restored > 0);
    const auto leading = this->leader();
    BOOST_TEST(leading->machine.waitForDistinctCommands(100));
    for (const auto &each : {node, leading}) {
        const std::vector<std::string> applied = each->machine.applied();
        BOOST_TEST((withoutDuplicates(applied) == commands));
        BOOST_TEST(applied.size() <= proposals);
    }
    this->cell.stopAll();
    this->cell.startAll();
    this->leader();
    const auto restarted = this->cell.node(lagging);
    BOOST_TEST(restarted->machine.waitForDistinctCommands(100));
    BOOST_TEST((withoutDuplicates(restarted->machine.applied()) == commands));
}

// Guards against a voter that lost its disk and still votes or is counted in a quorum, even if it
// is started with bootstrap again, and against one that can't be repaired.
BOOST_AUTO_TEST_CASE(VoterWithLostDiskIsCountedOnlyAfterRepair)
{
    this->cell.startAll();
    this->runCommand("command 1");
    this->cell.stop("c");
    this->cell.eraseDisk("c");
    BOOST_REQUIRE(ok(this->cell.start("c")));
    this->runCommand("command 2");
    BOOST_TEST(this->cell.node("c")->machine.waitForCommands(2));
    const std::string first = this->cell.waitForLeader();
    BOOST_TEST(first != "c");
    // With a second voter stopped, there is no quorum although two replicas are running.
    const std::string second = first == "a" ? "b" : "a";
    this->cell.stop(second);
    std::promise<Error> failed;
    this->cell.node(first)->replica->propose("command 3",
                                             [&](const Error &error) { failed.set_value(error); });
    BOOST_TEST((failed.get_future().get().outcome == Outcome::Unknown));
    BOOST_REQUIRE(ok(this->cell.start(second)));
    const InstanceId lost("c");
    BOOST_REQUIRE(
        ok(this->retryUntilOk([&](Replica &leading, auto done) { leading.remove(lost, done); })));
    BOOST_REQUIRE(ok(
        this->retryUntilOk([&](Replica &leading, auto done) { leading.addLearner(lost, done); })));
    BOOST_REQUIRE(ok(this->retryUntilOk(
        [&](Replica &leading, auto done) { leading.promoteLearner(lost, done); })));
    this->cell.stop(second);
    this->runCommand("command 4");
    BOOST_TEST(this->cell.node("c")->machine.applied().front() == "command 1");
}

// Guards against a full disk that loses a command, reports a wrong outcome, ends the leadership or
// requires a restart, and against a replica that still participates after a failed sync.
BOOST_AUTO_TEST_CASE(FullDiskRejectsCommandsAndFailedSyncStopsReplica)
{
    const auto files = std::make_shared<FaultyFileSystem>();
    InProcessCell single({"only"});
    single.defaults.fileSystem = files;
    BOOST_REQUIRE(ok(single.start("only")));
    const auto node = single.node(single.waitForLeader());
    const auto failureOf = [&](const std::string &command) {
        std::promise<Error> failed;
        node->replica->propose(command, [&](const Error &error) { failed.set_value(error); });
        return failed.get_future().get();
    };
    files->faults.freeSpace = 10;
    for (int attempt = 0; attempt < 3; ++attempt) {
        const Error full = failureOf("lost");
        BOOST_TEST((full.code == ErrorCode::StorageFull), describe(full));
        BOOST_TEST((full.outcome == Outcome::NotRun), describe(full));
        BOOST_TEST(node->replica->status().storageFull);
        BOOST_TEST(node->replica->holdsLease());
    }
    files->faults.freeSpace = UINT64_MAX;
    std::this_thread::sleep_for(2 * single.defaults.heartbeatInterval);
    node->replica->propose("kept", [](const Error &error) { BOOST_ERROR(describe(error)); });
    BOOST_TEST(node->machine.waitForCommands(1));
    BOOST_TEST(!node->replica->status().storageFull);
    files->faults.failSync = true;
    BOOST_TEST((failureOf("in doubt").outcome == Outcome::Unknown));
    BOOST_TEST((failureOf("late").outcome == Outcome::NotRun));
    BOOST_TEST(!node->replica->holdsLease());
    BOOST_TEST(node->replica->status().failure.has_value());
    files->faults.failSync = false;
    single.stopAll();
    BOOST_REQUIRE(ok(single.start("only")));
    BOOST_TEST(single.node("only")->machine.waitForCommands(1));
    BOOST_TEST(single.node("only")->machine.applied().front() == "kept");
}

// Guards against a single instance that waits for an election timeout or needs a data folder.
BOOST_AUTO_TEST_CASE(SingleReplicaLeadsAtOnceInMemory)
{
    RecordingMachine machine;
    InProcessCell::Node transport;
    const SystemClock clock;
    ReplicaSettings settings;
    settings.self = InstanceId("only");
    Replica replica(settings, machine, transport, clock);
    BOOST_REQUIRE(ok(replica.start()));
    replica.propose("command 1", [](const Error &error) { BOOST_ERROR(describe(error)); });
    BOOST_TEST(machine.waitForCommands(1));
    BOOST_TEST(replica.holdsLease());
    replica.stop();
    BOOST_TEST(!replica.holdsLease());
    std::promise<Error> refused;
    replica.propose("late", [&](const Error &error) { refused.set_value(error); });
    BOOST_TEST((refused.get_future().get().outcome == Outcome::NotRun));
    settings.initialMembership.voters = {InstanceId("only"), InstanceId("other")};
    Replica second(settings, machine, transport, clock);
    BOOST_TEST(!ok(second.start()));
}

BOOST_AUTO_TEST_SUITE_END()
