#include "command_line.h"

#include <algorithm>
#include <sstream>

// Values may hold commas, so the parser must not split them.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

#include <contract/contract.h>

namespace gooseberry {

namespace {

const char *const defaultServer = "127.0.0.1:7000";

Error usageError(const std::string &message)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Parse,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

std::string environmentValue(const Environment &environment, const std::string &name)
{
    const auto found = environment.find(name);
    return found == environment.end() ? std::string() : found->second;
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("gooseberryctl");
    auto add = options.add_options();
    add("server", "", cxxopts::value<std::vector<std::string>>());
    for (const char *name : {"token", "key", "output", "timeout"}) {
        add(name, "", cxxopts::value<std::string>());
    }
    add("help", "");
    add("version", "");
    for (const auto &[flag, description] : commandFlags()) {
        if (takesNoValue(flag)) {
            add(flag, description);
        } else {
            add(flag, description, cxxopts::value<std::string>());
        }
    }
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

Status readServers(const std::vector<std::string> &names, Invocation &invocation)
{
    for (const std::string &name : names) {
        const Result<Address> server = parseAddress(name);
        if (!ok(server)) {
            return usageError("--server " + errorOf(server).message);
        }
        invocation.client.servers.push_back(valueOf(server));
    }
    return Done{};
}

Status readGlobalFlags(const cxxopts::ParseResult &parsed, const Environment &environment,
                       Invocation &invocation)
{
    std::vector<std::string> servers = split(environmentValue(environment, "GOOSEBERRY_SERVER"));
    if (parsed.count("server") > 0) {
        servers.clear();
        for (const std::string &value : parsed["server"].as<std::vector<std::string>>()) {
            const std::vector<std::string> parts = split(value);
            servers.insert(servers.end(), parts.begin(), parts.end());
        }
    }
    servers = servers.empty() ? std::vector<std::string>{defaultServer} : servers;
    if (Status status = readServers(servers, invocation); !ok(status)) {
        return status;
    }
    const auto textOr = [&](const char *flag, const std::string &fallback) {
        return parsed.count(flag) > 0 ? parsed[flag].as<std::string>() : fallback;
    };
    invocation.token = textOr("token", environmentValue(environment, "GOOSEBERRY_TOKEN"));
    invocation.key = textOr("key", environmentValue(environment, "GOOSEBERRY_KEY"));
    const std::string output = textOr("output", "table");
    if (output != "table" && output != "json" && output != "yaml") {
        return usageError("--output must be one of table, json, yaml, not "
                          + quoteForMessage(output));
    }
    invocation.output = output == "json" ? OutputFormat::Json
        : output == "yaml"               ? OutputFormat::Yaml
                                         : OutputFormat::Table;
    if (parsed.count("timeout") > 0) {
        const auto timeout = parseDuration(parsed["timeout"].as<std::string>());
        if (!ok(timeout) || valueOf(timeout).count() == 0) {
            return usageError("--timeout "
                              + (ok(timeout) ? "must be above zero" : errorOf(timeout).message));
        }
        invocation.client.timeout = valueOf(timeout);
    }
    return Done{};
}

Status readCommandFlags(const cxxopts::ParseResult &parsed, const OperatorCommand &command,
                        Invocation &invocation)
{
    for (const auto &[flag, description] : commandFlags()) {
        if (parsed.count(flag) == 0) {
            continue;
        }
        if (std::find(command.flags.begin(), command.flags.end(), flag) == command.flags.end()) {
            return usageError("--" + flag + " does not belong to '" + command.name + '\'');
        }
        invocation.flags[flag] = takesNoValue(flag) ? "true" : parsed[flag].as<std::string>();
    }
    return Done{};
}

/** Finds the command that the first one or two words name. */
const OperatorCommand *findCommand(const std::vector<std::string> &words)
{
    for (const OperatorCommand &command : allCommands()) {
        const bool twoWords = command.name.find(' ') != std::string::npos;
        const bool matches = twoWords
            ? words.size() > 1 && words[0] + ' ' + words[1] == command.name
            : !words.empty() && words[0] == command.name;
        if (matches) {
            return &command;
        }
    }
    return nullptr;
}

Result<Invocation> makeInvocation(const cxxopts::ParseResult &parsed,
                                  const Environment &environment)
{
    Invocation invocation;
    if (parsed.count("help") > 0 || parsed.count("version") > 0) {
        invocation.command = parsed.count("help") > 0 ? "help" : "version";
        return invocation;
    }
    const std::vector<std::string> words = parsed.count("words") > 0
        ? parsed["words"].as<std::vector<std::string>>()
        : std::vector<std::string>();
    const OperatorCommand *command = findCommand(words);
    if (command == nullptr) {
        return usageError(words.empty()
                              ? "a command is missing; see --help"
                              : "unknown command " + quoteForMessage(words[0]) + "; see --help");
    }
    invocation.command = command->name;
    const std::ptrdiff_t used = command->name.find(' ') == std::string::npos ? 1 : 2;
    invocation.arguments.assign(words.begin() + used, words.end());
    if (invocation.arguments.size() < command->minArguments
        || invocation.arguments.size() > command->maxArguments) {
        return usageError("usage: gooseberryctl " + command->name + ' ' + command->arguments);
    }
    Status status = readGlobalFlags(parsed, environment, invocation);
    if (ok(status)) {
        status = readCommandFlags(parsed, *command, invocation);
    }
    return ok(status) ? Result<Invocation>(std::move(invocation)) : errorOf(status);
}

} // namespace

std::string helpText()
{
    constexpr std::size_t column = 34;
    std::string text = "Usage: gooseberryctl [flags] COMMAND [arguments]\n\nCommands:\n";
    const auto line = [&text](const std::string &left, const std::string &right) {
        text += "  " + left + std::string(left.size() < column ? column - left.size() : 1, ' ')
            + right + '\n';
    };
    for (const OperatorCommand &command : allCommands()) {
        line(command.name + (command.arguments.empty() ? "" : ' ' + command.arguments),
             command.summary);
    }
    text += "\nFlags of commands:\n";
    for (const auto &[flag, description] : commandFlags()) {
        line("--" + flag, description);
    }
    text += "\nFlags of all commands:\n";
    line("--server IP:PORT", "control instance; repeat it for more (GOOSEBERRY_SERVER, by commas)");
    line("--token TOKEN", "operator token (GOOSEBERRY_TOKEN)");
    line("--key ID.SECRET", "key of a team (GOOSEBERRY_KEY)");
    line("--output table|json|yaml", "form of the result");
    line("--timeout DURATION", "for one request with all its resends, 30s if not given");
    text += "\nFlags show up in process lists, so pass secrets by environment.\n\n"
            "Exit codes: 0 done, 1 refused, 2 usage, 3 unknown outcome (resend with the same id),\n"
            "4 conflict (another change won), 5 no server reached.\n";
    return text;
}

Result<Invocation> parseCommandLine(const std::vector<std::string> &arguments,
                                    const Environment &environment)
{
    std::vector<const char *> pointers{"gooseberryctl"};
    for (const std::string &argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    try {
        cxxopts::Options options = makeOptions();
        return makeInvocation(options.parse(static_cast<int>(pointers.size()), pointers.data()),
                              environment);
    } catch (const cxxopts::exceptions::exception &error) {
        return usageError(error.what());
    }
}

} // namespace gooseberry
