#pragma once

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <link/link.h>

namespace gooseberry {

/** Identity, capacity, addresses and behaviour of a stub worker. */
struct StubWorkerSettings
{
    std::string id;
    std::string rack;
    std::string domain;
    std::string service;
    Resources capacity;
    Address listen;
    std::vector<Address> control;
    std::string token;
    /** One line is appended for each start and each end of an attempt. */
    std::string recordFile;
    std::chrono::milliseconds heartbeatInterval{1000};
    bool failEverything = false;
};

/**
 * A worker for tests and the demo. A task only waits for the run time in its payload. The worker
 * tracks its lease with its own clock and stops all tasks when the lease expires.
 *
 * The payload may be a JSON object with runMs, answer, answerBytes and fail.
 */
class StubWorker
{
public:
    StubWorker(Executor &initialExecutor, StubWorkerSettings initialSettings);

    /** Listens, announces itself and starts to send heartbeats. */
    Result<Address> start();
    /** Announces departure and returns once no attempt is held or the timeout has passed. */
    void depart(std::chrono::milliseconds timeout);

private:
    struct HeldAttempt
    {
        bool ended = false;
        std::string result;
        std::string answer;
    };

    void handle(const HttpRequest &request, const HttpServer::Respond &respond);
    void handleStart(const HttpRequest &request, const HttpServer::Respond &respond);
    void run(const std::string &attempt, const std::string &payload);
    void endAttempt(const std::string &attempt, const std::string &result, std::string answer);
    void deliver(const std::string &attempt);
    void sendReport();
    void onReportReply(SteadyTime sentAt, bool announced, const Result<HttpResponse> &result);
    void endIfLeaseExpired();
    void sendToControl(HttpRequest request, HttpClient::Callback done);
    std::string reportBody(bool announcement);
    void record(const std::string &event, const std::string &attempt);

    Executor &executor;
    StubWorkerSettings settings;
    HttpClient client;
    HttpServer server;
    Address address;
    std::string incarnation;

    std::mutex mutex;
    std::condition_variable allDelivered;
    std::ofstream records;
    std::map<std::string, HeldAttempt> held;
    SteadyTime leaseEnd;
    std::uint64_t seenTerm = 0;
    std::uint64_t seenGeneration = 0;
    std::size_t controlIndex = 0;
    bool announced = false;
    bool departing = false;
};

} // namespace gooseberry
