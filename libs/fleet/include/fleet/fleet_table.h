#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include <base/base.h>
#include <fleet/failure_domain.h>
#include <fleet/instance.h>

namespace gooseberry {

/**
 * All worker instances, in shards with a lock each. No call holds two locks, so calls for
 * instances in different shards run in parallel.
 */
class Fleet
{
public:
    /**
     * Adds an instance or replaces its declaration. Its allocated resources stay counted even if
     * the new capacity is smaller; then nothing more fits until enough is deallocated.
     */
    void announce(const InstanceSpec &spec);
    /** Marks the instance as departing. Does nothing for an unknown one. */
    void depart(const InstanceId &id);
    /**
     * Removes an instance without allocated resources; returns whether it did. Reservations are
     * ignored, since only the leader has them and all replicas must remove the same instances.
     */
    bool remove(const InstanceId &id);
    void setReachable(const InstanceId &id, bool reachable);

    /**
     * Reserves capacity for a decision that is not committed yet. Fails with NotFound,
     * Unavailable (departing or unreachable) or LimitExceeded, naming the dimension.
     */
    Status reserve(const InstanceId &id, const Resources &amount);
    void releaseReservation(const InstanceId &id, const Resources &amount);

    /**
     * Allocates the amount if it fits in addition to the allocated resources, regardless of
     * reservations. Fails with NotFound, Unavailable (departing) or LimitExceeded.
     */
    Status allocate(const InstanceId &id, const Resources &amount);
    void deallocate(const InstanceId &id, const Resources &amount);

    std::optional<Instance> find(const InstanceId &id) const;
    /** Returns all instances, ordered by id within each shard. */
    std::vector<Instance> snapshot() const;
    /** Returns whether any instance that offers the service has the capacity for the amount. */
    bool couldEverHold(const Resources &amount, const std::string &service) const;
    /**
     * Returns the dimension in which the instance that comes closest to fitting the amount is too
     * small, or nothing if one fits it or none offers the service.
     */
    std::optional<Dimension> shortageOf(const Resources &amount, const std::string &service) const;
    /** Returns the sum of the declared capacities of all instances. */
    Resources totalCapacity() const;
    /**
     * Returns a number that increases whenever an instance is added or removed, or changes in
     * anything but its allocated and reserved resources. As long as it is unchanged, an amount that
     * exceeded the capacity of every instance still does.
     */
    std::uint64_t membershipVersion() const;
    /**
     * Returns the current state of the instances whose allocated or reserved resources changed
     * since the last call. For the one scheduler of the fleet only, which refreshes its view with
     * it instead of copying all instances.
     */
    std::vector<Instance> takeChanged();

    /** Restores an instance with its allocated resources from a snapshot. */
    void restore(const Instance &instance);
    void clear();

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<InstanceId, Instance> instances;
        /** Instances whose allocated or reserved resources changed since takeChanged(). */
        std::set<InstanceId> changed;
    };
    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const InstanceId &id);
    const Shard &shardOf(const InstanceId &id) const;

    std::array<Shard, shardCount> shards;
    std::atomic<std::uint64_t> changes{0};
};

} // namespace gooseberry
