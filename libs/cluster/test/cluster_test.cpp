// Tests of whole nodes on loopback addresses: cell formation, leader discovery and repair.

#include <atomic>
#include <filesystem>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <spdlog/spdlog.h>

#include "test_node.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** Log replicas 1 to 5, of which 1 to 3 are seeds, and node 9, which has no log. */
struct CellFixture
{
    CellFixture()
        : folder(std::filesystem::temp_directory_path()
                 / ("gl-cluster-" + std::to_string(::getpid()) + "-" + std::to_string(++cells)))
    {
        // Creates the registry of loggers before there are threads, as main() does. ThreadSanitizer
        // reports a data race if two threads log for the first time at once, since it does not see
        // the synchronization within the library.
        spdlog::default_logger_raw();
        std::filesystem::create_directories(this->folder);
        this->port = static_cast<std::uint16_t>(21'000 + ::getpid() % 4000 * 10 + cells % 10);
    }
    ~CellFixture()
    {
        this->nodes.clear();
        std::filesystem::remove_all(this->folder);
    }

    static std::string host(int number)
    {
        return "127.0.7." + std::to_string(number);
    }

    NodeSettings settings(int number, bool bootstrap) const
    {
        NodeSettings made;
        made.id = InstanceId("node-" + std::to_string(number));
        made.domain = FailureDomainId("domain");
        made.host = host(number);
        made.peerPort = this->port;
        for (int seed = 1; seed <= 3; ++seed) {
            made.seeds.push_back(Address{.host = host(seed), .port = 1});
        }
        made.bootstrap = bootstrap;
        made.linkSilence = this->linkSilence;
        return made;
    }

    void startReplica(int number, bool bootstrap)
    {
        NodeSettings made = this->settings(number, bootstrap);
        made.dataFolder = this->folder / std::to_string(number);
        this->nodes[number] = std::make_unique<TestNode>(made, this->clock);
    }

    void startNodeWithoutLog(int number)
    {
        this->nodes[number]
            = std::make_unique<TestNode>(this->settings(number, false), this->clock);
    }

    void formCell()
    {
        for (int number = 1; number <= 5; ++number) {
            this->startReplica(number, true);
        }
        this->startNodeWithoutLog(9);
        this->waitForVoters(5);
    }

    double metric(int number, const std::string &name)
    {
        const std::string text = "\n" + this->nodes.at(number)->node->metrics();
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1.0 : std::stod(text.substr(at + name.size() + 2));
    }

    int leader()
    {
        for (const auto &[number, node] : this->nodes) {
            if (this->metric(number, "gooseberrylead_leads") == 1.0) {
                return number;
            }
        }
        return 0;
    }

    void waitUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 600; ++i) {
            if (condition()) {
                return;
            }
            std::this_thread::sleep_for(50ms);
        }
        BOOST_REQUIRE(condition());
    }

    void waitForVoters(int count)
    {
        this->waitUntil([&]() {
            const int leads = this->leader();
            return leads != 0 && this->metric(leads, "gooseberrylead_voters") == count;
        });
    }

    /** Sends a configuration with this version through the node. */
    bool put(int through, std::uint64_t version)
    {
        OperatorRequest request;
        request.action = OperatorAction::PutConfig;
        request.config.version = ConfigVersion(version);
        request.config.document = "version " + std::to_string(version);
        Awaited<Result<OperatorReply>> reply;
        this->nodes.at(through)->node->handle(request, 10s, reply.callback());
        const Result<OperatorReply> result = reply.get();
        return ok(result) && valueOf(result).done;
    }

    std::string read(int through)
    {
        OperatorRequest request;
        request.action = OperatorAction::ReadConfig;
        Awaited<Result<OperatorReply>> reply;
        this->nodes.at(through)->node->handle(request, 10s, reply.callback());
        const Result<OperatorReply> result = reply.get();
        return ok(result) ? valueOf(result).document : describe(errorOf(result));
    }

    static inline std::atomic<int> cells{0};
    SystemClock clock;
    std::chrono::milliseconds linkSilence = NodeSettings().linkSilence;
    std::filesystem::path folder;
    std::uint16_t port = 0;
    std::map<int, std::unique_ptr<TestNode>> nodes;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClusterTest, CellFixture)

BOOST_AUTO_TEST_CASE(FormsFromSeedsAndServesThroughEveryNode)
{
    this->formCell();
    BOOST_TEST(this->put(9, 1));
    for (const auto &[number, node] : this->nodes) {
        BOOST_TEST(this->read(number) == "version 1");
    }
    // The latency of operator requests is exported.
    BOOST_TEST(this->nodes.at(9)->node->metrics().find(
                   "gooseberrylead_operator_order_seconds_bucket{done=\"true\",le=\"5\"}")
               != std::string::npos);
}

