#include <operator/run.h>

#include <exception>

#include "commands.h"
#include "output.h"

namespace gooseberry {

namespace {

ExitCode runCommand(const Invocation &invocation, std::ostream &out, std::ostream &err)
{
    for (const OperatorCommand &command : allCommands()) {
        if (command.name == invocation.command) {
            CellClient client(invocation.client, err);
            Context context{.invocation = invocation, .client = client, .out = out, .err = err};
            return command.run(context);
        }
    }
    return ExitCode::Usage;
}

} // namespace

ExitCode runOperator(const std::vector<std::string> &arguments, const Environment &environment,
                     std::ostream &out, std::ostream &err)
{
    const Result<Invocation> invocation = parseCommandLine(arguments, environment);
    if (!ok(invocation)) {
        err << "gooseberryctl: " << errorOf(invocation).message << '\n';
        return ExitCode::Usage;
    }
    if (valueOf(invocation).command == "help") {
        out << helpText();
        return ExitCode::Done;
    }
    try {
        return runCommand(valueOf(invocation), out, err);
    } catch (const std::exception &error) {
        err << "gooseberryctl: " << error.what() << '\n';
        return ExitCode::Refused;
    }
}

} // namespace gooseberry
