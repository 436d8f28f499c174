#include <link/link.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <thread>

#include "awaitable.h"
#include "raw_socket.h"

using namespace gooseberry;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds testTimeout{10'000};
const std::string emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

using Reply = Result<HttpResponse>;

HttpRequest putRequest(const std::string &target = "/")
{
    return HttpRequest{
        .method = "PUT", .target = target, .headers = {}, .body = "body", .peer = {}};
}

struct TestClient
{
    explicit TestClient(HttpClientLimits limits = {})
        : client(this->executor, limits)
    {
    }
    ~TestClient()
    {
        this->executor.stop();
    }

    void begin(const Address &address, milliseconds deadline = testTimeout)
    {
        this->client.send(address, putRequest(), deadline, [this](const Reply &reply) {
            this->replies.update([&](std::vector<Reply> &now) { now.push_back(reply); });
        });
    }
    std::vector<Reply> await(std::size_t count)
    {
        BOOST_REQUIRE(this->replies.waitFor(
            testTimeout, [&](const std::vector<Reply> &now) { return now.size() >= count; }));
        return this->replies.get();
    }

    Executor executor{2};
    Awaitable<std::vector<Reply>> replies;
    HttpClient client;
};

/** An upstream whose behaviour is a script function, run on its own thread. */
class FakeUpstream
{
public:
    explicit FakeUpstream(std::function<void(FakeUpstream &)> script)
        : acceptor(listenOnLoopback(this->socket.context()))
        , thread([this, script = std::move(script)]() { script(*this); })
    {
    }
    ~FakeUpstream()
    {
        this->thread.join();
    }
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    Address address() const
    {
        return addressOf(this->acceptor);
    }
    /** Accepts the next connection after closing the previous one. */
    bool accept()
    {
        this->socket.close();
        return this->socket.accept(this->acceptor, testTimeout);
    }
    bool readRequest()
    {
        return this->socket.readUntil("\r\n\r\nbody", testTimeout).ends_with("body");
    }

    RawSocket socket;

private:
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

Error onlyError(TestClient &client)
{
    const std::vector<Reply> replies = client.await(1);
    BOOST_REQUIRE_MESSAGE(!ok(replies.front()), "expected an error, got a response");
    return errorOf(replies.front());
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against outcome Unknown for a request that reached no receiver.
BOOST_AUTO_TEST_CASE(ReportsNotRunWhenTheConnectionIsRefused)
{
    RawSocket unused;
    Address address;
    {
        address = addressOf(listenOnLoopback(unused.context()));
    }
    TestClient client;
    client.begin(address);
    BOOST_TEST((onlyError(client).outcome == Outcome::NotRun));
}

// Guards against a false NotRun: the upstream may have read the bytes before it closed.
BOOST_AUTO_TEST_CASE(ReportsUnknownWhenClosedBeforeReading)
{
    FakeUpstream upstream([](FakeUpstream &self) {
        self.accept();
        self.socket.awaitInput(testTimeout);
        self.socket.reset();
    });
    TestClient client;
    client.begin(upstream.address());
    const Error error = onlyError(client);
    BOOST_TEST((error.outcome == Outcome::Unknown));
    BOOST_TEST((error.code == ErrorCode::Unavailable));
}

// Guards against a false NotRun when the upstream runs the request and then fails.
BOOST_AUTO_TEST_CASE(ReportsUnknownWhenClosedAfterReading)
{
    FakeUpstream upstream([](FakeUpstream &self) {
        self.accept();
        self.readRequest();
        self.socket.close();
    });
    TestClient client;
    client.begin(upstream.address());
    BOOST_TEST((onlyError(client).outcome == Outcome::Unknown));
}

// Guards against a false NotRun when the upstream is only slow.
BOOST_AUTO_TEST_CASE(ReportsUnknownWhenTheServerIsSilent)
{
    FakeUpstream upstream([](FakeUpstream &self) {
        self.accept();
        self.readRequest();
        self.socket.closedWithin(testTimeout);
    });
    TestClient client;
    client.begin(upstream.address(), milliseconds(200));
    const Error error = onlyError(client);
    BOOST_TEST((error.outcome == Outcome::Unknown));
    BOOST_TEST((error.code == ErrorCode::DeadlineExceeded));
}

// Guards against a truncated response that is delivered as a complete one.
BOOST_AUTO_TEST_CASE(RefusesATruncatedResponse)
{
    for (const std::string response : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
                                       "HTTP/1.1 200 OK\r\n\r\n12345", "HTTP/1.1 20"}) {
        FakeUpstream upstream([&](FakeUpstream &self) {
            self.accept();
            self.readRequest();
            self.socket.write(response);
            self.socket.close();
        });
        TestClient client;
        client.begin(upstream.address());
        BOOST_TEST((onlyError(client).outcome == Outcome::Unknown));
    }
}

// Guards against opening a new connection for every request.
BOOST_AUTO_TEST_CASE(ReusesAConnection)
{
    FakeUpstream upstream([](FakeUpstream &self) {
        self.accept();
        for (int i = 0; i < 3; ++i) {
            self.readRequest();
            self.socket.write(emptyResponse);
        }
    });
    TestClient client;
    for (std::size_t i = 1; i <= 3; ++i) {
        client.begin(upstream.address());
        BOOST_TEST(ok(client.await(i).back()));
    }
}

// Guards against an idle connection, closed by the server, that makes the next request fail.
BOOST_AUTO_TEST_CASE(ReplacesAKeptConnectionThatWasClosed)
{
    Awaitable<bool> closed;
    FakeUpstream upstream([&](FakeUpstream &self) {
        self.accept();
        self.readRequest();
        self.socket.write(emptyResponse);
        self.socket.close();
        closed.update([](bool &now) { now = true; });
        self.accept();
        self.readRequest();
        self.socket.write(emptyResponse);
    });
    TestClient client;
    client.begin(upstream.address());
    BOOST_TEST(ok(client.await(1).back()));
    BOOST_REQUIRE(closed.waitFor(testTimeout, [](bool now) { return now; }));
    client.begin(upstream.address());
    BOOST_TEST(ok(client.await(2).back()));
}

// Guards against a false NotRun and against an automatic resend when a reused connection fails
// after the request was written.
BOOST_AUTO_TEST_CASE(SendsOnceWhenAKeptConnectionFails)
{
    std::atomic<int> requests{0};
    FakeUpstream upstream([&](FakeUpstream &self) {
        self.accept();
        requests += self.readRequest() ? 1 : 0;
        self.socket.write(emptyResponse);
        requests += self.readRequest() ? 1 : 0;
        self.socket.reset();
    });
    TestClient client;
    client.begin(upstream.address());
    BOOST_TEST(ok(client.await(1).back()));
    client.begin(upstream.address());
    const Reply second = client.await(2).back();
    BOOST_REQUIRE(!ok(second));
    BOOST_TEST((errorOf(second).outcome == Outcome::Unknown));
    BOOST_TEST(requests.load() == 2);
}

// Guards against exceeding the connection limit of an upstream, and against outcome Unknown for a
// request that never left the queue.
BOOST_AUTO_TEST_CASE(ReportsNotRunForARequestThatOnlyWaited)
{
    HttpClientLimits limits;
    limits.maxConnectionsPerAddress = 1;
    limits.maxPendingRequests = 1;
    FakeUpstream upstream([](FakeUpstream &self) {
        self.accept();
        self.readRequest();
        self.socket.closedWithin(testTimeout);
    });
    TestClient client(limits);
    client.begin(upstream.address(), milliseconds(400));
    client.begin(upstream.address(), milliseconds(100));
    client.begin(upstream.address(), milliseconds(100));
    const std::vector<Reply> replies = client.await(3);
    // The third request found the queue full; the second one timed out in the queue.
    BOOST_TEST((errorOf(replies[0]).code == ErrorCode::Overloaded));
    BOOST_TEST((errorOf(replies[0]).outcome == Outcome::NotRun));
    BOOST_TEST((errorOf(replies[1]).code == ErrorCode::DeadlineExceeded));
    BOOST_TEST((errorOf(replies[1]).outcome == Outcome::NotRun));
    BOOST_TEST((errorOf(replies[2]).outcome == Outcome::Unknown));
}

// Guards against queued requests that never complete, and against mismatched responses.
BOOST_AUTO_TEST_CASE(ServesManyRequestsOverFewConnections)
{
    TestClient client(HttpClientLimits{.maxConnectionsPerAddress = 4,
                                       .maxPendingRequests = 1000,
                                       .idleTimeout = milliseconds(20'000),
                                       .maxResponseBody = Bytes(1024)});
    Executor executor(2);
    HttpServer server(executor, HttpServerLimits{},
                      [](const HttpRequest &request, const HttpServer::Respond &respond) {
                          respond(
                              HttpResponse{.status = 200, .headers = {}, .body = request.target});
                      });
    const Result<Address> address = server.listen(Address{.host = "127.0.0.1", .port = 0});
    BOOST_REQUIRE(ok(address));
    constexpr std::size_t requestCount = 500;
    Awaitable<std::pair<std::size_t, std::size_t>> counts;
    for (std::size_t i = 0; i < requestCount; ++i) {
        const std::string target = '/' + std::to_string(i);
        client.client.send(valueOf(address), putRequest(target), testTimeout,
                           [&counts, target](const Reply &reply) {
                               counts.update([&](auto &now) {
                                   ++now.first;
                                   now.second += ok(reply) && valueOf(reply).body == target;
                               });
                           });
    }
    BOOST_REQUIRE(
        counts.waitFor(testTimeout, [](const auto &now) { return now.first == requestCount; }));
    BOOST_TEST(counts.get().second == requestCount);
    BOOST_TEST(server.drain(testTimeout));
    executor.stop();
}

// Guards against header injection and request smuggling through header values.
BOOST_AUTO_TEST_CASE(RefusesLineBreaksInHeaders)
{
    TestClient client;
    HttpRequest request = putRequest();
    request.headers["x-name"] = "value\r\nx-other: value";
    client.client.send(
        Address{.host = "127.0.0.1", .port = 1}, request, testTimeout, [&](const Reply &reply) {
            client.replies.update([&](std::vector<Reply> &now) { now.push_back(reply); });
        });
    BOOST_TEST((onlyError(client).code == ErrorCode::InvalidArgument));
}

// Guards against a burst of requests to many addresses that takes all descriptors of the process:
// the client then fails to connect, and so does everything else.
BOOST_AUTO_TEST_CASE(SharesItsConnectionsAmongAllAddresses)
{
    Executor executor(2);
    std::mutex mutex;
    std::vector<HttpServer::Respond> waiting;
    const auto hold = [&](const HttpRequest & /*request*/, const HttpServer::Respond &respond) {
        const std::lock_guard lock(mutex);
        waiting.push_back(respond);
    };
    HttpServer first(executor, HttpServerLimits{}, hold);
    HttpServer second(executor, HttpServerLimits{}, hold);
    const auto firstAddress = first.listen(Address{.host = "127.0.0.1", .port = 0});
    const auto secondAddress = second.listen(Address{.host = "127.0.0.1", .port = 0});
    BOOST_REQUIRE(ok(firstAddress));
    BOOST_REQUIRE(ok(secondAddress));
    HttpClientLimits limits;
    limits.maxConnections = 2;
    TestClient client(limits);
    constexpr std::size_t perAddress = 5;
    for (std::size_t i = 0; i < perAddress; ++i) {
        client.begin(valueOf(firstAddress));
        client.begin(valueOf(secondAddress));
    }
    std::size_t answered = 0;
    while (answered < 2 * perAddress) {
        std::vector<HttpServer::Respond> ready;
        {
            const std::lock_guard lock(mutex);
            ready.swap(waiting);
        }
        BOOST_TEST(ready.size() <= 2U);
        for (const HttpServer::Respond &respond : ready) {
            respond(HttpResponse{});
            ++answered;
        }
        std::this_thread::sleep_for(milliseconds(1));
    }
    for (const Reply &reply : client.await(2 * perAddress)) {
        BOOST_TEST(ok(reply));
    }
    BOOST_TEST(client.client.usage().peakConnections == 2U);
    BOOST_TEST(client.client.usage().waitingRequests == 0U);
}

BOOST_AUTO_TEST_CASE(ReportsALackOfConnectionsAsItsOwnOverload)
{
    Executor executor(1);
    std::vector<HttpServer::Respond> held;
    std::mutex mutex;
    HttpServer server(executor, HttpServerLimits{},
                      [&](const HttpRequest & /*request*/, const HttpServer::Respond &respond) {
                          const std::lock_guard lock(mutex);
                          held.push_back(respond);
                      });
    const auto address = server.listen(Address{.host = "127.0.0.1", .port = 0});
    BOOST_REQUIRE(ok(address));
    HttpClientLimits limits;
    limits.maxConnections = 1;
    TestClient client(limits);
    client.begin(valueOf(address), milliseconds(2000));
    client.begin(valueOf(address), milliseconds(200));
    const std::vector<Reply> replies = client.await(1);
    BOOST_REQUIRE(!ok(replies.front()));
    BOOST_TEST((errorOf(replies.front()).code == ErrorCode::Overloaded));
    BOOST_TEST((errorOf(replies.front()).outcome == Outcome::NotRun));
    client.await(2);
    const std::lock_guard lock(mutex);
    held.clear();
}

BOOST_AUTO_TEST_SUITE_END()
