#include "raw_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace gooseberry {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

RawSocket::RawSocket()
    : socket(this->ioContext)
{
}

bool RawSocket::connect(const Address &address)
{
    BoostError error;
    this->socket.connect(tcp::endpoint(asio::ip::make_address(address.host), address.port), error);
    return !error;
}

bool RawSocket::accept(tcp::acceptor &acceptor, std::chrono::milliseconds limit)
{
    bool accepted = false;
    acceptor.async_accept(this->socket, [&accepted](BoostError error) { accepted = !error; });
    this->ioContext.restart();
    this->ioContext.run_for(limit);
    if (!accepted) {
        acceptor.cancel();
        this->ioContext.restart();
        this->ioContext.run();
    }
    return accepted;
}

void RawSocket::run(std::chrono::milliseconds limit)
{
    this->ioContext.restart();
    this->ioContext.run_for(limit);
    if (!this->ioContext.stopped()) {
        this->socket.cancel();
        this->ioContext.restart();
        this->ioContext.run();
    }
}

bool RawSocket::write(const std::string &bytes)
{
    BoostError error;
    asio::write(this->socket, asio::buffer(bytes), error);
    return !error;
}

bool RawSocket::awaitInput(std::chrono::milliseconds limit)
{
    bool arrived = false;
    this->socket.async_wait(tcp::socket::wait_read,
                            [&arrived](BoostError error) { arrived = !error; });
    this->run(limit);
    return arrived;
}

std::string RawSocket::read(std::size_t size, std::chrono::milliseconds limit)
{
    std::string bytes(size, '\0');
    std::size_t got = 0;
    asio::async_read(this->socket, asio::buffer(bytes),
                     [&got](BoostError, std::size_t count) { got = count; });
    this->run(limit);
    bytes.resize(got);
    return bytes;
}

std::string RawSocket::readUntil(const std::string &end, std::chrono::milliseconds limit)
{
    std::string bytes;
    asio::async_read_until(this->socket, asio::dynamic_buffer(bytes), end,
                           [](BoostError, std::size_t) {});
    this->run(limit);
    return bytes;
}

bool RawSocket::closedWithin(std::chrono::milliseconds limit)
{
    bool ended = false;
    asio::async_read(this->socket, asio::dynamic_buffer(this->remaining),
                     [&ended](BoostError error, std::size_t) {
                         ended = error && error != asio::error::operation_aborted;
                     });
    this->run(limit);
    return ended;
}

void RawSocket::shutdownSend()
{
    BoostError ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void RawSocket::close()
{
    BoostError ignored;
    this->socket.close(ignored);
}

void RawSocket::reset()
{
    BoostError ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
}

tcp::acceptor listenOnLoopback(asio::io_context &context)
{
    return tcp::acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
}

Address addressOf(const tcp::acceptor &acceptor)
{
    return Address{.host = "127.0.0.1", .port = acceptor.local_endpoint().port()};
}

} // namespace gooseberry
