#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** Everything that a control instance is told before it starts. */
struct Settings
{
    InstanceId id;
    FailureDomainId domain;
    /** Where callers, workers and operators connect. */
    Address listen;
    std::string operatorToken;
    std::string workerToken;
    unsigned threads = 2;
    /** How often what is due is looked at. */
    std::chrono::milliseconds stepInterval{20};
    /** How long a planned stop waits for requests in flight. */
    std::chrono::milliseconds drainPatience{30'000};
};

/** Reads a settings file. Errors carry file, line, column and the allowed values. */
Result<Settings> readSettings(const std::filesystem::path &file);

} // namespace gooseberry
