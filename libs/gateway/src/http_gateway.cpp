#include <gateway/http_gateway.h>

#include <array>
#include <charconv>

#include <openssl/evp.h>

#include <gateway/json_codec.h>

namespace gooseberry {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusAccepted = 202;
constexpr std::chrono::seconds maxWait{60};

Error notFound(const std::string &message)
{
    return Error{.code = ErrorCode::NotFound,
                 .step = Step::Parse,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

Error invalidArgument(const std::string &message)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Parse,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

Error unauthenticated(const std::string &message)
{
    return Error{.code = ErrorCode::Unauthenticated,
                 .step = Step::Authenticate,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

std::string bearerToken(const HttpRequest &request)
{
    static const std::string scheme = "Bearer ";
    const std::string value = header(request, "authorization");
    return value.compare(0, scheme.size(), scheme) == 0 ? value.substr(scheme.size())
                                                        : std::string();
}

Caller callerOf(const HttpRequest &request)
{
    return Caller{.credential = bearerToken(request),
                  .request = RequestId(header(request, "idempotency-key"))};
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/** Replaces each "%XX" by its byte; returns nothing if two hex digits are missing. */
std::optional<std::string> percentDecode(const std::string &text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded.push_back(text[i]);
            continue;
        }
        unsigned byte = 0;
        const char *digits = text.data() + i + 1;
        const bool complete = i + 2 < text.size();
        if (!complete || std::from_chars(digits, digits + 2, byte, hexadecimal).ptr != digits + 2) {
            return std::nullopt;
        }
        decoded.push_back(static_cast<char>(byte));
        i += 2;
    }
    return decoded;
}

HttpResponse answerResponse(const JobRecord &job)
{
    // The body is the concatenation of all task answers, in the order of the tasks.
    HttpResponse response;
    response.headers["content-type"] = "application/octet-stream";
    response.headers["x-job-id"] = std::to_string(job.id.value);
    response.headers["x-job-state"] = toString(overallState(job));
    for (const TaskRecord &task : job.tasks) {
        if (task.answer) {
            response.body += *task.answer;
        }
    }
    response.headers["digest"] = digestHeader(response.body);
    return response;
}

template<typename T>
Coordinator::Reply<T> respondWith(const HttpServer::Respond &respond,
                                  std::function<HttpResponse(const T &)> write)
{
    return [respond, write = std::move(write)](const Result<T> &result) {
        respond(ok(result) ? write(valueOf(result)) : errorResponse(errorOf(result)));
    };
}

CellOverview cellOverview(CellState &state)
{
    CellOverview overview;
    overview.capacity = state.fleet().totalCapacity();
    overview.workers = state.fleet().snapshot().size();
    for (const JobRecord &job : state.jobs().all()) {
        QueueLoad &load = overview.queues[job.spec->queue];
        for (const TaskRecord &task : job.tasks) {
            load.waiting += task.state == TaskState::Pending ? 1 : 0;
            load.running += task.state == TaskState::Running ? 1 : 0;
        }
    }
    return overview;
}

Coordinator::Reply<Done> respondDone(const HttpServer::Respond &respond)
{
    return respondWith<Done>(respond, [](const Done &) { return jsonResponse(statusOk, "{}"); });
}

} // namespace

HttpResponse jsonResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = std::move(body);
    return response;
}

HttpResponse errorResponse(const Error &error)
{
    static const std::map<ErrorCode, unsigned> statuses{
        {ErrorCode::InvalidArgument, 400},  {ErrorCode::Unauthenticated, 401},
        {ErrorCode::PermissionDenied, 403}, {ErrorCode::NotFound, 404},
        {ErrorCode::Conflict, 409},         {ErrorCode::Expired, 410},
        {ErrorCode::TooLarge, 413},         {ErrorCode::Impossible, 422},
        {ErrorCode::LimitExceeded, 429},    {ErrorCode::Internal, 500},
        {ErrorCode::Corrupt, 500},          {ErrorCode::Overloaded, 503},
        {ErrorCode::NotLeader, 503},        {ErrorCode::Unavailable, 503},
        {ErrorCode::DeadlineExceeded, 504}, {ErrorCode::StorageFull, 507}};
    return jsonResponse(statuses.at(error.code), writeError(error));
}

std::string digestHeader(const std::string &body)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(body.data(), body.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::array<unsigned char, EVP_MAX_MD_SIZE * 2> encoded{};
    const int size = EVP_EncodeBlock(encoded.data(), digest.data(), static_cast<int>(length));
    return "sha-256=" + std::string(encoded.begin(), encoded.begin() + size);
}

HttpGateway::HttpGateway(Coordinator &initialCoordinator, CellState &initialState,
                         GatewaySettings initialSettings)
    : coordinator(initialCoordinator)
    , state(initialState)
    , settings(std::move(initialSettings))
{
}

std::optional<HttpGateway::Route> HttpGateway::parseTarget(const std::string &target)
{
    Route route;
    const std::size_t queryMark = target.find('?');
    const std::string path = target.substr(0, queryMark);
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        const auto segment = percentDecode(path.substr(begin, end - begin));
        if (!segment) {
            return std::nullopt;
        }
        route.path.push_back(*segment);
        begin = end + 1;
    }
    std::size_t position = queryMark == std::string::npos ? target.size() : queryMark + 1;
    while (position < target.size()) {
        const std::size_t end = std::min(target.find('&', position), target.size());
        const std::string pair = target.substr(position, end - position);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        const auto name = percentDecode(pair.substr(0, equals));
        const auto value = percentDecode(equals < pair.size() ? pair.substr(equals + 1) : "");
        if (!name || !value) {
            return std::nullopt;
        }
        route.query[*name] = *value;
        position = end + 1;
    }
    return route;
}

bool HttpGateway::hasOperatorToken(const HttpRequest &request) const
{
    return this->settings.operatorToken.empty()
        || bearerToken(request) == this->settings.operatorToken;
}

bool HttpGateway::hasWorkerToken(const HttpRequest &request) const
{
    return this->settings.workerToken.empty() || bearerToken(request) == this->settings.workerToken;
}

void HttpGateway::handle(const HttpRequest &request, const HttpServer::Respond &respond)
{
    const std::optional<Route> parsed = parseTarget(request.target);
    if (!parsed) {
        respond(errorResponse(invalidArgument("the target has malformed percent-encoding")));
        return;
    }
    const Route &route = *parsed;
    if (route.path.size() < 2 || route.path[0] != "v1") {
        respond(errorResponse(notFound("no route " + request.method + ' ' + request.target)));
        return;
    }
    const std::string &resource = route.path[1];
    if (resource == "jobs") {
        this->handleJobs(request, route, respond);
    } else if (resource == "workers" && this->hasWorkerToken(request)) {
        this->handleWorkers(request, route, respond);
    } else if (resource == "workers") {
        respond(errorResponse(unauthenticated("the worker token is missing or wrong")));
    } else if (!this->hasOperatorToken(request)) {
        respond(errorResponse(unauthenticated("the operator token is missing or wrong")));
    } else if (resource == "config") {
        this->handleConfig(request, route, respond);
    } else if (resource == "domains") {
        this->handleDomains(request, route, respond);
    } else if (resource == "keys") {
        this->handleKeys(request, route, respond);
    } else if (resource == "top" && request.method == "GET") {
        respond(jsonResponse(
            statusOk, writeTop(this->coordinator.teamOverview(), cellOverview(this->state))));
    } else {
        respond(errorResponse(notFound("no route " + request.method + ' ' + request.target)));
    }
}

void HttpGateway::handleSubmit(const HttpRequest &request, const Route &route,
                               const HttpServer::Respond &respond)
{
    Result<JobSpec> spec = readJobSpec(request.body);
    if (!ok(spec)) {
        respond(errorResponse(errorOf(spec)));
        return;
    }
    std::chrono::seconds wait{0};
    if (const auto parameter = route.query.find("wait"); parameter != route.query.end()) {
        const auto seconds = parseNumber(parameter->second);
        if (!seconds || *seconds > static_cast<std::uint64_t>(maxWait.count())) {
            respond(errorResponse(
                invalidArgument("wait must be a whole number of seconds from 0 to 60")));
            return;
        }
        wait = std::chrono::seconds(*seconds);
    }
    const Caller caller = callerOf(request);
    const SubmitRequest submission{.caller = caller, .spec = std::move(valueOf(spec))};
    this->coordinator.submit(
        submission, [this, caller, wait, respond](const Result<SubmitReply> &reply) {
            if (!ok(reply)) {
                respond(errorResponse(errorOf(reply)));
            } else if (wait.count() == 0) {
                respond(jsonResponse(statusAccepted, writeSubmitReply(valueOf(reply))));
            } else {
                this->coordinator.awaitJob(caller, valueOf(reply).job, wait,
                                           respondWith<JobRecord>(respond, answerResponse));
            }
        });
}

void HttpGateway::handleJobs(const HttpRequest &request, const Route &route,
                             const HttpServer::Respond &respond)
{
    if (request.method == "POST" && route.path.size() == 2) {
        this->handleSubmit(request, route, respond);
        return;
    }
    const bool depthIsValid = route.path.size() == 3 || route.path.size() == 4;
    const auto number = depthIsValid ? parseNumber(route.path[2]) : std::nullopt;
    if (!number) {
        respond(errorResponse(notFound("the job id must be a number")));
        return;
    }
    const JobId id(*number);
    const Caller caller = callerOf(request);
    const std::string action = route.path.size() > 3 ? route.path[3] : std::string();
    if (request.method == "DELETE" && action.empty()) {
        this->coordinator.cancel(caller, id, respondDone(respond));
        return;
    }
    const Result<JobRecord> job = this->coordinator.job(caller, id);
    if (!ok(job)) {
        respond(errorResponse(errorOf(job)));
    } else if (request.method == "GET" && action.empty()) {
        respond(jsonResponse(statusOk, writeJob(valueOf(job))));
    } else if (request.method == "GET" && action == "answer") {
        respond(valueOf(job).ended() ? answerResponse(valueOf(job))
                                     : errorResponse(Error{.code = ErrorCode::Conflict,
                                                           .step = Step::Answer,
                                                           .peer = {},
                                                           .message = "the job has not ended yet",
                                                           .outcome = Outcome::Unknown}));
    } else if (request.method == "GET" && action == "explain") {
        const Result<Reason> reason = this->coordinator.explain(caller, id);
        respond(ok(reason)
                    ? jsonResponse(statusOk, R"({"reason":")" + toString(valueOf(reason)) + "\"}")
                    : errorResponse(errorOf(reason)));
    } else {
        respond(errorResponse(notFound("no route " + request.method + ' ' + request.target)));
    }
}

