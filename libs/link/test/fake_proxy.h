#pragma once

#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <base/base.h>

namespace gooseberry {

/** Which bytes a connection loses without any error. */
enum class DropMode {
    Nothing,
    ToTarget,
    FromTarget,
    Everything,
};

/** Passes connections on to a target and can make the present ones dropMode bytes. */
class FakeProxy
{
public:
    explicit FakeProxy(const Address &initialTarget);
    ~FakeProxy();

    FakeProxy(const FakeProxy &) = delete;
    FakeProxy &operator=(const FakeProxy &) = delete;

    Address address() const;
    /** Changes what the connections that exist now dropMode; later ones pass everything. */
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
