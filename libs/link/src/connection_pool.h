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

/** A connection that one request at a time uses. Its socket runs on a strand of its own. */
struct PooledConnection
{
    explicit PooledConnection(boost::asio::io_context &context);

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /** False until the first request on it has got its response. */
    bool reused = false;
    SteadyTime lastUsedAt;
};

/** The connections to each address, in shards that each have their own lock. */
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    using AcquireCallback = std::function<void(Result<std::shared_ptr<PooledConnection>>)>;

    ConnectionPool(boost::asio::io_context &initialContext, const HttpClientLimits &initialLimits);

    /**
     * Grants a connection, which is not connected unless reused is set. Without a free one the
     * request waits; an error means that it did not get one by the deadline, or that too many
     * others wait.
     */
    void acquire(const Address &address, SteadyTime deadline, AcquireCallback callback);
    /** Gives a connection back; one that isn't reusable is closed. */
    void release(const Address &address, std::shared_ptr<PooledConnection> connection,
                 bool reusable);
    /** Closes idle connections that were last used before the time. */
    void closeIdle(const Address &address, SteadyTime lastUsedBefore);

private:
    struct Waiter
    {
        AcquireCallback callback;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct AddressPool
    {
        std::size_t open = 0;
        /** The most recently used connection is last and is reused first. */
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
    /** Takes an idle connection that still looks open; null without one. */
    static std::shared_ptr<PooledConnection> takeIdle(AddressPool &pool);
    void startDeadlineTimer(const Address &address, SteadyTime deadline,
                            const std::shared_ptr<Waiter> &waiter);
    void scheduleEviction(const Address &address, AddressPool &pool);
    void evictIdle(const Address &address);

    boost::asio::io_context &context;
    HttpClientLimits limits;
    std::array<Shard, shardCount> shards;
};

} // namespace gooseberry
