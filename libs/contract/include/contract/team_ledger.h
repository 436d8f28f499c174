#pragma once

#include <array>
#include <map>
#include <mutex>
#include <vector>

#include <base/base.h>
#include <contract/limit.h>

namespace gooseberry {

/** The running and reserved resources of a team, read under one lock. */
struct TeamUsage
{
    TeamId team;
    Resources running;
    Resources reserved;
};

/**
 * Counts the resources that each team uses, in shards with a lock each. Running amounts follow the
 * committed log; reserved amounts are the leader's decisions that are not committed yet.
 */
class TeamLedger
{
public:
    /**
     * Reserves the amount if running, reserved and the amount together stay within the limit.
     * Fails with LimitExceeded, naming the dimension.
     */
    Status reserve(const TeamId &team, const Resources &amount, const Limit &limit);
    void releaseReservation(const TeamId &team, const Resources &amount);

    /** Counts the amount as running if the limit allows it, regardless of reservations. */
    Status addRunning(const TeamId &team, const Resources &amount, const Limit &limit);
    void removeRunning(const TeamId &team, const Resources &amount);

    TeamUsage usage(const TeamId &team) const;
    std::vector<TeamUsage> allUsage() const;

    /** Removes all accounts, before a snapshot is restored. */
    void clear();

private:
    struct Account
    {
        Resources running;
        Resources reserved;
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<TeamId, Account> accounts;
    };
    static constexpr std::size_t shardCount = 8;

    Shard &shardOf(const TeamId &team);
    const Shard &shardOf(const TeamId &team) const;

    std::array<Shard, shardCount> shards;
};

} // namespace gooseberry
