// A worker for tests and the demo; see StubWorker.

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>
#include <spdlog/spdlog.h>

#include "stub_worker.h"

using namespace gooseberry;

namespace {

constexpr int exitUsage = 2;
constexpr std::int64_t millisPerCore = 1000;
constexpr std::int64_t bytesPerGibibyte = 1024LL * 1024 * 1024;

Address addressOrThrow(const std::string &text)
{
    const Result<Address> parsed = parseAddress(text);
    if (!ok(parsed)) {
        throw std::invalid_argument(errorOf(parsed).message);
    }
    return valueOf(parsed);
}

StubWorkerSettings readArguments(const cxxopts::ParseResult &arguments)
{
    StubWorkerSettings settings;
    settings.id = arguments["id"].as<std::string>();
    settings.rack = arguments["rack"].as<std::string>();
    settings.domain = arguments["domain"].as<std::string>();
    settings.service = arguments["service"].as<std::string>();
    settings.token = arguments["token"].as<std::string>();
    settings.recordFile = arguments["record"].as<std::string>();
    settings.failEverything = arguments["fail"].as<bool>();
    settings.listen = addressOrThrow(arguments["listen"].as<std::string>());
    for (const std::string &text : arguments["control"].as<std::vector<std::string>>()) {
        settings.control.push_back(addressOrThrow(text));
    }
    settings.capacity.cpu = CpuMillis(arguments["cores"].as<std::int64_t>() * millisPerCore);
    settings.capacity.memory = Bytes(arguments["memory"].as<std::int64_t>() * bytesPerGibibyte);
    settings.capacity.accelerators = AcceleratorCount(arguments["accelerators"].as<std::int64_t>());
    settings.capacity.slots = SlotCount(arguments["slots"].as<std::int64_t>());
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("stub_worker", "Worker for tests and the demo");
    options.add_options()("id", "Instance id", cxxopts::value<std::string>())(
        "rack", "Rack id", cxxopts::value<std::string>()->default_value("rack-1"))(
        "domain", "Failure domain", cxxopts::value<std::string>())(
        "service", "Service offered", cxxopts::value<std::string>()->default_value(""))(
        "listen", "Address to listen on, IP:PORT", cxxopts::value<std::string>())(
        "control", "Addresses of control instances", cxxopts::value<std::vector<std::string>>())(
        "token", "Worker token", cxxopts::value<std::string>()->default_value(""))(
        "record", "File for starts and ends", cxxopts::value<std::string>()->default_value(""))(
        "cores", "Cores", cxxopts::value<std::int64_t>()->default_value("16"))(
        "memory", "Memory in GiB", cxxopts::value<std::int64_t>()->default_value("64"))(
        "accelerators", "Accelerators", cxxopts::value<std::int64_t>()->default_value("0"))(
        "slots", "Task slots", cxxopts::value<std::int64_t>()->default_value("8"))(
        "fail", "Fail every task",
        cxxopts::value<bool>()->default_value("false"))("help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        Executor executor(2);
        StubWorker worker(executor, readArguments(arguments));
        const Result<Address> address = worker.start();
        if (!ok(address)) {
            std::cerr << describe(errorOf(address)) << '\n';
            return 1;
        }
        spdlog::info("event=started address={}", toString(valueOf(address)));
        int signal = 0;
        sigwait(&signals, &signal);
        worker.depart(std::chrono::seconds(5));
        executor.stop();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "stub_worker: " << error.what() << '\n';
        return exitUsage;
    }
}
