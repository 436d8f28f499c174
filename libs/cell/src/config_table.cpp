#include <cell/config_table.h>

#include <xxhash.h>

namespace gooseberry {

namespace {

/** The number of retained digests; a change may be resent after hundreds of later ones. */
constexpr std::size_t maxDigests = 4096;

Error refuse(ErrorCode code, const std::string &message)
{
    return Error{.code = code,
                 .step = Step::Admit,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

Error unauthenticated()
{
    return Error{.code = ErrorCode::Unauthenticated,
                 .step = Step::Authenticate,
                 .peer = {},
                 .message = "the key is unknown or was withdrawn",
                 .outcome = Outcome::NotRun};
}

} // namespace

std::uint64_t digestOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

bool ConfigTable::wasAccepted(ConfigVersion version, std::uint64_t changeDigest) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->digests.find(version);
    return found != this->digests.end() && found->second == changeDigest;
}

Result<ConfigVersion> ConfigTable::apply(ConfigVersion version, const CellConfig &next,
                                         std::uint64_t changeDigest)
{
    const std::lock_guard lock(this->mutex);
    const auto earlier = this->digests.find(version);
    if (earlier != this->digests.end() && earlier->second == changeDigest) {
        return version;
    }
    if (version.value != this->versionInForce.value + 1) {
        return refuse(ErrorCode::Conflict,
                      "version " + std::to_string(version.value) + " can't follow version "
                          + std::to_string(this->versionInForce.value) + ", which is in force");
    }
    this->versionInForce = version;
    this->config = std::make_shared<const CellConfig>(next);
    this->digests[version] = changeDigest;
    if (this->digests.size() > maxDigests) {
        this->digests.erase(this->digests.begin());
    }
    return version;
}

Status ConfigTable::grant(const Key &key)
{
    const std::lock_guard lock(this->mutex);
    if (findTeam(*this->config, key.team) == nullptr) {
        return refuse(ErrorCode::NotFound, "team " + key.team.value + " does not exist");
    }
    if (this->withdrawnKeys.contains(key.id)) {
        return refuse(ErrorCode::Conflict, "key " + key.id.value + " was withdrawn");
    }
    const auto [entry, added] = this->keys.try_emplace(key.id, key);
    if (!added && !(entry->second == key)) {
        return refuse(ErrorCode::Conflict, "key " + key.id.value + " exists already");
    }
    return Done{};
}

Status ConfigTable::withdraw(const KeyId &id)
{
    const std::lock_guard lock(this->mutex);
    if (this->keys.erase(id) == 0 && !this->withdrawnKeys.contains(id)) {
        return refuse(ErrorCode::NotFound, "key " + id.value + " does not exist");
    }
    this->withdrawnKeys.insert(id);
    return Done{};
}

Status ConfigTable::setDomain(const FailureDomainId &domain, bool inService)
{
    const std::lock_guard lock(this->mutex);
    if (findDomain(*this->config, domain) == nullptr) {
        return refuse(ErrorCode::NotFound, "failure domain " + domain.value + " does not exist");
    }
    if (inService) {
        this->outOfService.erase(domain);
    } else {
        this->outOfService.insert(domain);
    }
    return Done{};
}

ConfigVersion ConfigTable::version() const
{
    const std::lock_guard lock(this->mutex);
    return this->versionInForce;
}

ConfigInForce ConfigTable::configInForce() const
{
    const std::lock_guard lock(this->mutex);
    return ConfigInForce{.version = this->versionInForce, .config = this->config};
}

std::shared_ptr<const CellConfig> ConfigTable::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->config;
}

std::set<FailureDomainId> ConfigTable::domainsOut() const
{
    const std::lock_guard lock(this->mutex);
    return this->outOfService;
}

bool ConfigTable::isOutOfService(const FailureDomainId &domain) const
{
    const std::lock_guard lock(this->mutex);
    return this->outOfService.contains(domain);
}

Result<TeamId> ConfigTable::authenticate(const std::string &credential) const
{
    const Result<Credential> parsed = parseCredential(credential);
    if (!ok(parsed)) {
        return errorOf(parsed);
    }
    const std::lock_guard lock(this->mutex);
    const auto found = this->keys.find(valueOf(parsed).id);
    if (found == this->keys.end() || !matchesSecret(found->second, valueOf(parsed).secret)) {
        return unauthenticated();
    }
    return found->second.team;
}

ConfigImage ConfigTable::image() const
{
    const std::lock_guard lock(this->mutex);
    ConfigImage image;
    image.version = this->versionInForce;
    image.config = *this->config;
    image.digests = this->digests;
    for (const auto &[id, key] : this->keys) {
        image.keys.push_back(key);
    }
    image.withdrawnKeys = this->withdrawnKeys;
    image.domainsOut = this->outOfService;
    return image;
}

void ConfigTable::restore(const ConfigImage &image)
{
    const std::lock_guard lock(this->mutex);
    this->versionInForce = image.version;
    this->config = std::make_shared<const CellConfig>(image.config);
    this->digests = image.digests;
    this->keys.clear();
    for (const Key &key : image.keys) {
        this->keys.emplace(key.id, key);
    }
    this->withdrawnKeys = image.withdrawnKeys;
    this->outOfService = image.domainsOut;
}

} // namespace gooseberry
