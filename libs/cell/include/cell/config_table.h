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

/** A plain copy of the configuration state, for snapshots. */
struct ConfigImage
{
    ConfigVersion version;
    CellConfig config;
    /** Digests of the latest accepted versions, by which a resent change is recognised. */
    std::map<ConfigVersion, std::uint64_t> digests;
    std::vector<Key> keys;
    std::set<KeyId> withdrawnKeys;
    std::set<FailureDomainId> domainsOut;
};

/** A version together with its content. */
struct ConfigInForce
{
    ConfigVersion version;
    std::shared_ptr<const CellConfig> config;
};

/** The configuration in force, keys and the state of failure domains, under one lock. */
class ConfigTable
{
public:
    /**
     * Accepts the next version. A version that was accepted with the same content yields the same
     * answer; any other fails with Conflict and names the version in force.
     */
    Result<ConfigVersion> apply(ConfigVersion version, const CellConfig &config,
                                std::uint64_t changeDigest);
    /** Returns whether this very change was accepted as this version, however long ago. */
    bool wasAccepted(ConfigVersion version, std::uint64_t changeDigest) const;
    /** Fails with NotFound for an unknown team and with Conflict for a reused or withdrawn id. */
    Status grant(const Key &key);
    /** Withdraws a key for good. Withdrawing it again succeeds; an unknown one is NotFound. */
    Status withdraw(const KeyId &id);
    Status setDomain(const FailureDomainId &domain, bool inService);

    ConfigVersion version() const;
    /** Returns the version and its content as one consistent reading. */
    ConfigInForce configInForce() const;
    std::shared_ptr<const CellConfig> current() const;
    std::set<FailureDomainId> domainsOut() const;
    bool isOutOfService(const FailureDomainId &domain) const;
    /** Returns the team whose key this is, or Unauthenticated. */
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

/** Returns a digest that is equal for equal text on every replica. */
std::uint64_t digestOf(const std::string &text);

} // namespace gooseberry
