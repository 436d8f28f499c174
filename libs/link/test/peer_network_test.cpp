#include <link/link.h>

#include <boost/test/unit_test.hpp>

#include <future>
#include <latch>
#include <vector>

#include "awaitable.h"
#include "fake_proxy.h"
#include "frame.h"
#include "raw_socket.h"

using namespace gooseberry;
using std::chrono::milliseconds;

namespace {

const InstanceId alpha("alpha");
const InstanceId beta("beta");
/** Upper bound for waits that have no bound of their own. */
constexpr milliseconds testTimeout{10'000};
/** Half the default heartbeat timeout: a link that closes sooner did not close by timeout. */
const milliseconds withinHeartbeatTimeout = PeerNetworkSettings{}.heartbeatTimeout / 2;

/** Handler calls and replies that an instance has received. */
struct Observed
{
    std::vector<std::pair<InstanceId, std::string>> frames;
    std::vector<Result<std::string>> replies;
    std::size_t linkChanges = 0;
};

PeerNetworkSettings settingsOf(const InstanceId &self, std::map<InstanceId, Address> peers = {},
                               std::uint16_t port = 0)
{
    PeerNetworkSettings settings;
    settings.self = self;
    settings.cellName = "test-cell";
    settings.listen = Address{.host = "127.0.0.1", .port = port};
    settings.peers = std::move(peers);
    return settings;
}

/** An instance that replies to each request with the request in brackets. */
struct TestInstance
{
    static constexpr unsigned threads = 2;

    explicit TestInstance(PeerNetworkSettings settings)
        : network(this->executor, std::move(settings), this->handlers())
    {
        const Result<Address> started = this->network.start();
        BOOST_REQUIRE_MESSAGE(ok(started), "start failed");
        this->address = valueOf(started);
    }
    ~TestInstance()
    {
        this->network.stop();
        this->executor.stop();
    }

    PeerHandlers handlers()
    {
        return PeerHandlers{.onFrame =
                                [this](const InstanceId &from, std::string frame) {
                                    this->observed.update([&](Observed &now) {
                                        now.frames.emplace_back(from, frame);
                                    });
                                },
                            .onRequest =
                                [this](const InstanceId &from, std::string frame,
                                       const PeerHandlers::Reply &reply) {
                                    this->observed.update([&](Observed &now) {
                                        now.frames.emplace_back(from, frame);
                                    });
                                    if (frame != "no reply") {
                                        reply('[' + frame + ']');
                                    }
                                },
                            .onLink =
                                [this](const InstanceId &, bool) {
                                    this->observed.update([](Observed &now) { ++now.linkChanges; });
                                }};
    }

    bool awaitLink(const InstanceId &peer, bool connected, milliseconds limit = testTimeout)
    {
        return this->observed.waitFor(
            limit, [&](const Observed &) { return this->network.connected(peer) == connected; });
    }

    bool awaitFrame(const std::string &frame, milliseconds limit = testTimeout)
    {
        return this->observed.waitFor(limit, [&](const Observed &now) {
            return std::any_of(now.frames.begin(), now.frames.end(),
                               [&](const auto &entry) { return entry.second == frame; });
        });
    }

    void call(const InstanceId &to, const std::string &frame, milliseconds deadline = testTimeout)
    {
        this->network.call(to, frame, deadline, [this](const Result<std::string> &reply) {
            this->observed.update([&](Observed &now) { now.replies.push_back(reply); });
        });
    }

    Result<std::string> awaitReply()
    {
        BOOST_REQUIRE(this->observed.waitFor(
            testTimeout, [](const Observed &now) { return !now.replies.empty(); }));
        return this->observed.get().replies.front();
    }

    PeerTraffic trafficWith(const InstanceId &peer)
    {
        for (const PeerTraffic &traffic : this->network.traffic()) {
            if (traffic.peer == peer) {
                return traffic;
            }
        }
        return {};
    }

    Executor executor{threads};
    Awaitable<Observed> observed;
    Address address;
    PeerNetwork network;
};

std::string frameBytes(FrameKind kind, const std::string &payload)
{
    const Frame frame{.kind = kind, .correlationId = 0, .payload = payload, .sendState = {}};
    return encodeFrameHeader(frame) + payload;
}

std::string helloBytes(const std::string &cellName, const InstanceId &sender)
{
    return frameBytes(FrameKind::Hello, encodeHello({.cellName = cellName, .sender = sender}));
}

/** Connects as beta and exchanges hellos. */
void exchangeHellos(RawSocket &socket, const TestInstance &instance)
{
    BOOST_REQUIRE(socket.connect(instance.address));
    BOOST_REQUIRE(socket.write(helloBytes("test-cell", beta)));
    const std::string expected = helloBytes("test-cell", alpha);
    BOOST_REQUIRE(socket.read(expected.size(), testTimeout) == expected);
}

Outcome outcomeOf(const Result<std::string> &reply)
{
    BOOST_REQUIRE_MESSAGE(!ok(reply), "expected an error, got a reply");
    return errorOf(reply).outcome;
}

/** Checks that a connection that drops bytes is replaced within the configured time. */
void checkReplacement(DropMode mode)
{
    TestInstance first(settingsOf(alpha));
    FakeProxy proxy(first.address);
    const PeerNetworkSettings settings = settingsOf(beta, {{alpha, proxy.address()}});
    TestInstance second(settings);
    BOOST_REQUIRE(second.awaitLink(alpha, true));
    BOOST_REQUIRE(first.awaitLink(beta, true));

    proxy.setDropMode(mode);
    const SteadyTime began = std::chrono::steady_clock::now();
    BOOST_REQUIRE(second.observed.waitFor(testTimeout, [&](const Observed &) {
        return second.trafficWith(alpha).linksOpened == 2 && second.network.connected(alpha);
    }));
    const auto took = std::chrono::steady_clock::now() - began;
    BOOST_TEST_MESSAGE("replaced after " << std::chrono::duration_cast<milliseconds>(took).count()
                                         << " ms");
    // Both ends detect the timeout; the new link follows within the maximum reconnect delay.
    BOOST_TEST(took < settings.heartbeatTimeout + settings.maxReconnectDelay);
    BOOST_TEST(second.network.send(alpha, "after"));
    BOOST_TEST(first.awaitFrame("after"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerNetworkTest)

// Guards against frames that can't be sent to a peer that connected without being configured.
BOOST_AUTO_TEST_CASE(SendsOverAcceptedAndOverDialedLinks)
{
    TestInstance first(settingsOf(alpha));
    TestInstance second(settingsOf(beta, {{alpha, first.address}}));
    BOOST_REQUIRE(second.awaitLink(alpha, true));
    BOOST_REQUIRE(first.awaitLink(beta, true));
    BOOST_TEST(second.network.send(alpha, "to alpha"));
    BOOST_TEST(first.network.send(beta, "to beta"));
    BOOST_TEST(first.awaitFrame("to alpha"));
    BOOST_TEST(second.awaitFrame("to beta"));
    BOOST_TEST((first.observed.get().frames.front().first == beta));
}

// Guards against a large frame, such as a snapshot chunk, that is truncated or merged with another.
BOOST_AUTO_TEST_CASE(CarriesLargeAndEmptyFramesInOrder)
{
    TestInstance first(settingsOf(alpha));
    TestInstance second(settingsOf(beta, {{alpha, first.address}}));
    BOOST_REQUIRE(second.awaitLink(alpha, true));
    const std::vector<std::string> frames{std::string(8UL * 1024 * 1024, 'x'), "", "small"};
    for (const std::string &frame : frames) {
        BOOST_TEST(second.network.send(alpha, frame));
    }
    BOOST_REQUIRE(first.awaitFrame("small"));
    const Observed observed = first.observed.get();
    BOOST_REQUIRE(observed.frames.size() == frames.size());
    for (std::size_t i = 0; i < frames.size(); ++i) {
        BOOST_TEST((observed.frames[i].second == frames[i]), "frame " << i << " differs");
    }
}

// Guards against a peer that stays disconnected after a restart on the same address.
BOOST_AUTO_TEST_CASE(ReconnectsAfterThePeerRestarts)
{
    auto first = std::make_unique<TestInstance>(settingsOf(alpha));
    const Address address = first->address;
    const PeerNetworkSettings settings = settingsOf(beta, {{alpha, address}});
    TestInstance second(settings);
    BOOST_REQUIRE(second.awaitLink(alpha, true));
    first.reset();
    BOOST_REQUIRE(second.awaitLink(alpha, false));
    BOOST_TEST(!second.network.send(alpha, "nobody there"));

    first = std::make_unique<TestInstance>(settingsOf(alpha, {}, address.port));
    BOOST_TEST(second.awaitLink(alpha, true, settings.maxReconnectDelay * 2));
    BOOST_TEST(second.network.send(alpha, "again"));
    BOOST_TEST(first->awaitFrame("again"));
}

// Guards against a dead connection that reports no error and stays open until TCP gives up.
BOOST_AUTO_TEST_CASE(ReplacesAConnectionThatDropsEverything)
{
    checkReplacement(DropMode::Everything);
}

// Guards against a link that is considered alive because data still arrives.
BOOST_AUTO_TEST_CASE(ReplacesAConnectionThatDropsWhatItSends)
{
    checkReplacement(DropMode::ToTarget);
}

// Guards against a link that is considered alive because writes still succeed.
BOOST_AUTO_TEST_CASE(ReplacesAConnectionThatReceivesNothing)
{
    checkReplacement(DropMode::FromTarget);
}

// Guards against instances of different cells that connect to each other through misconfiguration.
BOOST_AUTO_TEST_CASE(RefusesHelloOfAnotherCell)
{
    TestInstance instance(settingsOf(alpha));
    RawSocket socket;
    BOOST_REQUIRE(socket.connect(instance.address));
    BOOST_REQUIRE(socket.write(helloBytes("other-cell", beta)));
    BOOST_TEST(socket.closedWithin(testTimeout));
    BOOST_TEST(socket.rest().empty());
    BOOST_TEST(!instance.network.connected(beta));
}

// Guards against frames for one instance that reach another instance at the same address.
BOOST_AUTO_TEST_CASE(RefusesAPeerWithAnotherIdThanConfigured)
{
    RawSocket socket;
    boost::asio::ip::tcp::acceptor acceptor = listenOnLoopback(socket.context());
    TestInstance instance(settingsOf(alpha, {{beta, addressOf(acceptor)}}));
    BOOST_REQUIRE(socket.accept(acceptor, testTimeout));
    BOOST_REQUIRE(socket.write(helloBytes("test-cell", InstanceId("gamma"))));
    BOOST_TEST(socket.closedWithin(testTimeout));
    BOOST_TEST(!instance.network.connected(beta));
}

// Guards against an instance that accepts itself as a peer.
BOOST_AUTO_TEST_CASE(RefusesItsOwnHello)
{
    TestInstance instance(settingsOf(alpha));
    RawSocket socket;
    BOOST_REQUIRE(socket.connect(instance.address));
    BOOST_REQUIRE(socket.write(helloBytes("test-cell", alpha)));
    BOOST_TEST(socket.closedWithin(testTimeout));
}

// Guards against connections without a hello that hold file descriptors indefinitely.
BOOST_AUTO_TEST_CASE(ClosesAConnectionWithoutHello)
{
    const PeerNetworkSettings settings = settingsOf(alpha);
    TestInstance instance(settings);
    RawSocket socket;
    BOOST_REQUIRE(socket.connect(instance.address));
    BOOST_TEST(socket.closedWithin(settings.heartbeatTimeout * 2));
}

// Guards against a length field that makes the receiver allocate that much memory.
BOOST_AUTO_TEST_CASE(ClosesTheLinkOnAnOversizeFrame)
{
    TestInstance instance(settingsOf(alpha));
    RawSocket socket;
    exchangeHellos(socket, instance);
    BOOST_REQUIRE(socket.write(std::string("\x02\x00\x00\x01", 4)));
    BOOST_TEST(socket.closedWithin(withinHeartbeatTimeout));
}

// Guards against an unidentified sender that can use as much memory as a peer.
BOOST_AUTO_TEST_CASE(RefusesAnOversizeHello)
{
    TestInstance instance(settingsOf(alpha));
    RawSocket socket;
    BOOST_REQUIRE(socket.connect(instance.address));
    BOOST_REQUIRE(socket.write(std::string("\x00\x00\x04\x01", 4)));
    BOOST_TEST(socket.closedWithin(withinHeartbeatTimeout));
}

// Guards against input of another protocol that is parsed as frames.
BOOST_AUTO_TEST_CASE(ClosesTheLinkOnOtherProtocols)
{
    TestInstance instance(settingsOf(alpha));
    RawSocket socket;
    BOOST_REQUIRE(socket.connect(instance.address));
    BOOST_REQUIRE(socket.write("GET / HTTP/1.1\r\n\r\n"));
    BOOST_TEST(socket.closedWithin(withinHeartbeatTimeout));
    RawSocket identified;
    exchangeHellos(identified, instance);
    BOOST_REQUIRE(identified.write(std::string("\x00\x00\x00\x01\x63", 5)));
    BOOST_TEST(identified.closedWithin(withinHeartbeatTimeout));
}

// Guards against a peer that doesn't read and makes the send queue grow without bound.
BOOST_AUTO_TEST_CASE(RefusesFramesWhenTheQueueIsFull)
{
    PeerNetworkSettings settings = settingsOf(alpha);
    settings.maxQueued = Bytes(4LL * 1024 * 1024);
    settings.heartbeatTimeout = testTimeout;
    TestInstance instance(settings);
    RawSocket socket;
    exchangeHellos(socket, instance);
    BOOST_REQUIRE(instance.awaitLink(beta, true));
    const std::string frame(1024UL * 1024, 'x');
    int accepted = 0;
    // The system's socket buffers hold a few megabytes in addition to the queue.
    constexpr int maxFrames = 64;
    while (accepted < maxFrames && instance.network.send(beta, frame)) {
        ++accepted;
    }
    BOOST_TEST(accepted >= 4);
    BOOST_TEST(accepted < maxFrames);
}

// Guards against a reply that reaches the wrong caller.
BOOST_AUTO_TEST_CASE(MatchesRepliesToCalls)
{
    TestInstance first(settingsOf(alpha));
    TestInstance second(settingsOf(beta, {{alpha, first.address}}));
    BOOST_REQUIRE(second.awaitLink(alpha, true));
    constexpr std::size_t callCount = 200;
    Awaitable<std::pair<std::size_t, std::size_t>> replies;
    for (std::size_t i = 0; i < callCount; ++i) {
        const std::string expected = '[' + std::to_string(i) + ']';
        second.network.call(alpha, std::to_string(i), testTimeout,
                            [&replies, expected](const Result<std::string> &reply) {
                                replies.update([&](auto &count) {
                                    ++count.first;
                                    count.second += ok(reply) && valueOf(reply) == expected;
                                });
                            });
    }
    BOOST_REQUIRE(
        replies.waitFor(testTimeout, [](const auto &count) { return count.first == callCount; }));
    BOOST_TEST(replies.get().second == callCount);
}

// Guards against outcome Unknown for a request that can't have run.
BOOST_AUTO_TEST_CASE(ReportsNotRunWithoutALink)
{
    TestInstance instance(settingsOf(alpha));
    instance.call(beta, "request");
    BOOST_TEST((outcomeOf(instance.awaitReply()) == Outcome::NotRun));
}

// Guards against a false NotRun when the link breaks after the peer received the request.
BOOST_AUTO_TEST_CASE(ReportsUnknownWhenTheLinkIsLostAfterTheRequest)
{
    auto first = std::make_unique<TestInstance>(settingsOf(alpha));
    TestInstance second(settingsOf(beta, {{alpha, first->address}}));
    BOOST_REQUIRE(second.awaitLink(alpha, true));
    second.call(alpha, "no reply");
    BOOST_REQUIRE(first->awaitFrame("no reply"));
    first.reset();
    BOOST_TEST((outcomeOf(second.awaitReply()) == Outcome::Unknown));
}

// Guards against a false NotRun when the request or the reply is lost.
BOOST_AUTO_TEST_CASE(ReportsUnknownAfterTheDeadline)
{
    TestInstance first(settingsOf(alpha));
    TestInstance second(settingsOf(beta, {{alpha, first.address}}));
    BOOST_REQUIRE(second.awaitLink(alpha, true));
    second.call(alpha, "no reply", milliseconds(100));
    const Result<std::string> reply = second.awaitReply();
    BOOST_TEST((outcomeOf(reply) == Outcome::Unknown));
    BOOST_TEST((errorOf(reply).code == ErrorCode::DeadlineExceeded));
}

// Guards against a request that is reported as NotRun and sent later nevertheless.
BOOST_AUTO_TEST_CASE(CancelsAQueuedRequestAtItsDeadline)
{
    PeerNetworkSettings settings = settingsOf(alpha);
    settings.heartbeatTimeout = testTimeout;
    TestInstance instance(settings);
    RawSocket socket;
    exchangeHellos(socket, instance);
    BOOST_REQUIRE(instance.awaitLink(beta, true));
    const std::string filler(16UL * 1024 * 1024, 'x');
    BOOST_REQUIRE(instance.network.send(beta, filler));
    BOOST_REQUIRE(instance.network.send(beta, filler));
    instance.call(beta, "late request", milliseconds(100));
    BOOST_TEST((outcomeOf(instance.awaitReply()) == Outcome::NotRun));

    BOOST_REQUIRE(instance.network.send(beta, "last frame"));
    const std::string bytes = socket.readUntil("last frame", testTimeout);
    BOOST_TEST(bytes.size() > 2 * filler.size());
    BOOST_TEST((bytes.find("late request") == std::string::npos));
}

// Guards against callers that block forever when their instance stops.
BOOST_AUTO_TEST_CASE(FailsPendingCallsOnStop)
{
    TestInstance first(settingsOf(alpha));
    TestInstance second(settingsOf(beta, {{alpha, first.address}}));
    BOOST_REQUIRE(second.awaitLink(alpha, true));
    second.call(alpha, "no reply");
    BOOST_REQUIRE(first.awaitFrame("no reply"));
    second.network.stop();
    const Observed observed = second.observed.get();
    BOOST_REQUIRE(observed.replies.size() == 1U);
    BOOST_TEST((outcomeOf(observed.replies.front()) == Outcome::Unknown));
    BOOST_TEST(!second.network.send(alpha, "stopped"));
}

// Guards against traffic counters, the basis of control cost figures, that miss part of it.
BOOST_AUTO_TEST_CASE(CountsWhatWasSentAndReceived)
{
    TestInstance first(settingsOf(alpha));
    TestInstance second(settingsOf(beta, {{alpha, first.address}}));
    BOOST_REQUIRE(second.awaitLink(alpha, true));
    const std::string frame(100'000, 'x');
    second.call(alpha, frame);
    BOOST_REQUIRE(ok(second.awaitReply()));
    // A frame is counted when its write completes, which is certain once a later one got a reply.
    second.call(alpha, "second");
    BOOST_REQUIRE(second.observed.waitFor(
        testTimeout, [](const Observed &now) { return now.replies.size() == 2; }));
    const PeerTraffic traffic = second.trafficWith(alpha);
    BOOST_TEST(traffic.connected);
    BOOST_TEST(traffic.linksOpened == 1U);
    BOOST_TEST(traffic.framesSent >= 2U);
    BOOST_TEST(traffic.framesReceived >= 1U);
    BOOST_TEST(traffic.bytesSent.value >= 100'000);
}

// Guards against replicas of the log that lose their leader while it is busy: the acknowledgements
// waited behind hundreds of relayed requests on the same link, for up to a second.
BOOST_AUTO_TEST_CASE(SendsMessagesBeforeWaitingRequests)
{
    TestInstance receiver(settingsOf(beta));
    TestInstance sender(settingsOf(alpha, {{beta, receiver.address}}));
    BOOST_REQUIRE(sender.awaitLink(beta, true));
    constexpr std::size_t requests = 4000;
    const std::string padding(1000, 'x');
    // The sender's threads wait meanwhile, so that all requests are queued and none is written.
    std::promise<void> released;
    const std::shared_future<void> release = released.get_future().share();
    std::latch waiting(TestInstance::threads);
    for (unsigned thread = 0; thread < TestInstance::threads; ++thread) {
        sender.executor.post([&waiting, release]() {
            waiting.count_down();
            release.wait();
        });
    }
    waiting.wait();
    for (std::size_t i = 0; i < requests; ++i) {
        sender.call(beta, padding);
    }
    BOOST_TEST(sender.network.send(beta, "message"));
    released.set_value();
    BOOST_REQUIRE(receiver.awaitFrame("message"));
    const Observed seen = receiver.observed.get();
    const auto message = std::find_if(seen.frames.begin(), seen.frames.end(),
                                      [](const auto &entry) { return entry.second == "message"; });
    BOOST_TEST((message == seen.frames.begin()),
               message - seen.frames.begin() << " requests came before the message");
    BOOST_REQUIRE(receiver.observed.waitFor(
        testTimeout, [](const Observed &now) { return now.frames.size() == requests + 1; }));
}

BOOST_AUTO_TEST_CASE(ReassemblesFramesOfAllSizes)
{
    TestInstance receiver(settingsOf(beta));
    TestInstance sender(settingsOf(alpha, {{beta, receiver.address}}));
    BOOST_REQUIRE(sender.awaitLink(beta, true));
    const std::vector<std::size_t> sizes{1, 16'379, 16'380, 16'381, 70'000, 3, 2'000'000, 5};
    for (const std::size_t size : sizes) {
        BOOST_TEST(sender.network.send(beta, std::string(size, static_cast<char>('a' + size % 7))));
    }
    BOOST_REQUIRE(receiver.observed.waitFor(
        testTimeout, [&](const Observed &now) { return now.frames.size() == sizes.size(); }));
    const Observed seen = receiver.observed.get();
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        const std::string expected(sizes[i], static_cast<char>('a' + sizes[i] % 7));
        BOOST_TEST_MESSAGE("frame " << i << " of " << sizes[i] << " bytes");
        BOOST_TEST((seen.frames[i].second == expected));
    }
}

BOOST_AUTO_TEST_SUITE_END()
