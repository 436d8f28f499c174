#include "stub_worker.h"

#include <boost/json.hpp>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <gateway/gateway.h>

namespace gooseberry {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds requestDeadline{5000};
constexpr std::chrono::milliseconds retryDelay{200};
/** A start that lags this many lease generations behind is refused; see docs/api.md. */
constexpr std::uint64_t maxGenerationLag = 3;

json::object parseObject(const std::string &text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    return !error && value.is_object() ? value.as_object() : json::object();
}

std::int64_t numberOr(const json::object &object, const char *name, std::int64_t fallback)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_int64() ? value->as_int64() : fallback;
}

std::string textOr(const json::object &object, const char *name, const std::string &fallback)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : fallback;
}

} // namespace

StubWorker::StubWorker(Executor &initialExecutor, StubWorkerSettings initialSettings)
    : executor(initialExecutor)
    , settings(std::move(initialSettings))
    , client(initialExecutor)
    , server(initialExecutor, HttpServerLimits{},
             [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                 this->handle(request, respond);
             })
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    this->incarnation = std::to_string(since.count()) + '-' + std::to_string(::getpid());
    if (!this->settings.recordFile.empty()) {
        this->records.open(this->settings.recordFile, std::ios::app);
    }
}

Result<Address> StubWorker::start()
{
    Result<Address> listening = this->server.listen(this->settings.listen);
    if (ok(listening)) {
        this->address = valueOf(listening);
        this->sendReport();
    }
    return listening;
}

void StubWorker::depart(std::chrono::milliseconds timeout)
{
    {
        const std::lock_guard lock(this->mutex);
        this->departing = true;
    }
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/workers/" + this->settings.id;
    this->sendToControl(std::move(request), [](const Result<HttpResponse> &) {});
    std::unique_lock lock(this->mutex);
    this->allDelivered.wait_for(lock, timeout, [this]() { return this->held.empty(); });
}

void StubWorker::handle(const HttpRequest &request, const HttpServer::Respond &respond)
{
    static const std::string tasks = "/v1/tasks";
    if (request.method == "POST" && request.target == tasks) {
        this->handleStart(request, respond);
    } else if (request.method == "DELETE" && request.target.starts_with(tasks + '/')) {
        respond(jsonResponse(200, "{}"));
        this->endAttempt(request.target.substr(tasks.size() + 1), "stopped", {});
    } else {
        respond(jsonResponse(404, "{}"));
    }
}

void StubWorker::handleStart(const HttpRequest &request, const HttpServer::Respond &respond)
{
    const json::object message = parseObject(request.body);
    const std::string attempt = textOr(message, "attempt", {});
    const auto term = static_cast<std::uint64_t>(numberOr(message, "term", 0));
    const auto generation = static_cast<std::uint64_t>(numberOr(message, "generation", 0));
    {
        const std::lock_guard lock(this->mutex);
        const bool outdated = textOr(message, "incarnation", {}) != this->incarnation
            || term < this->seenTerm
            || (term == this->seenTerm && generation + maxGenerationLag < this->seenGeneration);
        const bool leased = std::chrono::steady_clock::now() < this->leaseEnd;
        if (attempt.empty() || outdated || !leased || this->departing) {
            respond(jsonResponse(409, R"({"reason":"refused"})"));
            return;
        }
        if (this->held.contains(attempt)) {
            respond(jsonResponse(202, "{}"));
            return;
        }
        this->held[attempt] = HeldAttempt{};
        this->record("start", attempt);
    }
    respond(jsonResponse(202, "{}"));
    this->run(attempt, textOr(message, "payload", {}));
}

void StubWorker::run(const std::string &attempt, const std::string &payload)
{
    const json::object options = parseObject(payload);
    const std::chrono::milliseconds runTime(numberOr(options, "runMs", 10));
    const json::value *fail = options.if_contains("fail");
    const bool fails
        = this->settings.failEverything || (fail != nullptr && fail->is_bool() && fail->as_bool());
    std::string answer = textOr(options, "answer", attempt);
    answer.resize(static_cast<std::size_t>(
                      numberOr(options, "answerBytes", static_cast<std::int64_t>(answer.size()))),
                  'x');
    this->executor.after(runTime, [this, attempt, fails, answer = std::move(answer)]() {
        this->endAttempt(attempt, fails ? "failed" : "succeeded", answer);
    });
}

void StubWorker::endAttempt(const std::string &attempt, const std::string &result,
                            std::string answer)
{
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->held.find(attempt);
        if (found == this->held.end() || found->second.ended) {
            return;
        }
        found->second = HeldAttempt{.ended = true, .result = result, .answer = std::move(answer)};
        this->record("end", attempt);
    }
    this->deliver(attempt);
}

