#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include <base/base.h>
#include <link/executor.h>
#include <link/http_message.h>

namespace gooseberry {

/** Resource limits of one HTTP client. */
struct HttpClientLimits
{
    /** Matches the number of connections that a service worker accepts in current deployments. */
    std::size_t maxConnectionsPerAddress = 64;
    /**
     * The maximum number of connections to all addresses together. A request beyond it takes the
     * place of the connection that was idle for longest, or waits for one. It keeps the client
     * below the process's limit of open descriptors.
     */
    std::size_t maxConnections = 4096;
    /** The maximum number of requests that wait for a connection to one address. */
    std::size_t maxPendingRequests = 1024;
    /** How long an unused connection stays open; shorter than the idle timeout of HttpServer. */
    std::chrono::milliseconds idleTimeout{20'000};
    Bytes maxResponseBody{32LL * 1024 * 1024};
};

/** The use of a client's connections. */
struct HttpClientUsage
{
    std::size_t openConnections = 0;
    /** The largest number of open connections since the client was created. */
    std::size_t peakConnections = 0;
    /** Requests that wait until the number of all connections allows another one. */
    std::size_t waitingRequests = 0;
};

/** Sends HTTP/1.1 requests with a deadline over pooled keep-alive connections. */
class HttpClient
{
public:
    using Callback = std::function<void(Result<HttpResponse>)>;

    explicit HttpClient(Executor &executor, HttpClientLimits limits = {});
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends the request and calls done exactly once, possibly before send() returns. An error has
     * outcome NotRun only if no byte of the request was written; otherwise the receiver may have
     * processed it, and the outcome is Unknown. The code is Overloaded if this process lacked a
     * descriptor, a port or memory, which says nothing about the receiver. The request is written
     * at most once: the client retries on another connection only while nothing was written. A
     * response with any status is a success. A truncated response is an error, and so is a response
     * without a length, because it can't be distinguished from a truncated one. When a request
     * times out, the idle connections to the address are closed as well, since they may be dead
     * too.
     */
    void send(const Address &address, const HttpRequest &request,
              std::chrono::milliseconds deadline, Callback done);

    HttpClientUsage usage() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace gooseberry
