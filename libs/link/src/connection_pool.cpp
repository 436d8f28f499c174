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

std::shared_ptr<PooledConnection> ConnectionPool::takeIdle(AddressPool &pool, std::size_t &closed)
{
    while (!pool.idle.empty()) {
        std::shared_ptr<PooledConnection> connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (isOpenAndSilent(*connection)) {
            return connection;
        }
        --pool.open;
        ++closed;
    }
    return nullptr;
}

bool ConnectionPool::tryTakeSlot()
{
    const std::lock_guard lock(this->slotMutex);
    if (this->usedSlots >= this->limits.maxConnections) {
        return false;
    }
    ++this->usedSlots;
    this->peakSlots = std::max(this->peakSlots, this->usedSlots);
    return true;
}

bool ConnectionPool::closeLeastRecentlyUsed()
{
    std::size_t first = 0;
    {
        const std::lock_guard lock(this->slotMutex);
        first = this->nextSearchedShard++;
    }
    for (std::size_t offset = 0; offset < shardCount; ++offset) {
        Shard &shard = this->shards[(first + offset) % shardCount];
        const std::lock_guard lock(shard.mutex);
        auto oldest = shard.addressPools.end();
        for (auto pool = shard.addressPools.begin(); pool != shard.addressPools.end(); ++pool) {
            if (!pool->second.idle.empty()
                && (oldest == shard.addressPools.end()
                    || pool->second.idle.front()->lastUsedAt
                        < oldest->second.idle.front()->lastUsedAt)) {
                oldest = pool;
            }
        }
        if (oldest != shard.addressPools.end()) {
            AddressPool &pool = oldest->second;
            pool.idle.erase(pool.idle.begin());
            if (--pool.open == 0) {
                shard.addressPools.erase(oldest);
            }
            return true;
        }
    }
    return false;
}

void ConnectionPool::acquireSlot(const Address &address, SteadyTime deadline,
                                 AcquireCallback callback)
{
    if (this->tryTakeSlot() || this->closeLeastRecentlyUsed()) {
        callback(std::make_shared<PooledConnection>(this->context));
        return;
    }
    const auto waiter = std::make_shared<SlotWaiter>();
    waiter->address = address;
    waiter->callback = std::move(callback);
    waiter->timer = std::make_shared<asio::steady_timer>(this->context, deadline);
    waiter->timer->async_wait([self = this->shared_from_this(),
                               weak = std::weak_ptr<SlotWaiter>(waiter)](BoostError error) {
        if (const auto expired = weak.lock(); !error && expired != nullptr) {
            self->onSlotTimeout(expired);
        }
    });
    {
        const std::lock_guard lock(this->slotMutex);
        this->slotWaiters.push_back(waiter);
    }
    // A connection may have become idle, and none closed, since the search.
    if (this->closeLeastRecentlyUsed()) {
        this->releaseSlots(1);
    }
}

void ConnectionPool::releaseSlots(std::size_t count)
{
    std::vector<std::shared_ptr<SlotWaiter>> served;
    {
        const std::lock_guard lock(this->slotMutex);
        for (; count > 0; --count) {
            if (this->slotWaiters.empty()) {
                this->usedSlots -= std::min<std::size_t>(this->usedSlots, 1);
            } else {
                served.push_back(std::move(this->slotWaiters.front()));
                this->slotWaiters.pop_front();
            }
        }
    }
    for (const auto &waiter : served) {
        waiter->timer->cancel();
        waiter->callback(std::make_shared<PooledConnection>(this->context));
    }
}

void ConnectionPool::onSlotTimeout(const std::shared_ptr<SlotWaiter> &expired)
{
    {
        const std::lock_guard lock(this->slotMutex);
        if (std::erase(this->slotWaiters, expired) == 0) {
            return;
        }
    }
    std::shared_ptr<Waiter> next;
    {
        Shard &shard = this->shardOf(expired->address);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.addressPools.find(expired->address);
        if (found != shard.addressPools.end()) {
            AddressPool &pool = found->second;
            if (!pool.waiters.empty()) {
                next = std::move(pool.waiters.front());
                pool.waiters.pop_front();
            } else if (--pool.open == 0) {
                shard.addressPools.erase(found);
            }
        }
    }
    if (next != nullptr) {
        const SteadyTime deadline = next->timer->expiry();
        next->timer->cancel();
        this->acquireSlot(expired->address, deadline, std::move(next->callback));
    }
    expired->callback(acquireError(ErrorCode::Overloaded, expired->address,
                                   "all connections that this process may open are in use"));
}

HttpClientUsage ConnectionPool::usage() const
{
    const std::lock_guard lock(this->slotMutex);
    return HttpClientUsage{.openConnections = this->usedSlots,
                           .peakConnections = this->peakSlots,
                           .waitingRequests = this->slotWaiters.size()};
}

void ConnectionPool::acquire(const Address &address, SteadyTime deadline, AcquireCallback callback)
{
    std::shared_ptr<PooledConnection> connection;
    bool queueFull = false;
    bool needsSlot = false;
    std::size_t closed = 0;
    {
        Shard &shard = this->shardOf(address);
        const std::lock_guard lock(shard.mutex);
        AddressPool &pool = shard.addressPools[address];
        connection = takeIdle(pool, closed);
        needsSlot = connection == nullptr && pool.open < this->limits.maxConnectionsPerAddress;
        pool.open += needsSlot ? 1 : 0;
        queueFull = connection == nullptr && !needsSlot
            && pool.waiters.size() >= this->limits.maxPendingRequests;
        if (connection == nullptr && !needsSlot && !queueFull) {
            auto waiter = std::make_shared<Waiter>();
            waiter->callback = std::move(callback);
            waiter->timer = std::make_shared<asio::steady_timer>(this->context, deadline);
            this->startDeadlineTimer(address, deadline, waiter);
            pool.waiters.push_back(std::move(waiter));
            return;
        }
    }
    if (closed > 0) {
        this->releaseSlots(closed);
    }
    if (queueFull) {
        callback(acquireError(ErrorCode::Overloaded, address,
                              "too many requests are waiting for a connection to this address"));
    } else if (needsSlot) {
        this->acquireSlot(address, deadline, std::move(callback));
    } else {
        callback(std::move(connection));
    }
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
    bool slotsWanted = false;
    {
        const std::lock_guard lock(this->slotMutex);
        slotsWanted = !this->slotWaiters.empty();
    }
    std::shared_ptr<Waiter> next;
    bool slotFree = false;
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
        } else if (connection != nullptr && !slotsWanted) {
            pool.idle.push_back(std::move(connection));
            this->scheduleEviction(address, pool);
        } else {
            connection = nullptr;
            slotFree = true;
            if (--pool.open == 0) {
                shard.addressPools.erase(address);
            }
        }
    }
    if (slotFree) {
        this->releaseSlots(1);
    }
    if (next != nullptr) {
        next->timer->cancel();
        next->callback(std::move(connection));
    }
}

void ConnectionPool::closeIdle(const Address &address, SteadyTime lastUsedBefore)
{
    std::size_t closed = 0;
    {
        Shard &shard = this->shardOf(address);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.addressPools.find(address);
        if (found == shard.addressPools.end()) {
            return;
        }
        AddressPool &pool = found->second;
        closed = std::erase_if(pool.idle, [lastUsedBefore](const auto &connection) {
            return connection->lastUsedAt < lastUsedBefore;
        });
        pool.open -= closed;
        if (pool.open == 0) {
            shard.addressPools.erase(found);
        }
    }
    if (closed > 0) {
        this->releaseSlots(closed);
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
