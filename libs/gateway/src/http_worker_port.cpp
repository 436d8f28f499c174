#include <gateway/http_worker_port.h>

#include <gateway/json_codec.h>

namespace gooseberry {

namespace {

constexpr unsigned statusAccepted = 202;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;

Status startStatus(const InstanceId &worker, const Result<HttpResponse> &result)
{
    if (!ok(result)) {
        return errorOf(result);
    }
    const unsigned status = valueOf(result).status;
    if (status == statusAccepted) {
        return Done{};
    }
    // Only these two statuses guarantee that the worker did not start the attempt.
    const bool refused = status == statusConflict || status == statusUnavailable;
    return Error{.code = ErrorCode::Unavailable,
                 .step = Step::Send,
                 .peer = worker.value,
                 .message = "the worker answered with status " + std::to_string(status),
                 .outcome = refused ? Outcome::NotRun : Outcome::Unknown};
}

} // namespace

HttpWorkerPort::HttpWorkerPort(HttpClient &initialClient, std::chrono::milliseconds initialDeadline)
    : client(initialClient)
    , deadline(initialDeadline)
{
}

void HttpWorkerPort::sendStart(const InstanceId &worker, const Address &address,
                               const StartMessage &message, Callback done)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/tasks";
    request.headers["content-type"] = "application/json";
    request.body = writeStart(message);
    this->client.send(address, request, this->deadline,
                      [worker, done = std::move(done)](const Result<HttpResponse> &result) {
                          done(startStatus(worker, result));
                      });
}

void HttpWorkerPort::sendStop(const Address &address, const AttemptId &attempt)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/tasks/" + toString(attempt);
    this->client.send(address, request, this->deadline, [](const Result<HttpResponse> &) {});
}

} // namespace gooseberry
