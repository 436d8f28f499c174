#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <link/http_client.h>

namespace gooseberry {

/** A connection that serves one request at a time. Its socket runs on its own strand. */
struct PooledConnection
{
    explicit PooledConnection(boost::asio::io_context &context);

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /** False until the first request on this connection has received its response. */
    bool reused = false;
    SteadyTime lastUsedAt;
};

/**
 * Connections to each address, in shards that each have their own lock, and the slots that bound
 * the number of all connections.
 */
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    using AcquireCallback = std::function<void(Result<std::shared_ptr<PooledConnection>>)>;

    ConnectionPool(boost::asio::io_context &initialContext, const HttpClientLimits &initialLimits);

    /**
     * Passes a connection to the callback. It is not connected yet unless reused is set. When all
     * connections are in use, the request waits. The callback receives an error when no connection
     * is free by the deadline or too many requests are waiting already; its code is Overloaded if
     * the number of all connections was the reason.
     */
    void acquire(const Address &address, SteadyTime deadline, AcquireCallback callback);
    /** Returns a connection to the pool; closes it when it isn't reusable. */
    void release(const Address &address, std::shared_ptr<PooledConnection> connection,
                 bool reusable);
    /** Closes idle connections that were last used before the given time. */
    void closeIdle(const Address &address, SteadyTime lastUsedBefore);
    HttpClientUsage usage() const;

private:
    /** A request that waits for a connection. */
    struct Waiter
    {
        AcquireCallback callback;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    /** A request that counts as a connection of its address and waits for a slot. */
    struct SlotWaiter
    {
        Address address;
        AcquireCallback callback;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    /** The connections to one address. */
    struct AddressPool
    {
        /** The number of connections in use or idle. */
        std::size_t open = 0;
        /** Ordered by last use; the most recently used connection is last and reused first. */
        std::vector<std::shared_ptr<PooledConnection>> idle;
        std::deque<std::shared_ptr<Waiter>> waiters;
        bool evictionScheduled = false;
    };
    struct Shard
    {
        std::mutex mutex;
        std::map<Address, AddressPool> addressPools;
    };
    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const Address &address);
    /**
     * Removes and returns an idle connection that still appears open, or null. Adds the number of
     * removed connections that have closed to the given one.
     */
    static std::shared_ptr<PooledConnection> takeIdle(AddressPool &pool, std::size_t &closed);
    /** Takes a slot, if necessary that of an idle connection, and passes a new connection. */
    void acquireSlot(const Address &address, SteadyTime deadline, AcquireCallback callback);
    bool tryTakeSlot();
    /** Gives slots to requests that wait for one, or frees them. */
    void releaseSlots(std::size_t count);
    /**
     * Closes a connection of some shard that was idle for longest there and leaves its slot to the
     * caller. Returns whether there was one.
     */
    bool closeLeastRecentlyUsed();
    void onSlotTimeout(const std::shared_ptr<SlotWaiter> &expired);
    void startDeadlineTimer(const Address &address, SteadyTime deadline,
                            const std::shared_ptr<Waiter> &waiter);
    void scheduleEviction(const Address &address, AddressPool &pool);
    void evictIdle(const Address &address);

    boost::asio::io_context &context;
    HttpClientLimits limits;
    std::array<Shard, shardCount> shards;

    mutable std::mutex slotMutex; ///< Guards the members below; never held with a shard's lock.
    std::size_t usedSlots = 0;
    std::size_t peakSlots = 0;
    std::deque<std::shared_ptr<SlotWaiter>> slotWaiters;
    /** The shard at which the next search for an idle connection begins. */
    std::size_t nextSearchedShard = 0;
};

} // namespace gooseberry
