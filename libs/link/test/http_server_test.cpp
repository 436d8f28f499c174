#include <link/link.h>

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

#include "awaitable.h"
#include "raw_socket.h"

using namespace gooseberry;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds testTimeout{10'000};
const Address anyPort{.host = "127.0.0.1", .port = 0};

/** The responders of requests whose responses are deferred. */
struct HeldRequests
{
    std::vector<HttpServer::Respond> responders;
};

/** A server that echoes method and body, and defers the responses to requests for /hold. */
struct TestServer
{
    explicit TestServer(HttpServerLimits limits = {},
                        std::shared_ptr<RequestBudget> budget = nullptr)
        : server(
            this->executor, limits,
            [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                if (request.target == "/hold") {
                    this->held.update(
                        [&](HeldRequests &now) { now.responders.push_back(respond); });
                    return;
                }
                respond(HttpResponse{
                    .status = 200, .headers = {}, .body = request.method + ':' + request.body});
            },
            std::move(budget))
    {
        const Result<Address> listening = this->server.listen(anyPort);
        BOOST_REQUIRE(ok(listening));
        this->address = valueOf(listening);
    }
    ~TestServer()
    {
        this->executor.stop();
    }

    bool awaitHeldRequest()
    {
        return this->held.waitFor(testTimeout,
                                  [](const HeldRequests &now) { return !now.responders.empty(); });
    }

    Executor executor{2};
    Awaitable<HeldRequests> held;
    HttpServer server;
    Address address;
};

/** Sends the bytes and returns everything that the server sends until it closes. */
std::string sendAndReadAll(const Address &address, const std::string &bytes)
{
    RawSocket socket;
    BOOST_REQUIRE(socket.connect(address));
    BOOST_REQUIRE(socket.write(bytes));
    BOOST_TEST(socket.closedWithin(testTimeout));
    return socket.rest();
}

void checkRejection(const std::string &response, const std::string &status, const std::string &code)
{
    BOOST_TEST(response.starts_with("HTTP/1.1 " + status), "got: " << response);
    BOOST_TEST((response.find("\"code\":\"" + code + '"') != std::string::npos),
               "got: " << response);
    BOOST_TEST((response.find(R"("outcome":"not-run")") != std::string::npos));
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServerTest)

// Guards against input of another protocol that gets no response or crashes the server.
BOOST_AUTO_TEST_CASE(RefusesBytesThatAreNotHttp)
{
    TestServer server;
    checkRejection(sendAndReadAll(server.address, "\x16\x03\x01 not http at all\r\n\r\n"), "400",
                   "invalid-argument");
    BOOST_TEST(sendAndReadAll(server.address, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
                   .ends_with("GET:"));
}

// Guards against a header that exhausts memory.
BOOST_AUTO_TEST_CASE(RefusesAnOversizeHeader)
{
    TestServer server;
    const std::string header(32UL * 1024, 'x');
    checkRejection(
        sendAndReadAll(server.address, "GET / HTTP/1.1\r\nLarge: " + header + "\r\n\r\n"), "431",
        "too-large");
}

// Guards against a body that exhausts memory, and against an error response that the sender never
// sees because the server closes with unread input and so resets the connection.
BOOST_AUTO_TEST_CASE(RefusesAnOversizeBody)
{
    HttpServerLimits limits;
    limits.maxBody = Bytes(1000);
    TestServer server(limits);
    const std::string body(2000, 'x');
    checkRejection(
        sendAndReadAll(server.address, "PUT / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + body),
        "413", "too-large");
    checkRejection(sendAndReadAll(server.address,
                                  "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
                                      + body + "\r\n0\r\n\r\n"),
                   "413", "too-large");
}

// Guards against a read buffer without a maximum, which keeps trailers and chunk extensions until
// they are complete, however long they are.
BOOST_AUTO_TEST_CASE(RefusesOversizeTrailersAndChunkExtensions)
{
    TestServer server;
    const std::string start = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string trailers;
    while (trailers.size() < 32UL * 1024) {
        trailers += "Name: value\r\n";
    }
    checkRejection(sendAndReadAll(server.address, start + "0\r\n" + trailers), "431", "too-large");
    checkRejection(sendAndReadAll(server.address, start + "5;" + std::string(32UL * 1024, 'x')),
                   "431", "too-large");
}

// Guards against limits that refuse what is inside them: trailers, extensions and a chunked body of
// exactly the largest size.
BOOST_AUTO_TEST_CASE(TakesTrailersExtensionsAndABodyUpToTheLimit)
{
    HttpServerLimits limits;
    limits.maxBody = Bytes(100'000);
    TestServer server(limits);
    const std::string body(100'000, 'x');
    const std::string response
        = sendAndReadAll(server.address,
                         "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: "
                         "close\r\n\r\n186a0;name=value\r\n"
                             + body + "\r\n0\r\nName: value\r\n\r\n");
    BOOST_TEST(response.ends_with("PUT:" + body));
    BOOST_TEST(sendAndReadAll(server.address,
                              "PUT / HTTP/1.1\r\nContent-Length: 100000\r\n"
                              "Connection: close\r\n\r\n"
                                  + body)
                   .ends_with("PUT:" + body));
}

// Guards against bodies that stop short of their end and together take all memory: what does not
// fit is refused before its handler is called, small requests are served, and memory is given back.
BOOST_AUTO_TEST_CASE(RefusesWhatTheBudgetHasNoRoomForAndServesSmallRequests)
{
    const auto budget = std::make_shared<RequestBudget>(RequestMemoryLimits{
        .all = Bytes(300'000), .large = Bytes(200'000), .smallRequest = Bytes(16'384)});
    TestServer server({}, budget);
    RawSocket slow;
    BOOST_REQUIRE(slow.connect(server.address));
    BOOST_REQUIRE(slow.write("PUT /hold HTTP/1.1\r\nContent-Length: 150000\r\n\r\n"
                             + std::string(100'000, 'x')));
    while (budget->use().large.value < 150'000) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    const std::string body(100'000, 'x');
    checkRejection(sendAndReadAll(server.address,
                                  "PUT /hold HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + body),
                   "503", "overloaded");
    checkRejection(sendAndReadAll(server.address,
                                  "PUT /hold HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "186a0\r\n"
                                      + body),
                   "503", "overloaded");
    BOOST_TEST(server.held.get().responders.empty());
    const std::string small = "PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\nsmall";
    BOOST_TEST(sendAndReadAll(server.address, small + "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
                   .ends_with("GET:"));
    BOOST_REQUIRE(slow.write(std::string(50'000, 'x')));
    BOOST_REQUIRE(server.awaitHeldRequest());
    // The handler has the body now, so it still counts.
    BOOST_TEST(budget->use().large.value >= 150'000);
    server.held.get().responders.front()(HttpResponse{});
    BOOST_TEST(!slow.readUntil("\r\n\r\n", testTimeout).empty());
    slow.close();
    const SteadyTime began = std::chrono::steady_clock::now();
    while (budget->use() != RequestMemoryUse{}
           && std::chrono::steady_clock::now() - began < testTimeout) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    BOOST_TEST((budget->use() == RequestMemoryUse{}));
}

// Guards against responses that nobody reads and that together take all memory.
BOOST_AUTO_TEST_CASE(SendsNoResponseThatTheBudgetHasNoRoomFor)
{
    const auto budget = std::make_shared<RequestBudget>(RequestMemoryLimits{
        .all = Bytes(300'000), .large = Bytes(200'000), .smallRequest = Bytes(16'384)});
    TestServer server({}, budget);
    RawSocket caller;
    BOOST_REQUIRE(caller.connect(server.address));
    BOOST_REQUIRE(caller.write("GET /hold HTTP/1.1\r\n\r\n"));
    BOOST_REQUIRE(server.awaitHeldRequest());
    server.held.get().responders.front()(
        HttpResponse{.status = 200, .headers = {}, .body = std::string(250'000, 'x')});
    BOOST_TEST(caller.closedWithin(testTimeout));
    // The handler was called, so nothing is promised; 503 would mean that the request never runs.
    BOOST_TEST(caller.rest().starts_with("HTTP/1.1 504"));
    BOOST_TEST((caller.rest().find(R"("outcome":"unknown")") != std::string::npos));
}

// Guards against a full budget that turns the answer to a request that has run into a refusal.
BOOST_AUTO_TEST_CASE(SendsAShortResponseWhenTheBudgetIsFull)
{
    const auto budget = std::make_shared<RequestBudget>(RequestMemoryLimits{
        .all = Bytes(300'000), .large = Bytes(200'000), .smallRequest = Bytes(16'384)});
    TestServer server({}, budget);
    RawSocket caller;
    BOOST_REQUIRE(caller.connect(server.address));
    BOOST_REQUIRE(caller.write("DELETE /hold HTTP/1.1\r\n\r\n"));
    BOOST_REQUIRE(server.awaitHeldRequest());
    std::vector<std::unique_ptr<RequestCharge>> others;
    while (budget->use().all.value < 300'000) {
        others.push_back(std::make_unique<RequestCharge>(budget));
        BOOST_REQUIRE(others.back()->set(
            Bytes(std::min<std::int64_t>(16'384, 300'000 - budget->use().all.value))));
    }
    const std::string answer(1000, 'x');
    server.held.get().responders.front()(
        HttpResponse{.status = 200, .headers = {}, .body = answer});
    BOOST_TEST(caller.readUntil(answer, testTimeout).starts_with("HTTP/1.1 200"));
}

// Guards against a sender that extends its time with each chunk or trailer.
BOOST_AUTO_TEST_CASE(ClosesASenderOfTinyChunksAtTheReadTimeout)
{
    HttpServerLimits limits;
    limits.readTimeout = milliseconds(300);
    TestServer server(limits);
    for (const std::string start : {"", "0\r\n"}) {
        RawSocket slow;
        BOOST_REQUIRE(slow.connect(server.address));
        BOOST_REQUIRE(
            slow.write("PUT /hold HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + start));
        const std::string piece = start.empty() ? "1\r\nx\r\n" : "a: b\r\n";
        const SteadyTime began = std::chrono::steady_clock::now();
        bool cut = false;
        while (!cut && std::chrono::steady_clock::now() - began < testTimeout) {
            slow.write(piece);
            cut = slow.closedWithin(milliseconds(20));
        }
        BOOST_TEST(cut);
    }
    BOOST_TEST(server.held.get().responders.empty());
}

// Guards against a truncated request that is handled as a complete one.
BOOST_AUTO_TEST_CASE(HandlesNoTruncatedRequest)
{
    TestServer server;
    RawSocket socket;
    BOOST_REQUIRE(socket.connect(server.address));
    BOOST_REQUIRE(socket.write("POST /hold HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345"));
    socket.shutdownSend();
    BOOST_TEST(socket.closedWithin(testTimeout));
    checkRejection(socket.rest(), "400", "invalid-argument");
    BOOST_TEST(server.held.get().responders.empty());
}

// Guards against senders that trickle bytes to keep a connection open indefinitely or to block
// other callers.
BOOST_AUTO_TEST_CASE(ClosesASlowSenderAndServesOthers)
{
    HttpServerLimits limits;
    limits.readTimeout = milliseconds(300);
    TestServer server(limits);
    RawSocket slow;
    BOOST_REQUIRE(slow.connect(server.address));
    const SteadyTime began = std::chrono::steady_clock::now();
    bool cut = false;
    while (!cut && std::chrono::steady_clock::now() - began < testTimeout) {
        slow.write("G");
        // Waiting for the close also paces the bytes.
        cut = slow.closedWithin(milliseconds(50));
        BOOST_TEST(sendAndReadAll(server.address, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
                       .ends_with("GET:"));
    }
    BOOST_TEST(cut);
    BOOST_TEST((std::chrono::steady_clock::now() - began) < limits.readTimeout * 4);
}

// Guards against connections above the limit that displace established ones, and against a
// rejection without an error code.
BOOST_AUTO_TEST_CASE(RefusesConnectionsAboveTheLimit)
{
    HttpServerLimits limits;
    limits.maxConnections = 2;
    TestServer server(limits);
    RawSocket first;
    RawSocket second;
    for (RawSocket *socket : {&first, &second}) {
        BOOST_REQUIRE(socket->connect(server.address));
        BOOST_REQUIRE(socket->write("GET / HTTP/1.1\r\n\r\n"));
        BOOST_REQUIRE(socket->readUntil("GET:", testTimeout).ends_with("GET:"));
    }
    checkRejection(sendAndReadAll(server.address, "GET / HTTP/1.1\r\n\r\n"), "503", "overloaded");
    BOOST_REQUIRE(first.write("GET / HTTP/1.1\r\n\r\n"));
    BOOST_TEST(first.readUntil("GET:", testTimeout).ends_with("GET:"));
}

// Guards against pipelined requests that are lost or answered out of order.
BOOST_AUTO_TEST_CASE(AnswersPipelinedRequestsInOrder)
{
    TestServer server;
    const std::string response
        = sendAndReadAll(server.address,
                         "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
                         "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\ntwo"
                         "PUT / HTTP/1.1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nthree");
    const std::size_t first = response.find("PUT:one");
    const std::size_t second = response.find("PUT:two");
    BOOST_TEST((first != std::string::npos && second != std::string::npos && first < second));
    BOOST_TEST(response.ends_with("PUT:three"));
}

// Guards against a body in the response to HEAD, which the caller would parse as the next response.
BOOST_AUTO_TEST_CASE(SendsNoBodyAfterHead)
{
    TestServer server;
    const std::string response = sendAndReadAll(server.address,
                                                "HEAD / HTTP/1.1\r\n\r\n"
                                                "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    BOOST_TEST((response.find("Content-Length: 5\r\n") != std::string::npos));
    BOOST_TEST((response.find("HEAD:") == std::string::npos));
    BOOST_TEST(response.ends_with("GET:"));
}

// Guards against callers that wait for "100 Continue" and never send the body.
BOOST_AUTO_TEST_CASE(AnswersExpectContinue)
{
    HttpServerLimits limits;
    limits.maxBody = Bytes(1000);
    TestServer server(limits);
    RawSocket socket;
    BOOST_REQUIRE(socket.connect(server.address));
    BOOST_REQUIRE(
        socket.write("PUT / HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"));
    BOOST_TEST(socket.readUntil("\r\n\r\n", testTimeout).starts_with("HTTP/1.1 100 "));
    BOOST_REQUIRE(socket.write("body"));
    BOOST_TEST(socket.readUntil("PUT:body", testTimeout).ends_with("PUT:body"));
    checkRejection(
        sendAndReadAll(server.address,
                       "PUT / HTTP/1.1\r\nContent-Length: 2000\r\nExpect: 100-continue\r\n\r\n"),
        "413", "too-large");
}

// Guards against a graceful shutdown that interrupts a request in flight.
BOOST_AUTO_TEST_CASE(DrainLetsARequestInFlightFinish)
{
    TestServer server;
    RawSocket busy;
    RawSocket idle;
    BOOST_REQUIRE(busy.connect(server.address));
    BOOST_REQUIRE(idle.connect(server.address));
    BOOST_REQUIRE(idle.write("GET / HTTP/1.1\r\n\r\n"));
    BOOST_REQUIRE(idle.readUntil("GET:", testTimeout).ends_with("GET:"));
    BOOST_REQUIRE(busy.write("GET /hold HTTP/1.1\r\n\r\n"));
    BOOST_REQUIRE(server.awaitHeldRequest());
    bool drained = false;
    std::thread stopping([&]() { drained = server.server.drain(testTimeout); });
    BOOST_TEST(idle.closedWithin(testTimeout));
    server.held.get().responders.front()(
        HttpResponse{.status = 200, .headers = {}, .body = "whole answer"});
    BOOST_TEST(busy.closedWithin(testTimeout));
    BOOST_TEST(busy.rest().ends_with("whole answer"));
    stopping.join();
    BOOST_TEST(drained);
    RawSocket late;
    BOOST_TEST(!late.connect(server.address));
}

// Guards against a drain that reports success while a request is still running.
BOOST_AUTO_TEST_CASE(DrainReportsARequestThatOutlastsIt)
{
    TestServer server;
    RawSocket busy;
    BOOST_REQUIRE(busy.connect(server.address));
    BOOST_REQUIRE(busy.write("GET /hold HTTP/1.1\r\n\r\n"));
    BOOST_REQUIRE(server.awaitHeldRequest());
    BOOST_TEST(!server.server.drain(milliseconds(50)));
}

// Guards against a drain that drops requests in the listen backlog, which the system has accepted
// but the server has not read yet: every connection that was established must get a response.
BOOST_AUTO_TEST_CASE(DrainAnswersRequestsThatHaveArrived)
{
    TestServer server;
    std::vector<std::unique_ptr<RawSocket>> sockets;
    for (int i = 0; i < 50; ++i) {
        sockets.push_back(std::make_unique<RawSocket>());
        BOOST_REQUIRE(sockets.back()->connect(server.address));
        BOOST_REQUIRE(sockets.back()->write("GET / HTTP/1.1\r\n\r\n"));
    }
    BOOST_TEST(server.server.drain(testTimeout));
    for (const auto &socket : sockets) {
        BOOST_TEST(socket->closedWithin(testTimeout));
        BOOST_TEST(socket->rest().ends_with("GET:"));
    }
}

// Guards against one malformed message, or an unexpected error, that takes the whole process down.
BOOST_AUTO_TEST_CASE(SurvivesAHandlerThatThrows)
{
    std::atomic<int> reported{0};
    Executor executor(1, [&reported](const std::string & /*what*/) { ++reported; });
    HttpServer server(executor, HttpServerLimits{},
                      [](const HttpRequest &request, const HttpServer::Respond &respond) {
                          if (request.target == "/bad") {
                              throw std::runtime_error("unexpected");
                          }
                          respond(HttpResponse{});
                      });
    const auto address = server.listen(Address{.host = "127.0.0.1", .port = 0});
    BOOST_REQUIRE(ok(address));
    HttpClient client(executor);
    const auto statusOf = [&](const std::string &target) {
        Awaitable<unsigned> status;
        HttpRequest request;
        request.method = "GET";
        request.target = target;
        client.send(valueOf(address), request, milliseconds(10'000),
                    [&status](const Result<HttpResponse> &result) {
                        status.update(
                            [&](unsigned &now) { now = ok(result) ? valueOf(result).status : 1; });
                    });
        BOOST_REQUIRE(status.waitFor(milliseconds(20'000), [](unsigned now) { return now != 0; }));
        return status.get();
    };
    BOOST_TEST(statusOf("/bad") == 500U);
    BOOST_TEST(statusOf("/good") == 200U);
    BOOST_TEST(reported == 1);
    BOOST_TEST(executor.failedTasks() == 1U);
    BOOST_TEST(server.drain(milliseconds(10'000)));
    executor.stop();
}

BOOST_AUTO_TEST_SUITE_END()