void HttpGateway::handleWorkers(const HttpRequest &request, const Route &route,
                                const HttpServer::Respond &respond)
{
    const auto writeReply
        = [](const WorkerLease &lease) { return jsonResponse(statusOk, writeLease(lease)); };
    const std::size_t depth = route.path.size();
    if (request.method == "POST" && depth == 2) {
        const Result<WorkerAnnouncement> announcement = readAnnouncement(request.body);
        if (!ok(announcement)) {
            respond(errorResponse(errorOf(announcement)));
            return;
        }
        this->coordinator.announce(valueOf(announcement).instance, valueOf(announcement).report,
                                   respondWith<WorkerLease>(respond, writeReply));
    } else if (request.method == "POST" && depth == 4 && route.path[3] == "heartbeat") {
        const Result<WorkerReport> report = readReport(InstanceId(route.path[2]), request.body);
        if (!ok(report)) {
            respond(errorResponse(errorOf(report)));
            return;
        }
        this->coordinator.heartbeat(valueOf(report), respondWith<WorkerLease>(respond, writeReply));
    } else if (request.method == "PUT" && depth == 6 && route.path[5] == "answer") {
        this->handleAnswer(request, route, respond);
    } else if (request.method == "DELETE" && depth == 3) {
        this->coordinator.depart(InstanceId(route.path[2]), respondDone(respond));
    } else {
        respond(errorResponse(notFound("no route " + request.method + ' ' + request.target)));
    }
}

