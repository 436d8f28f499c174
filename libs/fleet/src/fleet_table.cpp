#include <fleet/fleet_table.h>

#include <algorithm>

namespace gooseberry {

namespace {

Error placeError(ErrorCode code, const InstanceId &id, const std::string &message)
{
    return Error{.code = code,
                 .step = Step::Place,
                 .peer = id.value,
                 .message = message,
                 .outcome = Outcome::NotRun};
}

Status checkFits(const Instance &instance, const std::optional<Resources> &total)
{
    if (!total) {
        return placeError(ErrorCode::LimitExceeded, instance.spec.id, "the total amount overflows");
    }
    if (const auto dimension = firstShortage(*total, instance.spec.capacity)) {
        return placeError(ErrorCode::LimitExceeded, instance.spec.id,
                          "not enough " + toString(*dimension));
    }
    return Done{};
}

bool offers(const Instance &instance, const std::string &service)
{
    return service.empty() || instance.spec.upstream.service == service;
}

} // namespace

void Fleet::announce(const InstanceSpec &spec)
{
    Shard &shard = this->shardOf(spec.id);
    const std::lock_guard lock(shard.mutex);
    Instance &instance = shard.instances[spec.id];
    instance.spec = spec;
    instance.departing = false;
    instance.reachable = true;
    ++this->changes;
}

void Fleet::depart(const InstanceId &id)
{
    Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    if (const auto found = shard.instances.find(id); found != shard.instances.end()) {
        found->second.departing = true;
        ++this->changes;
    }
}

bool Fleet::remove(const InstanceId &id)
{
    Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.instances.find(id);
    if (found == shard.instances.end() || !(found->second.allocated == Resources{})) {
        return false;
    }
    shard.instances.erase(found);
    ++this->changes;
    return true;
}

void Fleet::setReachable(const InstanceId &id, bool reachable)
{
    Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    if (const auto found = shard.instances.find(id); found != shard.instances.end()) {
        if (found->second.reachable != reachable) {
            ++this->changes;
        }
        found->second.reachable = reachable;
    }
}

Status Fleet::reserve(const InstanceId &id, const Resources &amount)
{
    Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.instances.find(id);
    if (found == shard.instances.end()) {
        return placeError(ErrorCode::NotFound, id, "the instance is unknown");
    }
    Instance &instance = found->second;
    if (instance.departing || !instance.reachable) {
        return placeError(ErrorCode::Unavailable, id, "the instance takes no new work");
    }
    const auto reserved = add(instance.reserved, amount);
    Status status
        = checkFits(instance, reserved ? add(instance.allocated, *reserved) : std::nullopt);
    if (ok(status)) {
        instance.reserved = *reserved;
        shard.changed.insert(id);
    }
    return status;
}

void Fleet::releaseReservation(const InstanceId &id, const Resources &amount)
{
    Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    if (const auto found = shard.instances.find(id); found != shard.instances.end()) {
        Resources &reserved = found->second.reserved;
        reserved = subtract(reserved, amount).value_or(Resources{});
        shard.changed.insert(id);
    }
}

Status Fleet::allocate(const InstanceId &id, const Resources &amount)
{
    Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.instances.find(id);
    if (found == shard.instances.end()) {
        return placeError(ErrorCode::NotFound, id, "the instance is unknown");
    }
    Instance &instance = found->second;
    if (instance.departing) {
        return placeError(ErrorCode::Unavailable, id, "the instance is departing");
    }
    const auto allocated = add(instance.allocated, amount);
    Status status = checkFits(instance, allocated);
    if (ok(status)) {
        instance.allocated = *allocated;
        shard.changed.insert(id);
    }
    return status;
}

void Fleet::deallocate(const InstanceId &id, const Resources &amount)
{
    Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    if (const auto found = shard.instances.find(id); found != shard.instances.end()) {
        Resources &allocated = found->second.allocated;
        allocated = subtract(allocated, amount).value_or(Resources{});
        shard.changed.insert(id);
    }
}

std::optional<Instance> Fleet::find(const InstanceId &id) const
{
    const Shard &shard = this->shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.instances.find(id);
    return found == shard.instances.end() ? std::nullopt : std::optional(found->second);
}

std::vector<Instance> Fleet::snapshot() const
{
    std::vector<Instance> all;
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, instance] : shard.instances) {
            all.push_back(instance);
        }
    }
    return all;
}

bool Fleet::couldEverHold(const Resources &amount, const std::string &service) const
{
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, instance] : shard.instances) {
            if (offers(instance, service) && !firstShortage(amount, instance.spec.capacity)) {
                return true;
            }
        }
    }
    return false;
}

std::optional<Dimension> Fleet::shortageOf(const Resources &amount,
                                           const std::string &service) const
{
    std::optional<Dimension> last;
    for (const Instance &instance : this->snapshot()) {
        if (!offers(instance, service)) {
            continue;
        }
        const auto shortage = firstShortage(amount, instance.spec.capacity);
        if (!shortage) {
            return std::nullopt;
        }
        // Dimensions are checked in order, so a later shortage means that more dimensions fit.
        last = last ? std::max(*last, *shortage) : *shortage;
    }
    return last;
}

Resources Fleet::totalCapacity() const
{
    Resources total;
    for (const Instance &instance : this->snapshot()) {
        total = add(total, instance.spec.capacity).value_or(total);
    }
    return total;
}

std::uint64_t Fleet::membershipVersion() const
{
    return this->changes.load();
}

std::vector<Instance> Fleet::takeChanged()
{
    std::vector<Instance> all;
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const InstanceId &id : shard.changed) {
            if (const auto found = shard.instances.find(id); found != shard.instances.end()) {
                all.push_back(found->second);
            }
        }
        shard.changed.clear();
    }
    return all;
}

void Fleet::restore(const Instance &instance)
{
    Shard &shard = this->shardOf(instance.spec.id);
    const std::lock_guard lock(shard.mutex);
    shard.instances[instance.spec.id] = instance;
    ++this->changes;
}

void Fleet::clear()
{
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        shard.instances.clear();
        shard.changed.clear();
    }
    ++this->changes;
}

Fleet::Shard &Fleet::shardOf(const InstanceId &id)
{
    return this->shards.at(std::hash<InstanceId>{}(id) % shardCount);
}

const Fleet::Shard &Fleet::shardOf(const InstanceId &id) const
{
    return this->shards.at(std::hash<InstanceId>{}(id) % shardCount);
}

} // namespace gooseberry
