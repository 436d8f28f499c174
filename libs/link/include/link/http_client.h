#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include <base/base.h>
#include <link/executor.h>
#include <link/http_message.h>

namespace gooseberry {

/** What one HTTP client takes of the process and of each server. */
struct HttpClientLimits
{
    /** The connections that a service worker grants in the present deployments. */
    std::size_t maxConnectionsPerAddress = 64;
    /** How many requests may wait for a connection to one address. */
    std::size_t maxPendingRequests = 1024;
    /** How long an unused connection is kept; less than the idle timeout of HttpServer. */
    std::chrono::milliseconds idleTimeout{20'000};
    Bytes maxResponseBody{32LL * 1024 * 1024};
};

/** Sends HTTP/1.1 requests with a deadline, over connections that it keeps for later requests. */
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
     * acted on it, and the outcome is Unknown. The request is written at most once: another
     * connection is tried only while nothing was written. A response of any status is a success; a
     * truncated one is an error, and so is one without a length, which can't be told from a
     * truncated one. After a request that got no response in time, kept connections to the address
     * are given up too, since they may be as dead as the one it used.
     */
    void send(const Address &address, const HttpRequest &request,
              std::chrono::milliseconds deadline, Callback done);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace gooseberry