void HttpGateway::handleAnswer(const HttpRequest &request, const Route &route,
                               const HttpServer::Respond &respond)
{
    const Result<AttemptId> attempt = readAttemptId(route.path[4]);
    if (!ok(attempt)) {
        respond(errorResponse(errorOf(attempt)));
        return;
    }
    if (header(request, "digest") != digestHeader(request.body)) {
        respond(errorResponse(invalidArgument("the answer does not match its Digest header")));
        return;
    }
    const std::string resultName = header(request, "x-result");
    AttemptResult result = AttemptResult::Succeeded;
    if (resultName == "failed") {
        result = AttemptResult::Failed;
    } else if (resultName == "stopped") {
        result = AttemptResult::Stopped;
    } else if (resultName != "succeeded") {
        respond(errorResponse(invalidArgument("X-Result must be succeeded, failed or stopped")));
        return;
    }
    this->coordinator.finish(
        Placement{.attempt = valueOf(attempt), .instance = InstanceId(route.path[2])}, result,
        request.body, respondDone(respond));
}

void HttpGateway::handleConfig(const HttpRequest &request, const Route &route,
                               const HttpServer::Respond &respond)
{
    if (request.method == "GET") {
        respond(jsonResponse(statusOk, writeConfig(this->state.config().image())));
        return;
    }
    const auto parameter = route.query.find("version");
    const auto version
        = parameter == route.query.end() ? std::nullopt : parseNumber(parameter->second);
    if (request.method != "PUT" || !version) {
        respond(
            errorResponse(invalidArgument("use PUT /v1/config?version=N with the next version")));
        return;
    }
    this->coordinator.applyConfig(
        ConfigVersion(*version), request.body, request.peer,
        respondWith<ConfigVersion>(respond, [](const ConfigVersion &applied) {
            return jsonResponse(statusOk, R"({"version":)" + std::to_string(applied.value) + '}');
        }));
}