// Guards against a node without a log that knows only seeds and finds no leader if none of these
// leads.
BOOST_AUTO_TEST_CASE(ANodeWithoutLogFindsALeaderThatIsNoSeed)
{
    this->formCell();
    BOOST_TEST(this->put(9, 1));
    // Moves leadership until a replica that is no seed leads.
    this->nodes.erase(9);
    for (int tries = 0; tries < 10 && this->leader() <= 3; ++tries) {
        const int leads = this->leader();
        if (leads != 0) {
            this->nodes.at(leads)->node->prepareStop();
            this->nodes.erase(leads);
            this->startReplica(leads, false);
        }
        this->waitUntil([&]() { return this->leader() != 0; });
    }
    this->startNodeWithoutLog(9);
    BOOST_TEST(this->read(9) == "version 1");
}

// Guards against requests that wait for an unresponsive leader until its link counts as broken,
// although another node has become leader long before.
BOOST_AUTO_TEST_CASE(RetriesWithTheNewLeaderWhenTheOldOneDoesNotAnswer)
{
    this->linkSilence = 60s;
    this->formCell();
    BOOST_TEST(this->put(9, 1));
    TestNode &old = *this->nodes.at(this->leader());
    old.blockThread();
    BOOST_TEST(this->put(9, 2));
    BOOST_TEST(this->read(9) == "version 2");
    old.unblockThread();
}

// Guards against a leader that loses its term because its own work delays the messages of the log's
// replicas: a takeover with many workflows kept the thread busy for longer than the lease, so that
// each new leader lost its term as well.
BOOST_AUTO_TEST_CASE(KeepsItsTermWhileItsWorkTakesLongerThanTheLease)
{
    this->formCell();
    BOOST_TEST(this->put(9, 1));
    const int leads = this->leader();
    const double term = this->metric(leads, "gooseberrylead_term");
    TestNode &busy = *this->nodes.at(leads);
    busy.blockThread();
    std::this_thread::sleep_for(1500ms);
    BOOST_TEST(this->leader() == leads);
    BOOST_TEST(this->metric(leads, "gooseberrylead_term") == term);
    busy.unblockThread();
    BOOST_TEST(this->put(9, 2));
    BOOST_TEST(this->metric(leads, "gooseberrylead_term") == term);
}

BOOST_AUTO_TEST_CASE(ReplacesALostVoterByANewNodeAtAnotherAddress)
{
    this->formCell();
    BOOST_TEST(this->put(9, 1));
    const int lost = this->leader() == 2 ? 3 : 2;
    this->nodes.erase(lost);
    this->startReplica(6, false);
    this->waitUntil([&]() {
        const int leads = this->leader();
        return leads != 0 && this->metric(leads, "gooseberrylead_voters") == 5
            && this->metric(6, "gooseberrylead_voter") == 1.0;
    });
    // Two more failures are tolerated only with the vote of the new node.
    int others = 0;
    for (int number = 1; number <= 5 && others < 2; ++number) {
        if (this->nodes.contains(number) && number != this->leader()) {
            this->nodes.erase(number);
            ++others;
        }
    }
    BOOST_TEST(this->put(6, 2));
    BOOST_TEST(this->read(6) == "version 2");
}

BOOST_AUTO_TEST_CASE(ReaddsAVoterThatLostItsDisk)
{
    this->formCell();
    BOOST_TEST(this->put(9, 1));
    const int wiped = this->leader() == 4 ? 5 : 4;
    this->nodes.erase(wiped);
    std::filesystem::remove_all(this->folder / std::to_string(wiped));
    this->startReplica(wiped, false);
    this->waitUntil([&]() { return this->metric(wiped, "gooseberrylead_voter") == 1.0; });
    BOOST_TEST(this->read(wiped) == "version 1");
}

BOOST_AUTO_TEST_CASE(ReportsUnavailableWhenNoLeaderIsKnown)
{
    this->startNodeWithoutLog(9);
    for (const CallerAction action : {CallerAction::Read, CallerAction::Cancel}) {
        CallerRequest request;
        request.action = action;
        Awaited<CallerReply> reply;
        this->nodes.at(9)->node->handle(request, 300ms, reply.callback());
        BOOST_TEST((reply.get().outcome == CallerOutcome::Unavailable));
    }
    BOOST_TEST(!this->nodes.at(9)->node->ready());
}

