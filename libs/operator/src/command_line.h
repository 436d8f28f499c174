#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <operator/cell_client.h>
#include <operator/run.h>

namespace gooseberry {

enum class OutputFormat {
    Table,
    Json,
    Yaml,
};

/** A parsed command line. */
struct Invocation
{
    /** "apply" or "domain take-out". */
    std::string command;
    std::vector<std::string> arguments;
    /** Flags of the command that were given, without the dashes. */
    std::map<std::string, std::string> flags;
    CellClientSettings client;
    std::string token;
    std::string key;
    OutputFormat output = OutputFormat::Table;
};

/** Input, client and output streams of a running command. */
struct Context
{
    const Invocation &invocation;
    CellClient &client;
    std::ostream &out;
    std::ostream &err;
};

/** Name, arguments, flags and implementation of one command. */
struct OperatorCommand
{
    std::string name;
    std::string arguments;
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    std::vector<std::string> flags;
    bool needsServer = true;
    std::string summary;
    std::function<ExitCode(Context &)> run;
};

/** All commands, in the order in which the help lists them. */
const std::vector<OperatorCommand> &allCommands();

/** All flags of commands, with a description each. See takesNoValue() for switches. */
const std::map<std::string, std::string> &commandFlags();
bool takesNoValue(const std::string &flag);

/** Returns the help text. */
std::string helpText();

/** Parses a command line, or fails with InvalidArgument; help and version are commands. */
Result<Invocation> parseCommandLine(const std::vector<std::string> &arguments,
                                    const Environment &environment);

} // namespace gooseberry
