#include <cluster/node_settings.h>

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include <contract/contract.h>

namespace gooseberry {

namespace {

constexpr std::int64_t maxThreads = 64;
constexpr std::int64_t maxPort = 65'535;
constexpr std::int64_t maxVoters = 9;
constexpr std::int64_t maxDescriptors = 1 << 20;
/** A lease must span several heartbeats of a few round trips each. */
constexpr std::int64_t minLeaseMillis = 50;
/** Half of the memory for requests must hold a body of the largest size at the control address. */
constexpr std::int64_t minRequestMemory = 16LL * 1024 * 1024;
constexpr std::int64_t maxRequestMemory = 1024LL * 1024 * 1024;
/** The platform promises callers that bodies of this size are served. */
constexpr std::int64_t minCallerBody = 256LL * 1024;
constexpr std::int64_t maxCallerBody = 4LL * 1024 * 1024;
constexpr std::int64_t maxMillis = 24LL * 3600 * 1000;
const std::array<std::string, 5> logLevels{"trace", "debug", "info", "warn", "error"};

class NodeSettingsReader
{
public:
    NodeSettingsReader(const DocumentNode &root, Problems &initialProblems)
        : reader(root, "the settings", initialProblems)
        , problems(initialProblems)
    {
    }

    NodeSettings read()
    {
        NodeSettings settings;
        settings.id = InstanceId(this->reader.requiredText("instance"));
        settings.domain = FailureDomainId(this->reader.requiredText("failureDomain"));
        settings.host = this->reader.requiredText("host");
        settings.peerPort
            = static_cast<std::uint16_t>(this->reader.integer("peerPort", 0, 1, maxPort));
        for (const DocumentNode &seed : this->reader.list("seeds")) {
            if (const auto parsed = this->parse(seed, "a seed")) {
                settings.seeds.push_back(*parsed);
            }
        }
        settings.bootstrap = this->reader.boolean("bootstrap", false);
        if (const std::string folder = this->reader.text("dataFolder", ""); !folder.empty()) {
            settings.dataFolder = folder;
        }
        settings.listenCallers = this->address("listenCallers");
        settings.listenReadiness = this->address("listenReadiness");
        settings.listenControl = this->address("listenControl");
        settings.listenMetrics = this->address("listenMetrics");
        settings.adviser = this->address("adviser");
        settings.voters
            = static_cast<std::uint32_t>(this->reader.integer("voters", 5, 1, maxVoters));
        settings.threads = static_cast<unsigned>(this->reader.integer("threads", 1, 1, maxThreads));
        settings.descriptorLimit = static_cast<std::size_t>(
            this->reader.integer("descriptorLimit", 0, 0, maxDescriptors));
        settings.requestMemory
            = Bytes(this->reader.integer("requestMemoryBytes", settings.requestMemory.value,
                                         minRequestMemory, maxRequestMemory));
        settings.callerBody = Bytes(this->reader.integer(
            "callerBodyBytes", settings.callerBody.value, minCallerBody, maxCallerBody));
        settings.leaderLease = std::chrono::milliseconds(this->reader.integer(
            "leaderLeaseMillis", settings.leaderLease.count(), minLeaseMillis, maxMillis));
        settings.linkSilence = std::chrono::milliseconds(this->reader.integer(
            "linkSilenceMillis", settings.linkSilence.count(), minLeaseMillis, maxMillis));
        settings.retention = this->duration("retention", settings.retention);
        settings.stopTimeout = this->duration("stopPatience", settings.stopTimeout);
        this->readDispatch(settings.dispatch);
        this->readLogLevel(settings);
        return settings;
    }

private:
    std::optional<Address> parse(const DocumentNode &node, const std::string &what)
    {
        const auto text = readText(node, what, this->problems);
        if (!text) {
            return std::nullopt;
        }
        const Result<Address> parsed = parseAddress(*text);
        if (!ok(parsed)) {
            this->problems.add(node.position,
                               what + " must be IP:PORT, not " + quoteForMessage(*text));
            return std::nullopt;
        }
        return valueOf(parsed);
    }

