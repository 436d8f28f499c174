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
 * All worker instances, in shards that each have their own lock. No call holds two locks, so
 * calls for different instances proceed side by side.
 */
class Fleet
{
public:
    /**
     * Adds an instance or replaces what it declared before. What is promised on it stays counted,
     * even when the new size is smaller; then nothing new fits until enough is given back.
     */
    void announce(const InstanceSpec &spec);
    /** Marks the instance as departing. Does nothing for an unknown one. */
    void depart(const InstanceId &id);
    /**
     * Forgets an instance on which nothing is promised; returns whether it did. Reservations do not
     * matter, since only the leader has them and all replicas must forget the same instances.
     */
    bool remove(const InstanceId &id);
    void setReachable(const InstanceId &id, bool reachable);

    /**
     * Sets capacity aside for a decision that is not committed yet. Fails with NotFound,
     * Unavailable (departing or unreachable) or LimitExceeded (names the dimension).
     */
    Status reserve(const InstanceId &id, const Resources &amount);
    void releaseReservation(const InstanceId &id, const Resources &amount);

    /**
     * Counts the amount as promised if it fits next to what is promised already, whatever is
     * reserved. Fails with NotFound, Unavailable (departing) or LimitExceeded.
     */
    Status promise(const InstanceId &id, const Resources &amount);
    void giveBack(const InstanceId &id, const Resources &amount);

    std::optional<Instance> find(const InstanceId &id) const;
    /** Returns all instances, ordered by id within each shard. */
    std::vector<Instance> snapshot() const;
    /** Returns whether some instance that offers the service could hold the amount when empty. */
    bool couldEverHold(const Resources &amount, const std::string &service) const;
    /**
     * Returns a dimension in which the instance that comes closest to holding the amount is too
     * small, or nothing if one could hold it or none offers the service.
     */
    std::optional<Dimension> shortageOf(const Resources &amount, const std::string &service) const;
    /** Returns the sum of the declared sizes of all instances. */
    Resources totalCapacity() const;
    /**
     * Returns a number that grows whenever an instance appears, leaves, or changes in anything but
     * what is in use on it. While it stands, what no instance could hold stays impossible.
     */
    std::uint64_t membershipVersion() const;
    /**
     * Returns the instances whose use changed since the last call, as they are now. Meant for the
     * one scheduler of the fleet, which so refreshes its view without copying all instances.
     */
    std::vector<Instance> takeChanged();

    /** Puts back an instance with its promised amount, when a snapshot is restored. */
    void restore(const Instance &instance);
    void clear();

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<InstanceId, Instance> instances;
        /** Instances whose use changed since takeChanged(). */
        std::set<InstanceId> changed;
    };
    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const InstanceId &id);
    const Shard &shardOf(const InstanceId &id) const;

    std::array<Shard, shardCount> shards;
    std::atomic<std::uint64_t> changes{0};
};

} // namespace gooseberry
