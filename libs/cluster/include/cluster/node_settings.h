#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>
#include <dispatch/dispatch.h>
#include <policy/policy.h>

namespace gooseberry {

/** Settings of a node in a cell without a static member list. */
struct NodeSettings
{
    InstanceId id;
    FailureDomainId domain;
    /** The IP address at which the other nodes reach this one. */
    std::string host;
    /** The port for connections between nodes; the same on all nodes. */
    std::uint16_t peerPort = 0;
    /** Some nodes of the cell. Only the hosts are used; the nodes may be down or gone. */
    std::vector<Address> seeds;
    /** Set on the first start of the whole cell; the seeds become its first voters. */
    bool bootstrap = false;
    /** The folder of the log replica; a node without one does not vote. */
    std::optional<std::filesystem::path> dataFolder;
    /** Where callers connect, and where readiness probes connect. */
    std::optional<Address> listenCallers;
    std::optional<Address> listenReadiness;
    /** Where workers and operators connect. */
    std::optional<Address> listenControl;
    std::optional<Address> listenMetrics;
    std::optional<Address> adviser;
    /** The target number of voters: 2f + 1 to tolerate f failures. */
    std::uint32_t voters = 5;
    /**
     * How long the leader may lead without contact to a majority, and the minimum election timeout.
     * A longer lease tolerates slower machines; a shorter one ends outages sooner.
     */
    std::chrono::milliseconds leaderLease{350};
    /** A link without a reply for this long is reconnected. */
    std::chrono::milliseconds linkSilence{1000};
    /** How long ended workflows are kept. */
    std::chrono::milliseconds retention{180'000};
    /** The total time limit of a graceful shutdown. */
    std::chrono::milliseconds stopTimeout{4200};
    /** "trace", "debug", "info", "warn" or "error". */
    std::string logLevel{"info"};
    unsigned threads = 1;
    /** The limit of open descriptors; 0 takes that of the process, of which it can't be more. */
    std::size_t descriptorLimit = 0;
    /** What the requests of all connections may hold in memory together. */
    Bytes requestMemory{24LL * 1024 * 1024};
    /** The longest body of a caller's request. */
    Bytes callerBody{512LL * 1024};
    DispatchSettings dispatch;
};

/**
 * Reads a settings file in YAML. Unknown keys are ignored, since a platform may add some. All
 * invalid values of known keys are reported together, with file, line and column.
 */
Result<NodeSettings> readNodeSettings(const std::filesystem::path &file);
Result<NodeSettings> parseNodeSettings(const std::string &text, const std::string &fileName);

/** Splits the descriptors of this process by the uses that the settings name. */
Result<DescriptorBudget> descriptorBudget(const NodeSettings &settings);

/** Returns the address at which other nodes reach this host. */
Address peerAddress(const std::string &host, std::uint16_t peerPort);
/** Returns the id of a node within the cell, which is its address as text. */
InstanceId peerId(const Address &address);

} // namespace gooseberry