void HttpGateway::handleDomains(const HttpRequest &request, const Route &route,
                                const HttpServer::Respond &respond)
{
    const bool known = request.method == "POST" && route.path.size() == 4
        && (route.path[3] == "take-out" || route.path[3] == "bring-back");
    if (!known) {
        respond(errorResponse(
            notFound("use POST /v1/domains/NAME/take-out or POST /v1/domains/NAME/bring-back")));
        return;
    }
    this->coordinator.setDomain(FailureDomainId(route.path[2]), route.path[3] == "bring-back",
                                respondDone(respond));
}

void HttpGateway::handleKeys(const HttpRequest &request, const Route &route,
                             const HttpServer::Respond &respond)
{
    if (request.method == "POST" && route.path.size() == 2) {
        const Result<Key> key = readKey(request.body);
        if (!ok(key)) {
            respond(errorResponse(errorOf(key)));
            return;
        }
        this->coordinator.grantKey(valueOf(key), respondDone(respond));
    } else if (request.method == "DELETE" && route.path.size() == 3) {
        this->coordinator.withdrawKey(KeyId(route.path[2]), respondDone(respond));
    } else {
        respond(errorResponse(notFound("use POST /v1/keys or DELETE /v1/keys/ID")));
    }
}

} // namespace gooseberry