void StubWorker::deliver(const std::string &attempt)
{
    HttpRequest request;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->held.find(attempt);
        if (found == this->held.end()) {
            return;
        }
        request.method = "PUT";
        request.target = "/v1/workers/" + this->settings.id + "/tasks/" + attempt + "/answer";
        request.headers["x-result"] = found->second.result;
        request.headers["digest"] = digestHeader(found->second.answer);
        request.body = found->second.answer;
    }
    this->sendToControl(std::move(request), [this, attempt](const Result<HttpResponse> &result) {
        // 404 and 409 are final: the control instances no longer expect this attempt.
        const bool acknowledged = ok(result)
            && (valueOf(result).status == 200 || valueOf(result).status == 404
                || valueOf(result).status == 409);
        if (!acknowledged) {
            this->executor.after(retryDelay, [this, attempt]() { this->deliver(attempt); });
            return;
        }
        const std::lock_guard lock(this->mutex);
        this->held.erase(attempt);
        if (this->held.empty()) {
            this->allDelivered.notify_all();
        }
    });
}

void StubWorker::sendReport()
{
    this->endIfLeaseExpired();
    HttpRequest request;
    request.method = "POST";
    bool announcement = false;
    {
        const std::lock_guard lock(this->mutex);
        announcement = !this->announced;
        request.target
            = announcement ? "/v1/workers" : "/v1/workers/" + this->settings.id + "/heartbeat";
        request.body = this->reportBody(announcement);
    }
    const SteadyTime sentAt = std::chrono::steady_clock::now();
    this->sendToControl(std::move(request),
                        [this, sentAt, announcement](const Result<HttpResponse> &result) {
                            this->onReportReply(sentAt, announcement, result);
                        });
}

void StubWorker::onReportReply(SteadyTime sentAt, bool announcement,
                               const Result<HttpResponse> &result)
{
    std::vector<std::string> stop;
    std::chrono::milliseconds next = this->settings.heartbeatInterval;
    if (ok(result) && valueOf(result).status == 200) {
        const json::object lease = parseObject(valueOf(result).body);
        const std::lock_guard lock(this->mutex);
        this->announced = true;
        const auto term = static_cast<std::uint64_t>(numberOr(lease, "term", 0));
        const auto generation = static_cast<std::uint64_t>(numberOr(lease, "generation", 0));
        if (term >= this->seenTerm) {
            this->seenTerm = term;
            this->seenGeneration = generation;
            this->leaseEnd = sentAt + std::chrono::milliseconds(numberOr(lease, "leaseMs", 0));
        }
        if (const json::value *list = lease.if_contains("stop"); list != nullptr) {
            for (const json::value &item : list->as_array()) {
                stop.emplace_back(item.as_string());
            }
        }
        // Tasks end with the lease, also while a report is still waiting for its reply.
        this->executor.after(this->leaseEnd - std::chrono::steady_clock::now(),
                             [this]() { this->endIfLeaseExpired(); });
    } else {
        next = announcement ? retryDelay : this->settings.heartbeatInterval;
        const std::lock_guard lock(this->mutex);
        if (ok(result) && valueOf(result).status == 404 && !this->departing) {
            this->announced = false;
            next = retryDelay;
        }
        ++this->controlIndex;
    }
    for (const std::string &attempt : stop) {
        this->endAttempt(attempt, "stopped", {});
    }
    this->executor.after(next, [this]() { this->sendReport(); });
}

void StubWorker::endIfLeaseExpired()
{
    std::vector<std::string> running;
    {
        const std::lock_guard lock(this->mutex);
        if (std::chrono::steady_clock::now() < this->leaseEnd) {
            return;
        }
        for (const auto &[attempt, state] : this->held) {
            if (!state.ended) {
                running.push_back(attempt);
            }
        }
    }
    for (const std::string &attempt : running) {
        spdlog::warn("event=lease-expired worker={} attempt={}", this->settings.id, attempt);
        this->endAttempt(attempt, "stopped", {});
    }
}

void StubWorker::sendToControl(HttpRequest request, HttpClient::Callback done)
{
    Address target;
    {
        const std::lock_guard lock(this->mutex);
        target = this->settings.control[this->controlIndex % this->settings.control.size()];
    }
    request.headers["content-type"] = "application/json";
    if (!this->settings.token.empty()) {
        request.headers["authorization"] = "Bearer " + this->settings.token;
    }
    this->client.send(target, request, requestDeadline, std::move(done));
}

std::string StubWorker::reportBody(bool announcement)
{
    json::array attempts;
    for (const auto &[attempt, state] : this->held) {
        attempts.emplace_back(attempt);
    }
    json::object body{{"incarnation", this->incarnation}, {"held", std::move(attempts)}};
    if (!announcement) {
        body["seenTerm"] = this->seenTerm;
        body["seenGeneration"] = this->seenGeneration;
        return json::serialize(body);
    }
    const Resources &capacity = this->settings.capacity;
    body["id"] = this->settings.id;
    body["rack"] = this->settings.rack;
    body["domain"] = this->settings.domain;
    body["service"] = this->settings.service;
    body["address"] = toString(this->address);
    body["capacity"] = json::object{{"cpuMillis", capacity.cpu.value},
                                    {"memoryBytes", capacity.memory.value},
                                    {"accelerators", capacity.accelerators.value},
                                    {"slots", capacity.slots.value}};
    return json::serialize(body);
}

void StubWorker::record(const std::string &event, const std::string &attempt)
{
    if (this->records.is_open()) {
        this->records << event << ' ' << attempt << ' ' << this->settings.id << std::endl;
    }
}

} // namespace gooseberry
