#include "commands.h"

#include <limits>

namespace gooseberry {

namespace {

constexpr std::size_t manyArguments = std::numeric_limits<std::size_t>::max();
const std::vector<std::string> jobFlags{"request-id"};
const std::vector<std::string> submitFlags{
    "queue",          "class",        "tasks",        "cores",
    "memory",         "accelerators", "slots",        "expected-run-time",
    "not-repeatable", "max-attempts", "job-template", "service",
    "payload",        "wait",         "request-id"};

std::vector<OperatorCommand> makeCommands()
{
    const bool offline = false;
    const bool online = true;
    return {
        {"validate",
         "FILE...",
         1,
         manyArguments,
         {},
         offline,
         "check declaration files, together and in this order",
         runValidate},
        {"plan",
         "FILE...",
         1,
         manyArguments,
         {},
         online,
         "show what the files would change and whom that would hurt",
         runPlan},
        {"apply",
         "FILE...",
         1,
         manyArguments,
         {},
         online,
         "put the files into force and create missing keys",
         runApply},
        {"get", "[config]", 0, 1, {}, online, "show the declarations in force", runGet},
        {"submit", "[FILE]", 0, 1, submitFlags, online, "submit a job from a file or from flags",
         runSubmit},
        {"status", "JOB", 1, 1, jobFlags, online, "show a job and its tasks", runStatus},
        {"answer", "JOB", 1, 1, jobFlags, online, "write a job's whole answer", runAnswer},
        {"cancel", "JOB", 1, 1, jobFlags, online, "cancel a job", runCancel},
        {"explain", "JOB", 1, 1, jobFlags, online, "say why a job waits", runExplain},
        {"domain take-out",
         "NAME",
         1,
         1,
         {},
         online,
         "start nothing more in a failure domain",
         runDomainTakeOut},
        {"domain bring-back",
         "NAME",
         1,
         1,
         {},
         online,
         "use a failure domain again",
         runDomainBringBack},
        {"key grant",
         "ID --team T",
         1,
         1,
         {"team"},
         online,
         "create a key and show it once",
         runKeyGrant},
        {"key withdraw", "ID", 1, 1, {}, online, "end a key for good", runKeyWithdraw},
        {"top", "", 0, 0, {}, online, "show what teams use", runTop},
        {"completion",
         "bash",
         1,
         1,
         {},
         offline,
         "write a completion script for the shell",
         runCompletion},
    };
}

} // namespace

const std::vector<OperatorCommand> &allCommands()
{
    static const std::vector<OperatorCommand> commands = makeCommands();
    return commands;
}

const std::map<std::string, std::string> &commandFlags()
{
    static const std::map<std::string, std::string> flags{
        {"queue", "queue of the job, CUSTOMER/QUEUE"},
        {"class", "service, batch, gang or urgent"},
        {"tasks", "number of tasks"},
        {"cores", "cores of one task"},
        {"memory", "memory of one task, such as 4GiB"},
        {"accelerators", "accelerators of one task"},
        {"slots", "slots of one task"},
        {"expected-run-time", "expected run time of one task, such as 15m"},
        {"not-repeatable", "never run a task again whose outcome is unknown"},
        {"max-attempts", "tries of a task before the job fails"},
        {"job-template", "name under which run times are learnt"},
        {"service", "service that must run the tasks"},
        {"payload", "text for the worker"},
        {"wait", "wait for the job and write its answer"},
        {"request-id", "id of the request; a resend with the same id runs nothing twice"},
        {"team", "team that the key belongs to, CUSTOMER/TEAM"}};
    return flags;
}

bool takesNoValue(const std::string &flag)
{
    return flag == "wait" || flag == "not-repeatable";
}

} // namespace gooseberry
