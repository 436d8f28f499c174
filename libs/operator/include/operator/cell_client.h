#pragma once

#include <chrono>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include <base/base.h>
#include <link/link.h>

namespace gooseberry {

/** Servers and timeout of a cell client. */
struct CellClientSettings
{
    /** Control instances of one cell, tried in order. */
    std::vector<Address> servers;
    /** How long one request may take, all servers and resends together. */
    std::chrono::milliseconds timeout{30'000};
};

/**
 * Sends requests to a cell. After a refused connection, or a refusal by an instance
 * where another might accept, the request goes to the next server; after an unknown outcome the
 * same request is sent again. That is safe, since every request of the interface carries an id or
 * has the same effect twice.
 */
class CellClient
{
public:
    /** Progress of long waits goes to the stream. */
    CellClient(CellClientSettings initialSettings, std::ostream &initialProgress);

    /**
     * Returns the first response that settles the request, of any status. Fails with outcome
     * Unknown when the request may have had an effect, and with code Unavailable and step Send
     * when no server was reached.
     */
    Result<HttpResponse> send(const HttpRequest &request);

private:
    Result<HttpResponse> sendOnce(const Address &server, const HttpRequest &request,
                                  std::chrono::milliseconds deadline);

    CellClientSettings settings;
    std::ostream &progress;
    Executor executor;
    HttpClient client;
    std::size_t current = 0;
};

/** Returns the error that a refusal's body describes; the server is named as peer if it names none.
 */
Error readRefusal(const HttpResponse &response, const std::string &server);

} // namespace gooseberry
