// Tests of senders that give up: a request that waited in a suspended process may be read long
// after its sender has closed the connection and sent it to another node.

#include <link/link.h>

#include <thread>

#include <boost/test/unit_test.hpp>

#include "raw_socket.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** A server whose only thread the test can block, as if the process were suspended. */
struct SenderFixture
{
    SenderFixture()
        : server(this->executor, HttpServerLimits{},
                 [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                     this->senderHadLeft = request.senderLeft();
                     this->handled = true;
                     respond(HttpResponse{.status = 200, .headers = {}, .body = "done"});
                 })
    {
        const Result<Address> listening
            = this->server.listen(Address{.host = "127.0.0.1", .port = 0});
        BOOST_REQUIRE(ok(listening));
        this->address = valueOf(listening);
    }
    ~SenderFixture()
    {
        this->blocked = false;
        this->blocked.notify_all();
        this->executor.stop();
    }

    void suspend()
    {
        this->blocked = true;
        this->executor.post([this]() { this->blocked.wait(true); });
    }

    void resume()
    {
        this->blocked = false;
        this->blocked.notify_all();
        for (int i = 0; i < 200 && !this->handled; ++i) {
            std::this_thread::sleep_for(50ms);
        }
        BOOST_REQUIRE(this->handled.load());
    }

    static constexpr const char *bytes = "POST /order HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

    Executor executor{1};
    std::atomic<bool> blocked{false};
    std::atomic<bool> handled{false};
    std::atomic<bool> senderHadLeft{false};
    HttpServer server;
    Address address;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpSenderTest, SenderFixture)

BOOST_AUTO_TEST_CASE(TellsThatTheSenderOfAnOldRequestHasLeft)
{
    RawSocket socket;
    this->suspend();
    BOOST_REQUIRE(socket.connect(this->address));
    BOOST_REQUIRE(socket.write(bytes));
    socket.close();
    this->resume();
    BOOST_TEST(this->senderHadLeft.load());
}

// Guards against the loss of a request that was only read late.
BOOST_AUTO_TEST_CASE(TellsThatTheSenderOfALateRequestStillWaits)
{
    RawSocket socket;
    this->suspend();
    BOOST_REQUIRE(socket.connect(this->address));
    BOOST_REQUIRE(socket.write(bytes));
    this->resume();
    BOOST_TEST(!this->senderHadLeft.load());
}

BOOST_AUTO_TEST_SUITE_END()
