#include "fake_proxy.h"

#include <array>
#include <atomic>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "raw_socket.h"

namespace gooseberry {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

struct FakeProxy::Connection
{
    explicit Connection(asio::io_context &context)
        : client(context)
        , server(context)
    {
    }

    tcp::socket client;
    tcp::socket server;
    std::array<std::array<char, 16384>, 2> buffers{};
    std::atomic<DropMode> dropMode{DropMode::Nothing};
};

FakeProxy::FakeProxy(const Address &initialTarget)
    : target(initialTarget)
    , acceptor(listenOnLoopback(this->context))
{
    this->acceptNext();
    this->thread = std::thread([this]() { this->context.run(); });
}

FakeProxy::~FakeProxy()
{
    this->context.stop();
    this->thread.join();
}

Address FakeProxy::address() const
{
    return addressOf(this->acceptor);
}

void FakeProxy::setDropMode(DropMode mode)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &connection : this->connections) {
        connection->dropMode.store(mode);
    }
}

void FakeProxy::acceptNext()
{
    const auto connection = std::make_shared<Connection>(this->context);
    this->acceptor.async_accept(connection->client, [this, connection](BoostError error) {
        if (error) {
            return;
        }
        const tcp::endpoint endpoint(asio::ip::make_address(this->target.host), this->target.port);
        connection->server.connect(endpoint, error);
        if (error) {
            connection->client.close(error);
        } else {
            {
                const std::lock_guard lock(this->mutex);
                this->connections.push_back(connection);
            }
            this->forward(connection, true);
            this->forward(connection, false);
        }
        this->acceptNext();
    });
}

void FakeProxy::forward(const std::shared_ptr<Connection> &connection, bool toTarget)
{
    tcp::socket &from = toTarget ? connection->client : connection->server;
    tcp::socket &to = toTarget ? connection->server : connection->client;
    auto &buffer = connection->buffers[toTarget ? 0 : 1];
    from.async_read_some(
        asio::buffer(buffer),
        [this, connection, toTarget, &to, &buffer](BoostError error, std::size_t size) {
            const DropMode mode = connection->dropMode.load();
            const bool dropped = mode == DropMode::Everything
                || mode == (toTarget ? DropMode::ToTarget : DropMode::FromTarget);
            if (error) {
                // A connection that drops bytes doesn't forward its close either.
                if (!dropped) {
                    to.close(error);
                }
                return;
            }
            if (!dropped) {
                asio::write(to, asio::buffer(buffer, size), error);
            }
            this->forward(connection, toTarget);
        });
}

} // namespace gooseberry
