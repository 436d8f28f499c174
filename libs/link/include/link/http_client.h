#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include <base/base.h>
#include <link/executor.h>
#include <link/http_message.h>

namespace gooseberry {

/** Sends HTTP/1.1 requests with a deadline. */
class HttpClient
{
public:
    using Callback = std::function<void(Result<HttpResponse>)>;

    explicit HttpClient(Executor &executor);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends the request and calls done exactly once. An error has outcome NotRun only if no byte
     * of the request was written; otherwise the receiver may have acted on it, and the outcome is
     * Unknown. A response of any status is a success; a truncated one is an error.
     */
    void send(const Address &address, const HttpRequest &request,
              std::chrono::milliseconds deadline, Callback done);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace gooseberry
