#pragma once

#include <chrono>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <base/base.h>

namespace gooseberry {

/** A plain TCP connection whose bytes a test chooses. Every step ends within its limit. */
class RawSocket
{
public:
    RawSocket();

    bool connect(const Address &address);
    /** Takes the next connection of the acceptor, which must use context(). */
    bool accept(boost::asio::ip::tcp::acceptor &acceptor, std::chrono::milliseconds limit);
    bool write(const std::string &bytes);
    /** Waits until bytes have arrived, without reading them. */
    bool awaitInput(std::chrono::milliseconds limit);
    /** Reads this many bytes; fewer when the connection ends or the limit passes. */
    std::string read(std::size_t size, std::chrono::milliseconds limit);
    /** Reads until the given bytes were read; returns all that was read. */
    std::string readUntil(const std::string &end, std::chrono::milliseconds limit);
    /** Reads until the other end closes; returns whether it did within the limit. */
    bool closedWithin(std::chrono::milliseconds limit);
    /** Everything that closedWithin() read. */
    const std::string &rest() const
    {
        return this->remaining;
    }
    /** Ends the sending direction only. */
    void shutdownSend();
    void close();
    /** Closes with a reset, so that the other end loses what it has not read. */
    void reset();
    boost::asio::io_context &context()
    {
        return this->ioContext;
    }

private:
    /** Runs the operation that was started until it has ended or the limit has passed. */
    void run(std::chrono::milliseconds limit);

    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::socket socket;
    std::string remaining;
};

/** Listens on a free port of the loopback address. */
boost::asio::ip::tcp::acceptor listenOnLoopback(boost::asio::io_context &context);
Address addressOf(const boost::asio::ip::tcp::acceptor &acceptor);

} // namespace gooseberry
