#pragma once

#include <functional>
#include <optional>
#include <string>

#include <cell/cell.h>
#include <link/link.h>

namespace gooseberry {

/** Bearer tokens of operators and workers; an empty token disables the check. */
struct GatewaySettings
{
    std::string operatorToken;
    std::string workerToken;
};

/** Routes HTTP requests to the coordinator. Safe for use by several threads. */
class HttpGateway
{
public:
    HttpGateway(Coordinator &initialCoordinator, CellState &initialState,
                GatewaySettings initialSettings);

    /** Handles one request of the routes below /v1 and calls respond exactly once. */
    void handle(const HttpRequest &request, const HttpServer::Respond &respond);

private:
    struct Route
    {
        std::vector<std::string> path;
        std::map<std::string, std::string> query;
    };
    /** Splits and decodes a target; returns nothing for malformed percent-encoding. */
    static std::optional<Route> parseTarget(const std::string &target);
    bool hasOperatorToken(const HttpRequest &request) const;
    bool hasWorkerToken(const HttpRequest &request) const;

    void handleJobs(const HttpRequest &request, const Route &route,
                    const HttpServer::Respond &respond);
    void handleSubmit(const HttpRequest &request, const Route &route,
                      const HttpServer::Respond &respond);
    void handleWorkers(const HttpRequest &request, const Route &route,
                       const HttpServer::Respond &respond);
    void handleAnswer(const HttpRequest &request, const Route &route,
                      const HttpServer::Respond &respond);
    void handleConfig(const HttpRequest &request, const Route &route,
                      const HttpServer::Respond &respond);
    void handleDomains(const HttpRequest &request, const Route &route,
                       const HttpServer::Respond &respond);
    void handleKeys(const HttpRequest &request, const Route &route,
                    const HttpServer::Respond &respond);

    Coordinator &coordinator;
    CellState &state;
    GatewaySettings settings;
};

/** Returns the response for an error: its status and its body. */
HttpResponse errorResponse(const Error &error);
/** Returns a response with a JSON body. */
HttpResponse jsonResponse(unsigned status, std::string body);
/** Returns the value for a Digest header: "sha-256=" and the hash in base 64. */
std::string digestHeader(const std::string &body);

} // namespace gooseberry
