#include <control/settings.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>

#include <contract/contract.h>

namespace gooseberry {

namespace {

constexpr std::int64_t maxThreads = 64;
constexpr std::size_t maxTokenLength = 256;
const std::array<std::string, 5> logLevels{"trace", "debug", "info", "warn", "error"};

/** Reads one settings file; the map reader tracks which keys are known. */
class SettingsReader
{
public:
    SettingsReader(const DocumentNode &root, Problems &initialProblems)
        : reader(root, "the settings", initialProblems)
        , problems(initialProblems)
    {
    }

    Settings read()
    {
        Settings settings;
        settings.id = InstanceId(this->reader.requiredName("id"));
        settings.domain = FailureDomainId(this->reader.requiredName("domain"));
        this->readCell(settings);
        if (const DocumentNode *listen = this->reader.require("listen")) {
            settings.listen = this->address(*listen, "'listen'").value_or(Address{});
        }
        settings.operatorToken = this->token("operatorToken");
        settings.workerToken = this->token("workerToken");
        settings.threads = static_cast<unsigned>(this->reader.integer("threads", 2, 1, maxThreads));
        settings.stepInterval
            = this->duration("stepInterval", settings.stepInterval, std::chrono::milliseconds(1),
                             std::chrono::seconds(1));
        settings.drainTimeout = this->duration("drainPatience", settings.drainTimeout,
                                               std::chrono::milliseconds(0), std::chrono::hours(1));
        this->readStorage(settings);
        this->readPeers(settings);
        this->readLogLevel(settings);
        this->reader.reportUnknownKeys();
        return settings;
    }

private:
    std::optional<Address> address(const DocumentNode &node, const std::string &what)
    {
        const auto text = readText(node, what, this->problems);
        if (!text) {
            return std::nullopt;
        }
        const Result<Address> parsed = parseAddress(*text);
        if (!ok(parsed)) {
            this->problems.add(node.position,
                               what
                                   + " must be IP:PORT with an IP number and a port from 1 to "
                                     "65535, not "
                                   + quoteForMessage(*text));
            return std::nullopt;
        }
        return valueOf(parsed);
    }

    /** Reads a secret. Messages never contain its value. */
    std::string token(const std::string &key)
    {
        const DocumentNode *node = this->reader.find(key);
        if (node == nullptr) {
            return {};
        }
        const bool printable
            = std::all_of(node->text.begin(), node->text.end(),
                          [](char character) { return character > ' ' && character < 127; });
        if (node->kind != DocumentNode::Kind::Scalar || node->text.empty() || !printable
            || node->text.size() > maxTokenLength) {
            this->problems.add(node->position,
                               '\'' + key + "' must be 1 to " + std::to_string(maxTokenLength)
                                   + " printable ASCII characters without spaces");
            return {};
        }
        return node->text;
    }

    std::chrono::milliseconds duration(const std::string &key, std::chrono::milliseconds fallback,
                                       std::chrono::milliseconds lowest,
                                       std::chrono::milliseconds highest)
    {
        const DocumentNode *node = this->reader.find(key);
        const auto text
            = node == nullptr ? std::nullopt : readText(*node, '\'' + key + '\'', this->problems);
        if (!text) {
            return fallback;
        }
        const Result<std::chrono::milliseconds> parsed = parseDuration(*text);
        if (!ok(parsed)) {
            this->problems.add(node->position, '\'' + key + "' " + errorOf(parsed).message);
        } else if (valueOf(parsed) < lowest || valueOf(parsed) > highest) {
            this->problems.add(node->position,
                               '\'' + key + "' must be from " + std::to_string(lowest.count())
                                   + "ms to " + std::to_string(highest.count()) + "ms, not "
                                   + quoteForMessage(*text));
        } else {
            return valueOf(parsed);
        }
        return fallback;
    }

    void readCell(Settings &settings)
    {
        if (const DocumentNode *cell = this->reader.find("cell")) {
            settings.cell = readName(*cell, "'cell'", this->problems).value_or(settings.cell);
        }
    }

    void readStorage(Settings &settings)
    {
        if (const DocumentNode *folder = this->reader.find("dataFolder")) {
            const auto text = readText(*folder, "'dataFolder'", this->problems);
            if (text && text->empty()) {
                this->problems.add(folder->position, "'dataFolder' must be a path");
            } else if (text) {
                settings.dataFolder = *text;
            }
        }
        settings.voter = this->reader.boolean("voter", false);
        settings.bootstrap = this->reader.boolean("bootstrap", false);
        for (const auto &[key, enabled] :
             {std::pair("voter", settings.voter), std::pair("bootstrap", settings.bootstrap)}) {
            const DocumentNode *node = this->reader.find(key);
            if (enabled && node != nullptr && !settings.dataFolder) {
                this->problems.add(node->position,
                                   '\'' + std::string(key) + ": true' needs 'dataFolder'");
            }
        }
    }

