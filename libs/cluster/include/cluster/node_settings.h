#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>
#include <dispatch/dispatch.h>

namespace gooseberry {

/** What a node of a cell without a fixed list of members is told before it starts. */
struct NodeSettings
{
    InstanceId id;
    FailureDomainId domain;
    /** The IP number that the other nodes reach this one at. */
    std::string host;
    /** Where nodes connect to each other; the same port on all nodes. */
    std::uint16_t peerPort = 0;
    /** Some nodes of the cell, of which only the hosts count. They may be down or gone. */
    std::vector<Address> seeds;
    /** The whole cell starts for the first time, and the seeds become its first voters. */
    bool bootstrap = false;
    /** Where the log is kept; a node without one does not vote. */
    std::optional<std::filesystem::path> dataFolder;
    /** Where callers connect, and where it is asked whether they should. */
    std::optional<Address> listenCallers;
    std::optional<Address> listenReadiness;
    /** Where workers and operators connect. */
    std::optional<Address> listenControl;
    std::optional<Address> listenMetrics;
    std::optional<Address> adviser;
    /** How many voters the cell keeps; twice the losses that it survives, and one. */
    std::uint32_t voters = 5;
    /**
     * How long the leader may lead without being heard by a majority, and the shortest time after
     * which another election begins. A longer one bears slower machines, a shorter one ends
     * outages sooner.
     */
    std::chrono::milliseconds leaderLease{350};
    /** A link on which nothing was answered for this long is replaced. */
    std::chrono::milliseconds linkSilence{1000};
    /** How long an ended workflow is remembered. */
    std::chrono::milliseconds retention{180'000};
    /** How long a planned stop may take in all. */
    std::chrono::milliseconds stopPatience{4200};
    /** "trace", "debug", "info", "warn" or "error". */
    std::string logLevel{"info"};
    unsigned threads = 1;
    DispatchSettings dispatch;
};

/**
 * Reads a settings file in YAML. Keys that are not known are ignored, since a platform may add
 * some; wrong values of known ones are all reported at once, with file, line and column.
 */
Result<NodeSettings> readNodeSettings(const std::filesystem::path &file);
Result<NodeSettings> parseNodeSettings(const std::string &text, const std::string &fileName);

/** Returns the address that nodes reach this host at. */
Address peerAddress(const std::string &host, std::uint16_t peerPort);
/** Returns the name under which a node is known to the others: its address. */
InstanceId peerId(const Address &address);

} // namespace gooseberry
