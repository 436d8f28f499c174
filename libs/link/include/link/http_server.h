#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include <base/base.h>
#include <link/executor.h>
#include <link/http_message.h>
#include <link/request_budget.h>

namespace gooseberry {

/** Limits that one HTTP server imposes on its callers. */
struct HttpServerLimits
{
    /** Also the limit of trailers and of a chunk's extensions. */
    Bytes maxHeader{16LL * 1024};
    Bytes maxBody{16LL * 1024 * 1024};
    std::size_t maxConnections = 1024;
    /** How long a caller may take to send a complete request. */
    std::chrono::milliseconds readTimeout{10'000};
    /** How long a connection may stay open between two requests. */
    std::chrono::milliseconds idleTimeout{60'000};
    /** How long a caller may take to read a complete response. */
    std::chrono::milliseconds writeTimeout{30'000};
};

/** Serves HTTP/1.1 with one handler for all requests. */
class HttpServer
{
public:
    using Respond = std::function<void(HttpResponse)>;
    /** Called on the executor's threads; must call respond exactly once, on any thread. */
    using Handler = std::function<void(HttpRequest, Respond)>;

    /**
     * The budget bounds the memory of the requests of all servers that share it, from the first
     * byte until the response is written. A request without room gets a 503 response and its
     * connection is closed. A server without a budget has one of its own.
     */
    HttpServer(Executor &executor, HttpServerLimits limits, Handler handler,
               std::shared_ptr<RequestBudget> budget = nullptr);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts accepting connections. Fails with Unavailable when the address can't be bound. */
    Result<Address> listen(const Address &address);

    /**
     * Stops accepting connections, lets requests in flight finish and closes idle connections.
     * Blocks until no connection is open or the timeout passes. Returns whether all are closed.
     */
    bool drain(std::chrono::milliseconds timeout);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace gooseberry
