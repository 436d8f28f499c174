#include <operator/cell_client.h>

#include <future>
#include <set>
#include <thread>

#include <boost/json.hpp>

namespace gooseberry {

namespace {

namespace json = boost::json;

/** One server must not use up the time in which another could answer. */
constexpr std::chrono::milliseconds longestAttempt{10'000};
constexpr std::chrono::milliseconds firstPause{100};
constexpr std::chrono::milliseconds longestPause{1'000};
constexpr std::chrono::milliseconds quietTime{2'000};
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
bool mayPassElsewhere(const Error &error)
{
    static const std::set<ErrorCode> passing{ErrorCode::NotLeader, ErrorCode::Unavailable,
                                             ErrorCode::Overloaded, ErrorCode::DeadlineExceeded,
                                             ErrorCode::StorageFull};
    return passing.contains(error.code);
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
    std::chrono::milliseconds pause = firstPause;
    Error last{.code = ErrorCode::Unavailable,
               .step = Step::Send,
               .peer = {},
               .message = "no server was given",
               .outcome = Outcome::NotRun};
    bool mayHaveRun = false;
    bool reached = false;
    for (std::size_t attempt = 1;; ++attempt) {
        const Address &server = this->settings.servers[this->current];
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        Result<HttpResponse> result
            = this->sendOnce(server, request, std::clamp(left, firstPause, longestAttempt));
        if (ok(result)) {
            reached = true;
            if (valueOf(result).status < firstServerError) {
                return result;
            }
            last = readRefusal(valueOf(result), toString(server));
            if (!mayPassElsewhere(last) && last.outcome == Outcome::NotRun) {
                return result;
            }
        } else {
            last = errorOf(result);
        }
        mayHaveRun = mayHaveRun || last.outcome == Outcome::Unknown;
        this->current = (this->current + 1) % this->settings.servers.size();
        if (std::chrono::steady_clock::now() + pause >= end) {
            break;
        }
        if (attempt % this->settings.servers.size() == 0) {
            if (std::chrono::steady_clock::now() - begin > quietTime) {
                this->progress << "still trying: " << describe(last) << '\n';
            }
            std::this_thread::sleep_for(pause);
            pause = std::min(pause * 2, longestPause);
        }
    }
    last.outcome = mayHaveRun ? Outcome::Unknown : last.outcome;
    if (reached && last.step == Step::Send && !mayHaveRun) {
        last.step = Step::Receive;
    }
    return last;
}

} // namespace gooseberry
