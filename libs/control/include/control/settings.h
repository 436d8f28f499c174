#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** A control instance of the cell, as listed under "peers" in the settings. */
struct PeerSettings
{
    InstanceId id;
    /** Where it listens for other control instances. */
    Address address;
    FailureDomainId domain;
    /** Whether it stores the log and votes; such an instance has a data folder. */
    bool voter = false;

    bool operator==(const PeerSettings &other) const = default;
};

/** Startup configuration of a control instance. */
struct Settings
{
    InstanceId id;
    /** The failure domain that this instance is in. */
    FailureDomainId domain;
    /** The cell that the instance belongs to; instances of different cells refuse each other. */
    std::string cell{"cell"};
    /** Where callers, workers and operators connect. */
    Address listen;
    /** Where other control instances connect; required with peers. */
    std::optional<Address> peerListen;
    /** The control instances of the cell. May name this one too, so that all can share the list. */
    std::vector<PeerSettings> peers;
    /** Folder of the log; without one, the state is lost when the process ends. */
    std::optional<std::filesystem::path> dataFolder;
    /** Whether this instance votes. An instance without peers votes if it has a data folder. */
    bool voter = false;
    /** Lets an empty data folder start a new cell instead of joining one. */
    bool bootstrap = false;
    std::string operatorToken;
    std::string workerToken;
    /** "trace", "debug", "info", "warn" or "error". */
    std::string logLevel{"info"};
    unsigned threads = 2;
    /** How often the scheduler runs and timeouts are checked when no work arrives. */
    std::chrono::milliseconds stepInterval{20};
    /** How long a graceful shutdown waits for requests in flight; the key is "drainPatience". */
    std::chrono::milliseconds drainTimeout{30'000};
};

/**
 * Reads a settings file. All problems of the file are reported at once, each with file, line,
 * column and the allowed values; the value of a token is never repeated.
 */
Result<Settings> readSettings(const std::filesystem::path &file);

/** Reads settings from text; the file name appears in messages only. */
Result<Settings> parseSettings(const std::string &text, const std::string &fileName);

} // namespace gooseberry
