#include <array>
#include <thread>

#include <boost/json.hpp>
#include <openssl/rand.h>

#include <contract/contract.h>
#include <gateway/gateway.h>

#include "commands.h"
#include "job_request.h"
#include "output.h"

namespace gooseberry {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds initialPollInterval{50};
constexpr std::chrono::milliseconds maxPollInterval{1'000};
constexpr std::chrono::milliseconds progressInterval{5'000};

std::string randomRequestId()
{
    std::array<unsigned char, 12> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the system's random generator failed");
    }
    static const std::string digits = "0123456789abcdef";
    std::string id;
    for (const unsigned char byte : bytes) {
        id += digits[byte >> 4U];
        id += digits[byte & 0xFU];
    }
    return id;
}

std::string flagOr(const Context &context, const std::string &flag, const std::string &fallback)
{
    const auto found = context.invocation.flags.find(flag);
    return found == context.invocation.flags.end() ? fallback : found->second;
}

bool isNumber(const std::string &text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

HttpRequest jobRequest(const Context &context, const std::string &method, const std::string &job,
                       const std::string &action)
{
    HttpRequest request
        = makeRequest(method, "/v1/jobs/" + job + (action.empty() ? "" : '/' + action));
    if (const std::string id = flagOr(context, "request-id", {}); !id.empty()) {
        request.headers["idempotency-key"] = id;
    }
    return request;
}

/** Returns the job's number, or reports the mistake and returns an empty text. */
std::string jobArgument(Context &context)
{
    const std::string &job = context.invocation.arguments[0];
    if (!isNumber(job)) {
        context.err << "gooseberryctl: a job is a number, not " << quoteForMessage(job) << '\n';
        return {};
    }
    return job;
}

std::string statusText(const json::object &status)
{
    Table tasks{.titles = {"task", "state", "attempt", "worker", "waited"}, .rows = {}};
    for (const json::value &row : arrayMember(status, "tasks")) {
        const json::object &task = row.as_object();
        const bool wasStarted = numberMember(task, "attempt") > 0;
        tasks.rows.push_back(
            {std::to_string(numberMember(task, "index")), textMember(task, "state"),
             std::to_string(numberMember(task, "attempt")),
             wasStarted ? textMember(task, "worker") : "-",
             wasStarted ? std::to_string(numberMember(task, "waitedMs")) + " ms" : "-"});
    }
    return "job " + textMember(status, "job") + ": " + textMember(status, "state") + ", class "
        + textMember(status, "class") + ", queue " + textMember(status, "queue") + ", team "
        + textMember(status, "team") + '\n' + writeTable(tasks);
}

std::string progressText(const json::object &status)
{
    std::size_t unfinished = 0;
    const json::array tasks = arrayMember(status, "tasks");
    for (const json::value &task : tasks) {
        const std::string state = textMember(task.as_object(), "state");
        unfinished += state == "pending" || state == "running" ? 1 : 0;
    }
    return "waiting for job " + textMember(status, "job") + ": "
        + std::to_string(tasks.size() - unfinished) + " of " + std::to_string(tasks.size())
        + " tasks ended";
}

/** Waits until the job has ended and returns its last status. */
Result<json::object> awaitEnd(Context &context, const std::string &job)
{
    std::chrono::milliseconds pollInterval = initialPollInterval;
    SteadyTime lastProgress = std::chrono::steady_clock::now();
    for (;;) {
        Result<json::object> status
            = requestJson(context, jobRequest(context, "GET", job, {}), context.invocation.key);
        const std::string state = ok(status) ? textMember(valueOf(status), "state") : "";
        if (!ok(status) || (state != "pending" && state != "running")) {
            return status;
        }
        if (std::chrono::steady_clock::now() - lastProgress >= progressInterval) {
            lastProgress = std::chrono::steady_clock::now();
            context.err << progressText(valueOf(status)) << '\n';
        }
        std::this_thread::sleep_for(pollInterval);
        pollInterval = std::min(pollInterval * 2, maxPollInterval);
    }
}

ExitCode writeAnswer(Context &context, const std::string &job)
{
    const Result<HttpResponse> response
        = requestRaw(context, jobRequest(context, "GET", job, "answer"), context.invocation.key);
    if (!ok(response)) {
        Error error = errorOf(response);
        // Here a conflict only says that the job has not ended yet.
        error.code = error.code == ErrorCode::Conflict ? ErrorCode::Unavailable : error.code;
        error.outcome = Outcome::NotRun;
        return reportError(context, error);
    }
    const std::string &body = valueOf(response).body;
    if (header(valueOf(response), "digest") != digestHeader(body)) {
        return reportError(context,
                           Error{.code = ErrorCode::Corrupt,
                                 .step = Step::Answer,
                                 .peer = {},
                                 .message = "the answer does not match its digest",
                                 .outcome = Outcome::NotRun});
    }
    context.out << body;
    return ExitCode::Done;
}

ExitCode waitAndAnswer(Context &context, const std::string &job)
{
    const Result<json::object> status = awaitEnd(context, job);
    if (!ok(status)) {
        return reportError(context, errorOf(status));
    }
    const std::string state = textMember(valueOf(status), "state");
    if (state != "succeeded") {
        context.err << "gooseberryctl: job " << job << " ended as " << state << '\n';
        return state == "unknown" ? ExitCode::Unknown : ExitCode::Refused;
    }
    return writeAnswer(context, job);
}

Result<std::string> readJobFile(const Context &context)
{
    if (context.invocation.arguments.empty()) {
        return std::string();
    }
    return readFile(context.invocation.arguments[0]);
}

} // namespace

ExitCode runSubmit(Context &context)
{
    const std::string name
        = context.invocation.arguments.empty() ? "flags" : context.invocation.arguments[0];
    const Result<std::string> text = readJobFile(context);
    const Result<std::string> body
        = ok(text) ? makeJobRequest(valueOf(text), name, context.invocation.flags) : text;
    if (!ok(body)) {
        return reportError(context, errorOf(body));
    }
    const std::string given = flagOr(context, "request-id", {});
    const std::string id = given.empty() ? randomRequestId() : given;
    if (given.empty()) {
        context.err << "request id: " << id << '\n';
    }
    HttpRequest request = makeRequest("POST", "/v1/jobs");
    request.headers["content-type"] = "application/json";
    request.headers["idempotency-key"] = id;
    request.body = valueOf(body);
    const Result<json::object> reply
        = requestJson(context, std::move(request), context.invocation.key);
    if (!ok(reply)) {
        return reportError(context, errorOf(reply));
    }
    const std::string job = textMember(valueOf(reply), "job");
    if (context.invocation.flags.contains("wait")) {
        context.err << "job " << job << '\n';
        return waitAndAnswer(context, job);
    }
    print(context, json::object{{"job", job}, {"requestId", id}}, "job " + job + '\n');
    return ExitCode::Done;
}

ExitCode runStatus(Context &context)
{
    const std::string job = jobArgument(context);
    if (job.empty()) {
        return ExitCode::Usage;
    }
    const Result<json::object> status
        = requestJson(context, jobRequest(context, "GET", job, {}), context.invocation.key);
    if (!ok(status)) {
        return reportError(context, errorOf(status));
    }
    print(context, valueOf(status), statusText(valueOf(status)));
    return ExitCode::Done;
}

ExitCode runAnswer(Context &context)
{
    const std::string job = jobArgument(context);
    return job.empty() ? ExitCode::Usage : writeAnswer(context, job);
}

ExitCode runCancel(Context &context)
{
    const std::string job = jobArgument(context);
    if (job.empty()) {
        return ExitCode::Usage;
    }
    const Result<json::object> reply
        = requestJson(context, jobRequest(context, "DELETE", job, {}), context.invocation.key);
    if (!ok(reply)) {
        return reportError(context, errorOf(reply));
    }
    print(context, json::object{{"job", job}, {"state", "cancel-requested"}},
          "job " + job + ": cancel requested\n");
    return ExitCode::Done;
}

ExitCode runExplain(Context &context)
{
    const std::string job = jobArgument(context);
    if (job.empty()) {
        return ExitCode::Usage;
    }
    const Result<json::object> reply
        = requestJson(context, jobRequest(context, "GET", job, "explain"), context.invocation.key);
    if (!ok(reply)) {
        return reportError(context, errorOf(reply));
    }
    print(context, valueOf(reply),
          "job " + job + ": " + textMember(valueOf(reply), "reason") + '\n');
    return ExitCode::Done;
}

} // namespace gooseberry
