#include <boost/json.hpp>

#include <contract/contract.h>

#include "commands.h"
#include "key_request.h"
#include "output.h"

namespace gooseberry {

namespace {

namespace json = boost::json;

/** Names go into the path of a request, so anything that could change the path is refused. */
bool isPathSegment(const std::string &text)
{
    return !text.empty()
        && text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
                                  "._-")
        == std::string::npos;
}

ExitCode reportInvalidName(Context &context, const std::string &name)
{
    context.err << "gooseberryctl: " << quoteForMessage(name)
                << " is no name; allowed are letters, digits, dots, hyphens and underscores\n";
    return ExitCode::Usage;
}

ExitCode setDomain(Context &context, const std::string &action, const std::string &done)
{
    const std::string &name = context.invocation.arguments[0];
    if (!isPathSegment(name)) {
        return reportInvalidName(context, name);
    }
    const Result<json::object> reply
        = requestJson(context, makeRequest("POST", "/v1/domains/" + name + '/' + action),
                      context.invocation.token);
    if (!ok(reply)) {
        return reportError(context, errorOf(reply));
    }
    print(context, json::object{{"domain", name}, {"state", done}}, name + " is " + done + '\n');
    return ExitCode::Done;
}

std::string usageText(const Resources &used, const Resources &limit)
{
    return writeCores(used.cpu) + '/' + writeCores(limit.cpu) + " cores, "
        + writeMemory(used.memory) + '/' + writeMemory(limit.memory) + ", "
        + std::to_string(used.slots.value) + '/' + std::to_string(limit.slots.value) + " slots";
}

std::string joinWords(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    return text;
}

} // namespace

Result<std::string> grantNewKey(Context &context, const KeyId &id, const TeamId &team)
{
    const NewKey created = createKey(id, team);
    HttpRequest request = makeRequest("POST", "/v1/keys");
    request.headers["content-type"] = "application/json";
    request.body = json::serialize(json::object{{"id", id.value},
                                                {"team", team.value},
                                                {"salt", created.key.salt},
                                                {"hash", created.key.hash}});
    const Result<json::object> reply
        = requestJson(context, std::move(request), context.invocation.token);
    if (!ok(reply)) {
        Error error = errorOf(reply);
        if (error.outcome == Outcome::Unknown) {
            error.message = "key " + id.value + " may exist without a known secret; withdraw it ("
                + error.message + ')';
        }
        return error;
    }
    return id.value + '.' + created.secret;
}

ExitCode runDomainTakeOut(Context &context)
{
    return setDomain(context, "take-out", "out of service");
}

ExitCode runDomainBringBack(Context &context)
{
    return setDomain(context, "bring-back", "in service");
}

ExitCode runKeyGrant(Context &context)
{
    const std::string &name = context.invocation.arguments[0];
    const auto team = context.invocation.flags.find("team");
    if (team == context.invocation.flags.end()) {
        context.err << "gooseberryctl: key grant needs --team CUSTOMER/TEAM\n";
        return ExitCode::Usage;
    }
    if (!isPathSegment(name)) {
        return reportInvalidName(context, name);
    }
    const Result<std::string> key = grantNewKey(context, KeyId(name), TeamId(team->second));
    if (!ok(key)) {
        return reportError(context, errorOf(key));
    }
    print(context, json::object{{"id", name}, {"team", team->second}, {"key", valueOf(key)}},
          "key for " + team->second + ", shown once: " + valueOf(key) + '\n');
    return ExitCode::Done;
}

ExitCode runKeyWithdraw(Context &context)
{
    const std::string &name = context.invocation.arguments[0];
    if (!isPathSegment(name)) {
        return reportInvalidName(context, name);
    }
    const Result<json::object> reply
        = requestJson(context, makeRequest("DELETE", "/v1/keys/" + name), context.invocation.token);
    if (!ok(reply)) {
        return reportError(context, errorOf(reply));
    }
    print(context, json::object{{"id", name}, {"state", "withdrawn"}},
          "key " + name + " is withdrawn\n");
    return ExitCode::Done;
}

ExitCode runTop(Context &context)
{
    const Result<json::object> body
        = requestJson(context, makeRequest("GET", "/v1/top"), context.invocation.token);
    if (!ok(body)) {
        return reportError(context, errorOf(body));
    }
    Table teams{.titles = {"team", "running/limit", "share of cell"}, .rows = {}};
    for (const json::value &row : arrayMember(valueOf(body), "teams")) {
        const json::object &team = row.as_object();
        const json::value *share = team.if_contains("dominantShare");
        const double percent
            = share != nullptr && share->is_double() ? share->as_double() * 100.0 : 0.0;
        teams.rows.push_back(
            {textMember(team, "team"),
             usageText(resourcesMember(team, "running"), resourcesMember(team, "limit")),
             std::to_string(static_cast<int>(percent)) + " %"});
    }
    print(context, valueOf(body),
          std::to_string(numberMember(valueOf(body), "workers")) + " workers with "
              + writeResources(resourcesMember(valueOf(body), "capacity")) + '\n'
              + writeTable(teams));
    return ExitCode::Done;
}

ExitCode runCompletion(Context &context)
{
    if (context.invocation.arguments[0] != "bash") {
        context.err << "gooseberryctl: completion knows only 'bash'\n";
        return ExitCode::Usage;
    }
    std::vector<std::string> words;
    for (const OperatorCommand &command : allCommands()) {
        words.push_back(command.name.substr(0, command.name.find(' ')));
    }
    words.insert(words.end(), {"--server", "--token", "--key", "--output", "--timeout", "--help"});
    for (const auto &[flag, description] : commandFlags()) {
        words.push_back("--" + flag);
    }
    context.out
        << "_gooseberryctl() {\n"
           "    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}\n"
           "    case $previous in\n"
           "    domain) COMPREPLY=($(compgen -W 'take-out bring-back' -- \"$current\")) ;;\n"
           "    key) COMPREPLY=($(compgen -W 'grant withdraw' -- \"$current\")) ;;\n"
           "    --output) COMPREPLY=($(compgen -W 'table json yaml' -- \"$current\")) ;;\n"
           "    validate | plan | apply) COMPREPLY=($(compgen -f -- \"$current\")) ;;\n"
           "    *) COMPREPLY=($(compgen -f -W '"
        << joinWords(words)
        << "' -- \"$current\")) ;;\n    esac\n}\n"
           "complete -o filenames -F _gooseberryctl gooseberryctl\n";
    return ExitCode::Done;
}

} // namespace gooseberry
