#include "connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include <boost/asio/strand.hpp>

namespace gooseberry {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

namespace {

/** Returns whether the connection is open without unread input, as an idle one must be. */
bool isOpenAndSilent(PooledConnection &connection)
{
    char byte = 0;
    const auto got = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Error acquireError(ErrorCode code, const Address &address, const std::string &message)
{
    return Error{.code = code,
                 .step = Step::Send,
                 .peer = toString(address),
                 .message = message,
                 .outcome = Outcome::NotRun};
}

} // namespace

PooledConnection::PooledConnection(asio::io_context &context)
    : socket(asio::make_strand(context))
{
}

ConnectionPool::ConnectionPool(asio::io_context &initialContext,
                               const HttpClientLimits &initialLimits)
    : context(initialContext)
    , limits(initialLimits)
{
}

ConnectionPool::Shard &ConnectionPool::shardOf(const Address &address)
{
    const std::size_t hash = std::hash<std::string>{}(address.host) + address.port;
    return this->shards[hash % shardCount];
}

std::shared_ptr<PooledConnection> ConnectionPool::takeIdle(AddressPool &pool)
{
    while (!pool.idle.empty()) {
        std::shared_ptr<PooledConnection> connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (isOpenAndSilent(*connection)) {
            return connection;
        }
        --pool.open;
    }
    return nullptr;
}

void ConnectionPool::acquire(const Address &address, SteadyTime deadline, AcquireCallback callback)
{
    std::shared_ptr<PooledConnection> connection;
    bool queueFull = false;
    {
        Shard &shard = this->shardOf(address);
        const std::lock_guard lock(shard.mutex);
        AddressPool &pool = shard.addressPools[address];
        connection = takeIdle(pool);
        if (connection == nullptr && pool.open < this->limits.maxConnectionsPerAddress) {
            ++pool.open;
            connection = std::make_shared<PooledConnection>(this->context);
        }
        queueFull = connection == nullptr && pool.waiters.size() >= this->limits.maxPendingRequests;
        if (connection == nullptr && !queueFull) {
            auto waiter = std::make_shared<Waiter>();
            waiter->callback = std::move(callback);
            waiter->timer = std::make_shared<asio::steady_timer>(this->context, deadline);
            this->startDeadlineTimer(address, deadline, waiter);
            pool.waiters.push_back(std::move(waiter));
            return;
        }
    }
    if (queueFull) {
        callback(acquireError(ErrorCode::Overloaded, address,
                              "too many requests are waiting for a connection to this address"));
        return;
    }
    callback(std::move(connection));
}

void ConnectionPool::startDeadlineTimer(const Address &address, SteadyTime deadline,
                                        const std::shared_ptr<Waiter> &waiter)
{
    waiter->timer->expires_at(deadline);
    waiter->timer->async_wait([self = this->shared_from_this(), address,
                               weak = std::weak_ptr<Waiter>(waiter)](BoostError error) {
        const std::shared_ptr<Waiter> expired = weak.lock();
        if (error || expired == nullptr) {
            return;
        }
        {
            Shard &shard = self->shardOf(address);
            const std::lock_guard lock(shard.mutex);
            const auto pool = shard.addressPools.find(address);
            if (pool == shard.addressPools.end()
                || std::erase(pool->second.waiters, expired) == 0) {
                return;
            }
        }
        expired->callback(acquireError(ErrorCode::DeadlineExceeded, address,
                                       "no connection to this address became free in time"));
    });
}

void ConnectionPool::release(const Address &address, std::shared_ptr<PooledConnection> connection,
                             bool reusable)
{
    if (!reusable) {
        BoostError ignored;
        connection->socket.close(ignored);
        connection = nullptr;
    } else {
        connection->reused = true;
        connection->lastUsedAt = std::chrono::steady_clock::now();
    }
    std::shared_ptr<Waiter> next;
    {
        Shard &shard = this->shardOf(address);
        const std::lock_guard lock(shard.mutex);
        AddressPool &pool = shard.addressPools[address];
        if (!pool.waiters.empty()) {
            next = std::move(pool.waiters.front());
            pool.waiters.pop_front();
            if (connection == nullptr) {
                connection = std::make_shared<PooledConnection>(this->context);
            }
        } else if (connection != nullptr) {
            pool.idle.push_back(std::move(connection));
            this->scheduleEviction(address, pool);
        } else if (--pool.open == 0) {
            shard.addressPools.erase(address);
        }
    }
    if (next != nullptr) {
        next->timer->cancel();
        next->callback(std::move(connection));
    }
}

void ConnectionPool::closeIdle(const Address &address, SteadyTime lastUsedBefore)
{
    Shard &shard = this->shardOf(address);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.addressPools.find(address);
    if (found == shard.addressPools.end()) {
        return;
    }
    AddressPool &pool = found->second;
    pool.open -= std::erase_if(pool.idle, [lastUsedBefore](const auto &connection) {
        return connection->lastUsedAt < lastUsedBefore;
    });
    if (pool.open == 0) {
        shard.addressPools.erase(found);
    }
}

void ConnectionPool::scheduleEviction(const Address &address, AddressPool &pool)
{
    if (pool.evictionScheduled) {
        return;
    }
    pool.evictionScheduled = true;
    const auto timer
        = std::make_shared<asio::steady_timer>(this->context, this->limits.idleTimeout);
    timer->async_wait([weak = this->weak_from_this(), timer, address](BoostError error) {
        const std::shared_ptr<ConnectionPool> self = weak.lock();
        if (!error && self != nullptr) {
            self->evictIdle(address);
        }
    });
}

void ConnectionPool::evictIdle(const Address &address)
{
    this->closeIdle(address, std::chrono::steady_clock::now() - this->limits.idleTimeout);
    Shard &shard = this->shardOf(address);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.addressPools.find(address);
    if (found == shard.addressPools.end()) {
        return;
    }
    found->second.evictionScheduled = false;
    if (!found->second.idle.empty()) {
        this->scheduleEviction(address, found->second);
    }
}

} // namespace gooseberry
