#pragma once

#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include <link/link.h>
#include <operator/operator.h>

namespace gooseberry {

/** An HTTP server that replies through a test's handler and records all requests. */
class FakeCell
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    explicit FakeCell(Handler initialHandler)
        : handler(std::move(initialHandler))
        , executor(1)
        , server(executor, HttpServerLimits{},
                 [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                     {
                         const std::lock_guard lock(this->mutex);
                         this->received.push_back(request);
                     }
                     respond(this->handler(request));
                 })
    {
        this->address = std::get<Address>(this->server.listen(freeAddress()));
    }

    ~FakeCell()
    {
        this->server.drain(std::chrono::seconds(2));
        this->executor.stop();
    }

    FakeCell(const FakeCell &) = delete;
    FakeCell &operator=(const FakeCell &) = delete;

    std::string name() const
    {
        return toString(this->address);
    }

    std::vector<HttpRequest> requests() const
    {
        const std::lock_guard lock(this->mutex);
        return this->received;
    }

    /** Returns an address of this machine on which nothing listens at the moment. */
    static Address freeAddress();

private:
    Handler handler;
    Executor executor;
    HttpServer server;
    Address address;
    mutable std::mutex mutex;
    std::vector<HttpRequest> received;
};

/** Exit code and output of one run of the command line. */
struct RunResult
{
    ExitCode code = ExitCode::Done;
    std::string out;
    std::string err;
};

RunResult run(const std::vector<std::string> &arguments, const Environment &environment = {});

/** Returns a response with a JSON body. */
HttpResponse reply(unsigned status, const std::string &body);
/** Returns a refusal as the interface writes it. */
HttpResponse refusal(unsigned status, const std::string &code, const std::string &outcome,
                     const std::string &message);

/** Writes a file into a temporary folder of this process and returns its path. */
std::string temporaryFile(const std::string &name, const std::string &text);

} // namespace gooseberry