    PeerSettings readPeer(const DocumentNode &node)
    {
        MapReader peerReader(node, "a peer", this->problems);
        PeerSettings peer;
        peer.id = InstanceId(peerReader.requiredName("id"));
        if (const DocumentNode *addressNode = peerReader.require("address")) {
            peer.address = this->address(*addressNode, "'address'").value_or(Address{});
        }
        peer.domain = FailureDomainId(peerReader.requiredName("domain"));
        peer.voter = peerReader.boolean("voter", false);
        peerReader.reportUnknownKeys();
        return peer;
    }

    void readPeers(Settings &settings)
    {
        if (const DocumentNode *listen = this->reader.find("peerListen")) {
            settings.peerListen = this->address(*listen, "'peerListen'");
            if (settings.peerListen && *settings.peerListen == settings.listen) {
                this->problems.add(listen->position, "'peerListen' must differ from 'listen'");
            }
        }
        std::set<InstanceId> ids;
        std::set<std::string> addresses;
        for (const DocumentNode &node : this->reader.list("peers")) {
            const std::size_t problemsBefore = this->problems.count();
            const PeerSettings peer = this->readPeer(node);
            if (this->problems.count() != problemsBefore) {
                continue;
            }
            if (!ids.insert(peer.id).second) {
                this->problems.add(node.find("id")->position,
                                   "peer '" + peer.id.value + "' stands here twice");
            }
            if (!addresses.insert(toString(peer.address)).second) {
                this->problems.add(node.find("address")->position,
                                   "address " + toString(peer.address)
                                       + " belongs to two peers; each needs its own");
            }
            if (peer.id == settings.id) {
                this->checkOwnEntry(settings, peer, node);
            }
            settings.peers.push_back(peer);
        }
        if (!settings.peers.empty() && this->reader.require("peerListen") == nullptr) {
            return;
        }
        if (settings.peers.empty() && settings.dataFolder
            && this->reader.find("voter") == nullptr) {
            settings.voter = true;
        }
    }

    /** A shared list of peers must not say anything else about this instance than its own keys. */
    void checkOwnEntry(const Settings &settings, const PeerSettings &peer, const DocumentNode &node)
    {
        const auto reportMismatch = [&](const std::string &key, const std::string &expected) {
            this->problems.add(node.position,
                               "the peer with this instance's own id must have the "
                               "same "
                                   + key + " as the settings: " + expected);
        };
        if (peer.domain != settings.domain) {
            reportMismatch("domain", settings.domain.value);
        }
        if (peer.voter != settings.voter) {
            reportMismatch("voter", settings.voter ? "true" : "false");
        }
        if (settings.peerListen && !(peer.address == *settings.peerListen)) {
            reportMismatch("address", toString(*settings.peerListen));
        }
    }

    void readLogLevel(Settings &settings)
    {
        const DocumentNode *node = this->reader.find("logLevel");
        if (node == nullptr) {
            return;
        }
        if (std::find(logLevels.begin(), logLevels.end(), node->text) == logLevels.end()) {
            this->problems.add(node->position,
                               "'logLevel' must be one of trace, debug, info, warn, error, not "
                                   + quoteForMessage(node->text));
            return;
        }
        settings.logLevel = node->text;
    }

    MapReader reader;
    Problems &problems;
};

} // namespace

Result<Settings> parseSettings(const std::string &text, const std::string &fileName)
{
    Result<DocumentNode> root = parseDocument(text, fileName);
    if (!ok(root)) {
        Error error = errorOf(root);
        error.step = Step::Settings;
        return error;
    }
    Problems problems;
    SettingsReader reader(valueOf(root), problems);
    Settings settings = reader.read();
    if (!problems.empty()) {
        return problems.toError(Step::Settings, fileName);
    }
    return settings;
}

Result<Settings> readSettings(const std::filesystem::path &file)
{
    std::ifstream input(file, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input) {
        return Error{.code = ErrorCode::NotFound,
                     .step = Step::Settings,
                     .peer = file.string(),
                     .message = file.string() + ": the file can't be read",
                     .outcome = Outcome::NotRun};
    }
    return parseSettings(text.str(), file.string());
}

} // namespace gooseberry
