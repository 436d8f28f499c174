#include "output.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <boost/json.hpp>

#include <contract/contract.h>

namespace gooseberry {

namespace {

namespace json = boost::json;

DocumentNode toDocument(const json::value &value)
{
    DocumentNode node;
    if (value.is_object()) {
        node.kind = DocumentNode::Kind::Map;
        for (const auto &member : value.as_object()) {
            node.children.push_back(toDocument(member.value()));
            node.children.back().key = std::string(member.key());
        }
    } else if (value.is_array()) {
        node.kind = DocumentNode::Kind::List;
        for (const json::value &item : value.as_array()) {
            node.children.push_back(toDocument(item));
        }
    } else if (value.is_string()) {
        node.kind = DocumentNode::Kind::Scalar;
        node.text = std::string(value.as_string());
    } else if (!value.is_null()) {
        node.kind = DocumentNode::Kind::Scalar;
        node.text = json::serialize(value);
    }
    return node;
}

ExitCode exitCodeOf(const Error &error)
{
    if (error.code == ErrorCode::Conflict) {
        return ExitCode::Conflict;
    }
    if (error.outcome == Outcome::Unknown) {
        return ExitCode::Unknown;
    }
    const bool unreachable = error.step == Step::Send
        && (error.code == ErrorCode::Unavailable || error.code == ErrorCode::DeadlineExceeded);
    return unreachable ? ExitCode::Unreachable : ExitCode::Refused;
}

} // namespace

std::string writeTable(const Table &table)
{
    constexpr std::size_t columnGap = 2;
    std::vector<std::vector<std::string>> lines{table.titles};
    lines.insert(lines.end(), table.rows.begin(), table.rows.end());
    std::vector<std::size_t> widths(table.titles.size(), 0);
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::string text;
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            const bool isLast = i + 1 == line.size();
            text += line[i] + std::string(isLast ? 0 : widths[i] + columnGap - line[i].size(), ' ');
        }
        // An empty last cell leaves only padding behind.
        text.erase(text.find_last_not_of(' ') + 1);
        text += '\n';
    }
    return text;
}

void print(Context &context, const json::value &value, const std::string &tableText)
{
    switch (context.invocation.output) {
    case OutputFormat::Json:
        context.out << json::serialize(value) << '\n';
        break;
    case OutputFormat::Yaml:
        context.out << writeDocument(toDocument(value));
        break;
    case OutputFormat::Table:
        context.out << tableText;
        break;
    }
}

ExitCode reportError(Context &context, const Error &error)
{
    const ExitCode code = exitCodeOf(error);
    if (context.invocation.output == OutputFormat::Json) {
        context.err << json::serialize(json::object{{"code", toString(error.code)},
                                                    {"step", toString(error.step)},
                                                    {"peer", error.peer},
                                                    {"outcome", toString(error.outcome)},
                                                    {"message", error.message}})
                    << '\n';
        return code;
    }
    context.err << "gooseberryctl: " << error.message;
    if (error.step != Step::Parse) {
        context.err << " (" << toString(error.code) << " at step " << toString(error.step)
                    << (error.peer.empty() ? "" : ", peer " + error.peer) << ", outcome "
                    << toString(error.outcome) << ')';
    }
    context.err << '\n';
    return code;
}

Result<HttpResponse> requestRaw(Context &context, HttpRequest request, const std::string &secret)
{
    if (!secret.empty()) {
        request.headers["authorization"] = "Bearer " + secret;
    }
    Result<HttpResponse> response = context.client.send(request);
    constexpr unsigned firstErrorStatus = 300;
    if (ok(response) && valueOf(response).status >= firstErrorStatus) {
        return readRefusal(valueOf(response), {});
    }
    return response;
}

Result<json::object> requestJson(Context &context, HttpRequest request, const std::string &secret)
{
    const std::string requestName = request.method + ' ' + request.target;
    const Result<HttpResponse> response = requestRaw(context, std::move(request), secret);
    if (!ok(response)) {
        return errorOf(response);
    }
    json::error_code error;
    json::value body = json::parse(valueOf(response).body, error);
    if (error || !body.is_object()) {
        return Error{.code = ErrorCode::Corrupt,
                     .step = Step::Receive,
                     .peer = {},
                     .message = "the reply to " + requestName + " is not a JSON object",
                     .outcome = Outcome::Unknown};
    }
    return std::move(body.as_object());
}

HttpRequest makeRequest(const std::string &method, const std::string &target)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    return request;
}

std::string textMember(const json::object &object, const std::string &name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t numberMember(const json::object &object, const std::string &name)
{
    const json::value *value = object.if_contains(name);
    if (value != nullptr && value->is_uint64()) {
        return static_cast<std::int64_t>(value->as_uint64());
    }
    return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

json::array arrayMember(const json::object &object, const std::string &name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->as_array() : json::array();
}

Resources resourcesMember(const json::object &object, const std::string &name)
{
    const json::value *value = object.if_contains(name);
    const json::object fields
        = value != nullptr && value->is_object() ? value->as_object() : json::object();
    return Resources{.cpu = CpuMillis(numberMember(fields, "cpuMillis")),
                     .memory = Bytes(numberMember(fields, "memoryBytes")),
                     .accelerators = AcceleratorCount(numberMember(fields, "accelerators")),
                     .slots = SlotCount(numberMember(fields, "slots"))};
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input) {
        return Error{.code = ErrorCode::NotFound,
                     .step = Step::Parse,
                     .peer = path,
                     .message = path + ": the file can't be read",
                     .outcome = Outcome::NotRun};
    }
    return text.str();
}

} // namespace gooseberry
