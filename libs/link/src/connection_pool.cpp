#include "connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include <boost/asio/strand.hpp>

namespace gooseberry {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCodeValue = boost::system::error_code;

namespace {

/** Returns whether the connection is open and silent, as one that waits for a request must be. */
bool looksOpen(PooledConnection &connection)
{
    char byte = 0;
    const auto got = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Error waitError(ErrorCode code, const Address &address, const std::string &message)
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

std::shared_ptr<PooledConnection> ConnectionPool::takeIdle(Station &station)
{
    while (!station.idle.empty()) {
        std::shared_ptr<PooledConnection> connection = std::move(station.idle.back());
        station.idle.pop_back();
        if (looksOpen(*connection)) {
            return connection;
        }
        --station.open;
    }
    return nullptr;
}

void ConnectionPool::acquire(const Address &address, SteadyTime deadline, Grant grant)
{
    std::shared_ptr<PooledConnection> connection;
    bool full = false;
    {
        Shard &shard = this->shardOf(address);
        const std::lock_guard lock(shard.mutex);
        Station &station = shard.stations[address];
        connection = takeIdle(station);
        if (connection == nullptr && station.open < this->limits.maxConnectionsPerAddress) {
            ++station.open;
            connection = std::make_shared<PooledConnection>(this->context);
        }
        full = connection == nullptr && station.waiting.size() >= this->limits.maxWaiting;
        if (connection == nullptr && !full) {
            auto waiting = std::make_shared<Waiting>();
            waiting->grant = std::move(grant);
            waiting->timer = std::make_shared<asio::steady_timer>(this->context, deadline);
            this->wait(address, deadline, waiting);
            station.waiting.push_back(std::move(waiting));
            return;
        }
    }
    if (full) {
        grant(waitError(ErrorCode::Overloaded, address, "too many requests wait for this address"));
        return;
    }
    grant(std::move(connection));
}

void ConnectionPool::wait(const Address &address, SteadyTime deadline,
                          const std::shared_ptr<Waiting> &waiting)
{
    waiting->timer->expires_at(deadline);
    waiting->timer->async_wait([self = this->shared_from_this(), address,
                                weak = std::weak_ptr<Waiting>(waiting)](ErrorCodeValue error) {
        const std::shared_ptr<Waiting> late = weak.lock();
        if (error || late == nullptr) {
            return;
        }
        {
            Shard &shard = self->shardOf(address);
            const std::lock_guard lock(shard.mutex);
            const auto station = shard.stations.find(address);
            if (station == shard.stations.end() || std::erase(station->second.waiting, late) == 0) {
                return;
            }
        }
        late->grant(waitError(ErrorCode::DeadlineExceeded, address,
                              "no connection to this address became free in time"));
    });
}

void ConnectionPool::release(const Address &address, std::shared_ptr<PooledConnection> connection,
                             bool reusable)
{
    if (!reusable) {
        ErrorCodeValue ignored;
        connection->socket.close(ignored);
        connection = nullptr;
    } else {
        connection->reused = true;
        connection->usedAt = std::chrono::steady_clock::now();
    }
    std::shared_ptr<Waiting> next;
    {
        Shard &shard = this->shardOf(address);
        const std::lock_guard lock(shard.mutex);
        Station &station = shard.stations[address];
        if (!station.waiting.empty()) {
            next = std::move(station.waiting.front());
            station.waiting.pop_front();
            if (connection == nullptr) {
                connection = std::make_shared<PooledConnection>(this->context);
            }
        } else if (connection != nullptr) {
            station.idle.push_back(std::move(connection));
            this->scheduleSweep(address, station);
        } else if (--station.open == 0) {
            shard.stations.erase(address);
        }
    }
    if (next != nullptr) {
        next->timer->cancel();
        next->grant(std::move(connection));
    }
}

void ConnectionPool::discardIdle(const Address &address, SteadyTime usedBefore)
{
    Shard &shard = this->shardOf(address);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.stations.find(address);
    if (found == shard.stations.end()) {
        return;
    }
    Station &station = found->second;
    station.open -= std::erase_if(station.idle, [usedBefore](const auto &connection) {
        return connection->usedAt < usedBefore;
    });
    if (station.open == 0) {
        shard.stations.erase(found);
    }
}

void ConnectionPool::scheduleSweep(const Address &address, Station &station)
{
    if (station.sweepScheduled) {
        return;
    }
    station.sweepScheduled = true;
    const auto timer = std::make_shared<asio::steady_timer>(this->context, this->limits.idleLimit);
    timer->async_wait([weak = this->weak_from_this(), timer, address](ErrorCodeValue error) {
        const std::shared_ptr<ConnectionPool> self = weak.lock();
        if (!error && self != nullptr) {
            self->sweep(address);
        }
    });
}

void ConnectionPool::sweep(const Address &address)
{
    this->discardIdle(address, std::chrono::steady_clock::now() - this->limits.idleLimit);
    Shard &shard = this->shardOf(address);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.stations.find(address);
    if (found == shard.stations.end()) {
        return;
    }
    found->second.sweepScheduled = false;
    if (!found->second.idle.empty()) {
        this->scheduleSweep(address, found->second);
    }
}

} // namespace gooseberry