// Guards against a promise that a submission never runs, by a node that can't know of its other
// copies: the caller may have handed one to another node, which heard of the leader.
BOOST_AUTO_TEST_CASE(PromisesNothingOfASubmissionWhenNoLeaderIsKnown)
{
    this->startNodeWithoutLog(9);
    CallerRequest request;
    request.action = CallerAction::Submit;
    Awaited<CallerReply> reply;
    this->nodes.at(9)->node->handle(request, 300ms, reply.callback());
    BOOST_TEST((reply.get().outcome == CallerOutcome::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdviceRouterTest)

BOOST_AUTO_TEST_CASE(SelectsTheNodeWithTheShortestBacklog)
{
    const std::vector<NodeLoad> nodes{
        {.node = InstanceId("a"), .backlog = 300ms, .pendingRequests = 1},
        {.node = InstanceId("b"), .backlog = 0ms, .pendingRequests = 0},
        {.node = InstanceId("c"), .backlog = 450ms, .pendingRequests = 1}};
    const NodeLoad *chosen = selectNode(nodes, 500ms);
    BOOST_REQUIRE(chosen != nullptr);
    BOOST_TEST((chosen->node == InstanceId("b")));
}

// Guards against urgent requests that queue up behind many long ones after a change of leader:
// waiting requests must stay with the leader, which can reorder them.
BOOST_AUTO_TEST_CASE(HoldsRequestsBackWhileAllNodesAreBusy)
{
    const std::vector<NodeLoad> nodes{
        {.node = InstanceId("a"), .backlog = 300ms, .pendingRequests = 1},
        {.node = InstanceId("b"), .backlog = 20ms, .pendingRequests = 1}};
    BOOST_TEST(selectNode(nodes, 500ms) == nullptr);
    const NodeLoad *chosen = selectNode(nodes, 15ms);
    BOOST_REQUIRE(chosen != nullptr);
    BOOST_TEST((chosen->node == InstanceId("b")));
    BOOST_TEST(selectNode({}, 15ms) == nullptr);
}

// A node whose link broke while the adviser works for it gets no further requests.
BOOST_AUTO_TEST_CASE(SelectsNoNodeWithoutALink)
{
    std::vector<NodeLoad> nodes{
        {.node = InstanceId("a"), .backlog = 300ms, .pendingRequests = 1},
        {.node = InstanceId("b"), .backlog = 0ms, .pendingRequests = 0, .reachable = false}};
    BOOST_TEST(selectNode(nodes, 500ms) == nullptr);
    nodes.front().pendingRequests = 0;
    nodes.front().backlog = 0ms;
    const NodeLoad *chosen = selectNode(nodes, 500ms);
    BOOST_REQUIRE(chosen != nullptr);
    BOOST_TEST((chosen->node == InstanceId("a")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NodeSettingsTest)

BOOST_AUTO_TEST_CASE(ReadsKnownKeysAndIgnoresUnknownOnes)
{
    const auto settings = parseNodeSettings("instance: a\n"
                                            "failureDomain: zone\n"
                                            "host: 10.0.0.1\n"
                                            "peerPort: 7000\n"
                                            "seeds: [\"10.0.0.2:80\"]\n"
                                            "bootstrap: true\n"
                                            "dataFolder: \"\"\n"
                                            "listenCallers: \"10.0.0.1:81\"\n"
                                            "listenControl: \"\"\n"
                                            "longestWorkerLeaseMillis: 3000\n"
                                            "requestMemoryBytes: 20000000\n"
                                            "somethingNew: 7\n",
                                            "settings.yaml");
    BOOST_REQUIRE(ok(settings));
    BOOST_TEST(valueOf(settings).bootstrap);
    BOOST_TEST(!valueOf(settings).dataFolder.has_value());
    BOOST_TEST(!valueOf(settings).listenControl.has_value());
    BOOST_TEST(valueOf(settings).listenCallers->port == 81);
    BOOST_TEST(valueOf(settings).requestMemory.value == 20'000'000);
    BOOST_TEST(valueOf(settings).callerBody.value == 512 * 1024);
    // The platform's limit overrides the default.
    BOOST_TEST((valueOf(settings).dispatch.workerLease == 3s));
    BOOST_TEST((valueOf(settings).dispatch.longestWorkerLease == 3s));
}

BOOST_AUTO_TEST_CASE(ReportsEveryInvalidValue)
{
    const auto settings = parseNodeSettings("instance: a\n"
                                            "failureDomain: zone\n"
                                            "host: 10.0.0.1\n"
                                            "peerPort: 700000\n"
                                            "seeds: [\"somewhere\"]\n"
                                            "bootstrap: perhaps\n"
                                            "requestMemoryBytes: 1000000\n"
                                            "callerBodyBytes: 262143\n"
                                            "logLevel: loud\n",
                                            "settings.yaml");
    BOOST_REQUIRE(!ok(settings));
    const std::string message = errorOf(settings).message;
    for (const std::string part :
         {"peerPort", "seed", "bootstrap", "logLevel", "requestMemoryBytes", "callerBodyBytes"}) {
        BOOST_TEST(message.find(part) != std::string::npos, message);
    }
}

BOOST_AUTO_TEST_SUITE_END()
