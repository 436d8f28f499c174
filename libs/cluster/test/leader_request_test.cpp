// Tests of requests that a node sends to the leader, with log replicas that the test controls. A
// reply that says "not run" must be true of all attempts of a request.

#include <atomic>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <link/link.h>

#include "cluster_records.h"
#include "test_node.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** A log replica that sends beacons and answers requests as the test says. */
class FakeReplica
{
public:
    FakeReplica(const std::string &host, std::uint16_t port)
        : executor(1U)
    {
        PeerNetworkSettings settings;
        settings.listen = peerAddress(host, port);
        settings.self = peerId(settings.listen);
        settings.cellName = "cell";
        PeerHandlers handlers;
        handlers.onRequest = [this](const InstanceId & /*from*/, const std::string & /*frame*/,
                                    const PeerHandlers::Reply &reply) {
            ++this->requests;
            const std::lock_guard lock(this->mutex);
            if (this->answer) {
                reply(*this->answer);
            }
        };
        this->id = settings.self;
        this->network = std::make_unique<PeerNetwork>(this->executor, settings, handlers);
        BOOST_REQUIRE(ok(this->network->start()));
    }
    ~FakeReplica()
    {
        this->network->stop();
        this->executor.stop();
    }

    /** The answer to all later requests; without one, they stay open. */
    void setAnswer(const std::string &frame)
    {
        const std::lock_guard lock(this->mutex);
        this->answer = frame;
    }
    void sendBeacon(const InstanceId &to, Term term, const std::set<InstanceId> &replicas)
    {
        const Beacon beacon{.leader = this->id,
                            .term = term,
                            .voters = {},
                            .logReplicas = replicas,
                            .reportAddress = {}};
        this->network->send(to, 'b' + encodeRecord(beacon));
    }
    bool isConnected(const InstanceId &node) const
    {
        return this->network->connected(node);
    }

    InstanceId id;
    std::atomic<int> requests{0};

private:
    Executor executor;
    std::mutex mutex;
    std::optional<std::string> answer;
    std::unique_ptr<PeerNetwork> network;
};

constexpr char answerFrame = 'y';
constexpr char refusalFrame = 'n';

/** An entry node that has sent a submission to a leader, which has not answered it. */
struct LeaderRequestFixture
{
    LeaderRequestFixture()
        : port(static_cast<std::uint16_t>(61'000 + ::getpid() % 4000))
        , oldLeader("127.0.8.1", this->port)
        , newLeader("127.0.8.2", this->port)
        , entry(this->entrySettings(), this->clock)
        , entryId(peerId(peerAddress("127.0.8.9", this->port)))
        , replicas{this->oldLeader.id, this->newLeader.id}
    {
        this->waitUntil([this]() {
            return this->oldLeader.isConnected(this->entryId)
                && this->newLeader.isConnected(this->entryId);
        });
        this->oldLeader.sendBeacon(this->entryId, Term(1), this->replicas);
        this->waitUntil([this]() { return this->entry.node->ready(); });
        CallerRequest request;
        request.action = CallerAction::Submit;
        request.path = "/queue/a";
        this->entry.node->handle(request, 600ms, this->reply.callback());
        this->waitUntil([this]() { return this->oldLeader.requests > 0; });
    }

    NodeSettings entrySettings() const
    {
        NodeSettings settings;
        settings.id = InstanceId("entry");
        settings.host = "127.0.8.9";
        settings.peerPort = this->port;
        settings.seeds
            = {Address{.host = "127.0.8.1", .port = 1}, Address{.host = "127.0.8.2", .port = 1}};
        return settings;
    }

    void waitUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i) {
            std::this_thread::sleep_for(5ms);
        }
        BOOST_REQUIRE(condition());
    }

    /** The old leader stays silent, and the new one gives this answer. */
    CallerOutcome outcomeWithNewLeader(const std::string &frame)
    {
        this->newLeader.setAnswer(frame);
        this->newLeader.sendBeacon(this->entryId, Term(2), this->replicas);
        return this->reply.get().outcome;
    }

    static std::string answer(CallerOutcome outcome)
    {
        CallerReply content;
        content.outcome = outcome;
        return answerFrame + encodeRecord(content);
    }

    std::uint16_t port;
    SystemClock clock;
    FakeReplica oldLeader;
    FakeReplica newLeader;
    TestNode entry;
    InstanceId entryId;
    std::set<InstanceId> replicas;
    Awaited<CallerReply> reply;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaderRequestTest, LeaderRequestFixture)

// Guards against a submission that runs although its caller was told that it never would: the first
// leader had it when a later one refused to serve, shortly before the caller's deadline.
BOOST_AUTO_TEST_CASE(ReportsAnUnknownOutcomeWhileAnEarlierAttemptIsOpen)
{
    const CallerOutcome outcome = this->outcomeWithNewLeader({refusalFrame});
    BOOST_TEST(this->newLeader.requests > 0);
    BOOST_TEST((outcome == CallerOutcome::OutcomeUnknown));
}

// Guards against the same refusal by a reply: the new leader has withdrawn the caller's key, but
// the earlier one may have accepted the submission before.
BOOST_AUTO_TEST_CASE(PassesOnNoRefusalWhileAnEarlierAttemptIsOpen)
{
    const CallerOutcome outcome = this->outcomeWithNewLeader(answer(CallerOutcome::UnknownKey));
    BOOST_TEST((outcome == CallerOutcome::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(PassesOnAnAcceptanceAtOnce)
{
    const CallerOutcome outcome = this->outcomeWithNewLeader(answer(CallerOutcome::Accepted));
    BOOST_TEST((outcome == CallerOutcome::Accepted));
}

// Guards against an unknown outcome where every attempt was refused: such a caller can be told when
// to come back. Not so for a submission, of which another node may have a copy.
BOOST_AUTO_TEST_CASE(ReportsNotRunIfEveryAttemptWasRefused)
{
    this->oldLeader.setAnswer({refusalFrame});
    const std::map<CallerAction, CallerOutcome> expected{
        {CallerAction::Read, CallerOutcome::Unavailable},
        {CallerAction::Cancel, CallerOutcome::Unavailable},
        {CallerAction::Submit, CallerOutcome::OutcomeUnknown}};
    for (const auto &[action, outcome] : expected) {
        CallerRequest request;
        request.action = action;
        Awaited<CallerReply> refused;
        this->entry.node->handle(request, 300ms, refused.callback());
        BOOST_TEST((refused.get().outcome == outcome));
    }
    this->reply.get();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestAttemptsTest)

BOOST_AUTO_TEST_CASE(DescribesTheLastAttemptsThatWereSent)
{
    std::vector<RequestAttempt> attempts{{.target = {}, .outcome = Outcome::NotRun},
                                         {.target = InstanceId("a"), .outcome = Outcome::NotRun},
                                         {.target = InstanceId("b"), .outcome = Outcome::Unknown},
                                         {.target = InstanceId("c"), .outcome = {}}};
    BOOST_TEST(describeAttempts(attempts) == "attempts=4 sent=\"a=not-run b=unknown c=open\"");
    attempts.resize(20, RequestAttempt{.target = InstanceId("d"), .outcome = Outcome::NotRun});
    BOOST_TEST(
        describeAttempts(attempts)
        == "attempts=20 sent=\"d=not-run d=not-run d=not-run d=not-run d=not-run d=not-run\"");
    BOOST_TEST(describeAttempts({}) == "attempts=0 sent=\"\"");
}

BOOST_AUTO_TEST_SUITE_END()
