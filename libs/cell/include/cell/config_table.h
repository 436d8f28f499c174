#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>

namespace gooseberry {

/** A copy of the configuration state, as stored in a snapshot. */
struct ConfigImage
{
    ConfigVersion version;
    CellConfig config;
    /** Digests of the latest accepted versions; they identify resent changes. */
    std::map<ConfigVersion, std::uint64_t> digests;
    std::vector<Key> keys;
    std::set<KeyId> withdrawnKeys;
    std::set<FailureDomainId> domainsOut;
};

/** The version in force together with its content. */
struct ConfigInForce
{
    ConfigVersion version;
    std::shared_ptr<const CellConfig> config;
};

/** The configuration in force, keys and failure domain states, guarded by one lock. */
class ConfigTable
{
public:
    /**
     * Accepts the next version. Succeeds again for a version that was already accepted with the
     * same digest; any other version fails with Conflict, naming the version in force.
     */
    Result<ConfigVersion> apply(ConfigVersion version, const CellConfig &config,
                                std::uint64_t changeDigest);
    /** Returns whether a retained digest shows that this change was accepted as this version. */
    bool wasAccepted(ConfigVersion version, std::uint64_t changeDigest) const;
    /** Fails with NotFound for an unknown team and with Conflict for a reused or withdrawn id. */
    Status grant(const Key &key);
    /** Withdraws a key permanently. Repeating it succeeds; an unknown key is NotFound. */
    Status withdraw(const KeyId &id);
    Status setDomain(const FailureDomainId &domain, bool inService);

    ConfigVersion version() const;
    /** Returns the version and its content, read under one lock so that they match. */
    ConfigInForce configInForce() const;
    std::shared_ptr<const CellConfig> current() const;
    std::set<FailureDomainId> domainsOut() const;
    bool isOutOfService(const FailureDomainId &domain) const;
    /** Returns the team that owns the key, or fails with Unauthenticated. */
    Result<TeamId> authenticate(const std::string &credential) const;

    ConfigImage image() const;
    void restore(const ConfigImage &image);

private:
    mutable std::mutex mutex;
    ConfigVersion versionInForce;
    std::shared_ptr<const CellConfig> config = std::make_shared<const CellConfig>();
    std::map<ConfigVersion, std::uint64_t> digests;
    std::map<KeyId, Key> keys;
    std::set<KeyId> withdrawnKeys;
    std::set<FailureDomainId> outOfService;
};

/** Returns a digest of the text that is the same on every replica. */
std::uint64_t digestOf(const std::string &text);

} // namespace gooseberry
