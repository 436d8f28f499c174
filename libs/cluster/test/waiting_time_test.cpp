// Tests of the time that a submission has waited at the node that received it, on its way into the
// replicated state.

#include <algorithm>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <codec/codec.h>

#include "request_header.h"
#include "test_node.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

class NoPeers : public ReplicaTransport
{
public:
    void send(const InstanceId & /*to*/, QuorumMessage /*message*/) override
    {
    }
};

/** A leader whose log is in memory, with one queue that is open to all. */
struct LeaderFixture
{
    LeaderFixture()
        : replica(replicaSettings(), this->log, this->transport, this->clock)
    {
        this->log.setReplica(&this->replica);
        BOOST_REQUIRE(ok(this->replica.start()));
        for (int i = 0; i < 1000 && !this->replica.holdsLease(); ++i) {
            std::this_thread::sleep_for(5ms);
        }
        BOOST_REQUIRE(this->replica.holdsLease());
        RoutingConfig config;
        config.version = ConfigVersion(1);
        QueueRule queue;
        queue.name = "queue";
        queue.host = "host";
        queue.pathPrefix = "/queue/";
        queue.upstream = "upstream";
        queue.openToAll = true;
        config.queues.push_back(queue);
        Awaited<Result<CommandOutcome>> stored;
        this->log.propose(PutConfig{.config = config}, stored.callback());
        BOOST_REQUIRE(ok(stored.get()));
    }
    ~LeaderFixture()
    {
        this->replica.stop();
    }

    static ReplicaSettings replicaSettings()
    {
        ReplicaSettings settings;
        settings.self = InstanceId("leader");
        settings.initialMembership.voters.insert(settings.self);
        settings.bootstrap = true;
        return settings;
    }

    /** Submits a workflow and returns the time from which its objective is counted. */
    CellTime submit(const std::string &id, std::chrono::milliseconds waited)
    {
        WorkflowSpec spec;
        spec.steps.emplace_back();
        CallerRequest request;
        request.action = CallerAction::Submit;
        request.host = "host";
        request.path = "/queue/" + id;
        request.spec = encodeRecord(spec);
        Awaited<Result<CallerReply>> reply;
        this->service.serve(request, waited, reply.callback());
        const Result<CallerReply> result = reply.get();
        BOOST_REQUIRE(ok(result));
        BOOST_REQUIRE((valueOf(result).outcome == CallerOutcome::Accepted));
        CellTime counted;
        this->state.visitWorkflow(WorkflowId(id), [&counted](const WorkflowRecord &workflow) {
            counted = workflow.acceptedAt;
        });
        return counted;
    }

    SystemClock clock;
    WorkflowState state{1min};
    WorkflowLog log{state, clock, 1,
                    LogEvents{.applied = [](const WorkflowCommand &, const CommandOutcome &) {},
                              .termBegan = [](Term) {},
                              .termEnded = []() {}}};
    NoPeers transport;
    UnreachableWorkers workers;
    NoAdviser adviser;
    NodeMetrics metrics;
    Dispatcher dispatcher{DispatchSettings{},
                          clock,
                          workers,
                          adviser,
                          log,
                          state,
                          [](Duration /*delay*/, const std::function<void()> & /*task*/) {},
                          metrics};
    LeaderService service{state, log, dispatcher};
    Replica replica;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WaitingTimeTest)

// Guards against submissions that have waited for a leader and then count as new: after an outage
// they were started before those that could still meet their objective.
BOOST_FIXTURE_TEST_CASE(CountsASubmissionFromItsArrivalAtTheFirstNode, LeaderFixture)
{
    const CellTime fresh = this->submit("fresh", 0ms);
    const CellTime waited = this->submit("waited", 10min);
    BOOST_TEST((waited < fresh));
    BOOST_TEST((waited + 10min >= fresh));
    // Ended workflows expire by this time, so it must not go back.
    BOOST_TEST((this->state.time() >= fresh));
}

// Guards against a change of the format that makes nodes of earlier versions relay requests in a
// circle, or take a request without a waiting time for an old one.
BOOST_AUTO_TEST_CASE(ReadsTheHeadersOfEarlierVersions)
{
    BOOST_TEST(encodeRequestHeader({.relayed = false, .waited = 0ms}) == '0');
    BOOST_TEST(encodeRequestHeader({.relayed = true, .waited = 0ms}) == '1');
    BOOST_TEST(!decodeRequestHeader('0').relayed);
    BOOST_TEST(decodeRequestHeader('1').relayed);
    BOOST_TEST((decodeRequestHeader('0').waited == 0ms));
    BOOST_TEST((decodeRequestHeader('1').waited == 0ms));
}

BOOST_AUTO_TEST_CASE(KeepsTheWaitingTimeWithinAHeader)
{
    for (const bool relayed : {false, true}) {
        for (std::chrono::milliseconds waited = 0ms; waited <= 8s; waited += 10ms) {
            const RequestHeader read
                = decodeRequestHeader(encodeRequestHeader({.relayed = relayed, .waited = waited}));
            BOOST_TEST_REQUIRE(read.relayed == relayed);
            BOOST_TEST_REQUIRE(read.waited.count()
                               == std::min<std::int64_t>(waited.count() / 50 * 50, 5150));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
