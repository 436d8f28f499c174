#include <operator/cell_client.h>

#include <future>
#include <optional>
#include <set>
#include <thread>

#include <boost/json.hpp>

namespace gooseberry {

namespace {

namespace json = boost::json;

/** Limits one attempt, so that an unresponsive server leaves time to try the others. */
constexpr std::chrono::milliseconds maxAttemptTime{10'000};
constexpr std::chrono::milliseconds initialBackoff{100};
constexpr std::chrono::milliseconds maxBackoff{1'000};
/** Progress messages begin after this time. */
constexpr std::chrono::milliseconds progressDelay{2'000};
constexpr unsigned firstServerError = 500;

std::string textOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

template<typename Enum>
Enum findByName(const std::string &name, Enum last, Enum fallback)
{
    for (int value = 0; value <= static_cast<int>(last); ++value) {
        if (toString(static_cast<Enum>(value)) == name) {
            return static_cast<Enum>(value);
        }
    }
    return fallback;
}

/** Returns whether another instance, or the same one a little later, may accept the request. */
bool isRetryable(const Error &error)
{
    static const std::set<ErrorCode> retryable{ErrorCode::NotLeader, ErrorCode::Unavailable,
                                               ErrorCode::Overloaded, ErrorCode::DeadlineExceeded,
                                               ErrorCode::StorageFull};
    return retryable.contains(error.code);
}

/** Combined result of all attempts to send one request. */
struct AttemptSummary
{
    Error last;
    /** Whether one of the attempts may have had an effect. */
    bool mayHaveRun = false;
    /** Whether any server replied. */
    bool anyReply = false;
};

/** Returns the response if no retry is needed; otherwise records the error. */
std::optional<HttpResponse> finalResponse(Result<HttpResponse> result, const Address &server,
                                          AttemptSummary &summary)
{
    if (ok(result)) {
        summary.anyReply = true;
        if (valueOf(result).status < firstServerError) {
            return std::move(valueOf(result));
        }
        summary.last = readRefusal(valueOf(result), toString(server));
        if (!isRetryable(summary.last) && summary.last.outcome == Outcome::NotRun) {
            return std::move(valueOf(result));
        }
    } else {
        summary.last = errorOf(result);
    }
    summary.mayHaveRun = summary.mayHaveRun || summary.last.outcome == Outcome::Unknown;
    return std::nullopt;
}

/** Returns the last error with the outcome that holds for all attempts together. */
Error finalError(const AttemptSummary &summary)
{
    Error error = summary.last;
    error.outcome = summary.mayHaveRun ? Outcome::Unknown : error.outcome;
    // Step Send stands for "no server was reached", which one reply rules out.
    error.step = summary.anyReply && error.step == Step::Send ? Step::Receive : error.step;
    return error;
}

} // namespace

Error readRefusal(const HttpResponse &response, const std::string &server)
{
    json::error_code parseError;
    const json::value body = json::parse(response.body, parseError);
    const json::object fields = !parseError && body.is_object() ? body.as_object() : json::object();
    Error error;
    error.code = findByName(textOf(fields, "code"), ErrorCode::Internal, ErrorCode::Internal);
    error.step = findByName(textOf(fields, "step"), Step::Recover, Step::Receive);
    error.peer = textOf(fields, "peer");
    error.peer = error.peer.empty() ? server : error.peer;
    error.message = textOf(fields, "message");
    error.outcome = textOf(fields, "outcome") == "not-run" ? Outcome::NotRun : Outcome::Unknown;
    if (error.message.empty()) {
        error.message = "the server replied with status " + std::to_string(response.status);
    }
    return error;
}

CellClient::CellClient(CellClientSettings initialSettings, std::ostream &initialProgress)
    : settings(std::move(initialSettings))
    , progress(initialProgress)
    , executor(1)
    , client(executor)
{
}

Result<HttpResponse> CellClient::sendOnce(const Address &server, const HttpRequest &request,
                                          std::chrono::milliseconds deadline)
{
    const auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
    std::future<Result<HttpResponse>> future = promise->get_future();
    this->client.send(server, request, deadline, [promise](Result<HttpResponse> result) {
        promise->set_value(std::move(result));
    });
    return future.get();
}

Result<HttpResponse> CellClient::send(const HttpRequest &request)
{
    const SteadyTime begin = std::chrono::steady_clock::now();
    const SteadyTime end = begin + this->settings.timeout;
    std::chrono::milliseconds backoff = initialBackoff;
    AttemptSummary summary;
    for (std::size_t attempt = 1;; ++attempt) {
        const Address &server = this->settings.servers[this->current];
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        const auto response = finalResponse(
            this->sendOnce(server, request, std::clamp(remaining, initialBackoff, maxAttemptTime)),
            server, summary);
        if (response) {
            return *response;
        }
        this->current = (this->current + 1) % this->settings.servers.size();
        if (std::chrono::steady_clock::now() + backoff >= end) {
            return finalError(summary);
        }
        if (attempt % this->settings.servers.size() == 0) {
            if (std::chrono::steady_clock::now() - begin > progressDelay) {
                this->progress << "still trying: " << describe(summary.last) << '\n';
            }
            std::this_thread::sleep_for(backoff);
            backoff = std::min(backoff * 2, maxBackoff);
        }
    }
}

} // namespace gooseberry
