#pragma once

#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <base/base.h>

namespace gooseberry {

/** The direction in which a connection silently drops bytes. */
enum class DropMode {
    Nothing,
    ToTarget,
    FromTarget,
    Everything,
};

/** Forwards TCP connections to a target and can make existing ones drop bytes. */
class FakeProxy
{
public:
    explicit FakeProxy(const Address &initialTarget);
    ~FakeProxy();

    FakeProxy(const FakeProxy &) = delete;
    FakeProxy &operator=(const FakeProxy &) = delete;

    Address address() const;
    /** Sets the drop mode of existing connections; later connections forward everything. */
    void setDropMode(DropMode mode);

private:
    struct Connection;
    void acceptNext();
    void forward(const std::shared_ptr<Connection> &connection, bool toTarget);

    Address target;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::mutex mutex;
    std::vector<std::shared_ptr<Connection>> connections;
    std::thread thread;
};

} // namespace gooseberry
