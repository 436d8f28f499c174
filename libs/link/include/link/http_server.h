#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include <base/base.h>
#include <link/executor.h>
#include <link/http_message.h>

namespace gooseberry {

/** What one HTTP server allows its callers. */
struct HttpServerLimits
{
    Bytes maxHeader{16LL * 1024};
    Bytes maxBody{16LL * 1024 * 1024};
    std::size_t maxConnections = 1024;
    /** How long a caller may take to send one whole request. */
    std::chrono::milliseconds readTimeout{10'000};
    /** How long a connection may stay open between two requests. */
    std::chrono::milliseconds idleTimeout{60'000};
    /** How long the other end may take to read one whole response. */
    std::chrono::milliseconds writeTimeout{30'000};
};

/** Serves HTTP/1.1 with one handler for all requests. */
class HttpServer
{
public:
    using Respond = std::function<void(HttpResponse)>;
    /** Called on the executor's threads; must call respond exactly once, on any thread. */
    using Handler = std::function<void(HttpRequest, Respond)>;

    HttpServer(Executor &executor, HttpServerLimits limits, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts to accept. Fails with Unavailable when the address can't be bound. */
    Result<Address> listen(const Address &address);

    /**
     * Accepts no more connections, lets every request in flight finish, closes idle connections,
     * and returns once none is open or the time is over. Returns whether none is open.
     */
    bool drain(std::chrono::milliseconds timeout);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace gooseberry
