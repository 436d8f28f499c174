// The control daemon. It reads its settings, runs one control instance and stops on SIGTERM.

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>
#include <spdlog/spdlog.h>

#include <control/control.h>

using namespace gooseberry;

namespace {

constexpr int exitUsage = 2;

int runUntilSignal(const Settings &settings, const sigset_t &signals)
{
    ControlInstance instance(settings);
    const Result<Address> address = instance.start();
    if (!ok(address)) {
        spdlog::error("event=start-failed {}", describe(errorOf(address)));
        return 1;
    }
    spdlog::info("event=started instance={} domain={} address={}", settings.id.value,
                 settings.domain.value, toString(valueOf(address)));
    int signal = 0;
    sigwait(&signals, &signal);
    spdlog::info("event=stopping instance={} signal={}", settings.id.value, signal);
    const bool drained = instance.stop();
    spdlog::info("event=stopped instance={} drained={}", settings.id.value, drained);
    return drained ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("gooseberryleadd", "Control daemon of the gooseberrylead scheduler");
    options.add_options()("settings", "YAML settings file", cxxopts::value<std::string>())(
        "check", "Check the settings and exit")("help", "Print this help")("version",
                                                                           "Print the version");
    options.parse_positional({"settings"});
    options.positional_help("SETTINGS");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("version") > 0) {
            std::cout << "gooseberryleadd " << GL_VERSION << '\n';
            return 0;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << options.help();
            return exitUsage;
        }
        const Result<Settings> settings = readSettings(arguments["settings"].as<std::string>());
        if (!ok(settings)) {
            // The message has a line for each problem, with file, line and column.
            std::cerr << errorOf(settings).message << '\n';
            return exitUsage;
        }
        if (arguments.count("check") > 0) {
            return 0;
        }
        spdlog::set_level(spdlog::level::from_str(valueOf(settings).logLevel));
        // All threads inherit the mask, so that only sigwait() sees these signals.
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        return runUntilSignal(valueOf(settings), signals);
    } catch (const std::exception &error) {
        std::cerr << "gooseberryleadd: " << error.what() << '\n';
        return exitUsage;
    }
}