    std::optional<Address> address(const std::string &key)
    {
        const DocumentNode *node = this->reader.find(key);
        if (node == nullptr || node->kind == DocumentNode::Kind::Empty
            || (node->kind == DocumentNode::Kind::Scalar && node->text.empty())) {
            return std::nullopt;
        }
        return this->parse(*node, '\'' + key + '\'');
    }

    /** Reads a time in milliseconds, the unit of all times in the settings. */
    std::chrono::milliseconds duration(const std::string &key, std::chrono::milliseconds fallback)
    {
        return std::chrono::milliseconds(
            this->reader.integer(key + "Millis", fallback.count(), 0, maxMillis));
    }

    void readDispatch(DispatchSettings &dispatch)
    {
        dispatch.workerLease = this->duration("workerLease", dispatch.workerLease);
        dispatch.longestWorkerLease = this->duration(
            "longestWorkerLease", std::max(dispatch.workerLease, dispatch.longestWorkerLease));
        dispatch.workerLease = std::min(dispatch.workerLease, dispatch.longestWorkerLease);
        dispatch.gangTimeout = this->duration("gangPatience", dispatch.gangTimeout);
        dispatch.stopTimeout = this->duration("workerStopPatience", dispatch.stopTimeout);
        dispatch.renewalWait = this->duration("holdWait", dispatch.renewalWait);
        dispatch.orderTimeout = this->duration("orderPatience", dispatch.orderTimeout);
        dispatch.renewalPause = this->duration("holdPause", dispatch.renewalPause);
        const auto heartbeat = this->duration("workerHeartbeat", std::chrono::milliseconds(1500));
        // A worker counts as silent after two heartbeats that were lost or late.
        dispatch.heartbeatTimeout = heartbeat * 2 + std::chrono::milliseconds(500);
    }

    void readLogLevel(NodeSettings &settings)
    {
        settings.logLevel = this->reader.text("logLevel", settings.logLevel);
        if (std::find(logLevels.begin(), logLevels.end(), settings.logLevel) == logLevels.end()) {
            this->problems.add(this->reader.node().position,
                               "'logLevel' must be trace, debug, info, warn or error");
        }
    }

    MapReader reader;
    Problems &problems;
};

Error settingsError(const std::string &peer, const std::string &message)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Settings,
                 .peer = peer,
                 .message = message,
                 .outcome = Outcome::NotRun};
}

} // namespace

Result<NodeSettings> parseNodeSettings(const std::string &text, const std::string &fileName)
{
    const Result<DocumentNode> document = parseDocument(text, fileName);
    if (!ok(document)) {
        return errorOf(document);
    }
    Problems problems;
    NodeSettings settings = NodeSettingsReader(valueOf(document), problems).read();
    if (!problems.empty()) {
        return problems.toError(Step::Settings, fileName);
    }
    return settings;
}

Result<NodeSettings> readNodeSettings(const std::filesystem::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return settingsError(file.string(), file.string() + ": can't be opened");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream.good() && !stream.eof()) {
        return settingsError(file.string(), file.string() + ": can't be read");
    }
    return parseNodeSettings(text.str(), file.string());
}

Result<DescriptorBudget> descriptorBudget(const NodeSettings &settings)
{
    rlimit process{};
    std::size_t limit = static_cast<std::size_t>(maxDescriptors);
    if (::getrlimit(RLIMIT_NOFILE, &process) == 0 && process.rlim_cur != RLIM_INFINITY) {
        limit = std::min<std::size_t>(limit, process.rlim_cur);
    }
    if (settings.descriptorLimit > 0) {
        limit = std::min(limit, settings.descriptorLimit);
    }
    return splitDescriptors(limit,
                            DescriptorDemand{.servesCallers = settings.listenCallers.has_value(),
                                             .servesControl = settings.listenControl.has_value()});
}

Address peerAddress(const std::string &host, std::uint16_t peerPort)
{
    return Address{.host = host, .port = peerPort};
}

InstanceId peerId(const Address &address)
{
    return InstanceId(toString(address));
}

} // namespace gooseberry
