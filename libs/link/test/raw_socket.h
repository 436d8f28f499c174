#pragma once

#include <chrono>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <base/base.h>

namespace gooseberry {

/** A TCP connection for raw bytes. Every operation with a limit returns within it. */
class RawSocket
{
public:
    RawSocket();

    bool connect(const Address &address);
    /** Accepts the next connection of the acceptor, which must use context(). */
    bool accept(boost::asio::ip::tcp::acceptor &acceptor, std::chrono::milliseconds limit);
    bool write(const std::string &bytes);
    /** Waits until input is available, without reading it. */
    bool awaitInput(std::chrono::milliseconds limit);
    /** Reads this many bytes; fewer when the connection closes or the limit passes. */
    std::string read(std::size_t size, std::chrono::milliseconds limit);
    /** Reads up to and including the given bytes; returns everything read. */
    std::string readUntil(const std::string &end, std::chrono::milliseconds limit);
    /** Reads until the peer closes; returns whether it did within the limit. */
    bool closedWithin(std::chrono::milliseconds limit);
    /** Returns everything that closedWithin() read. */
    const std::string &rest() const
    {
        return this->remaining;
    }
    /** Shuts down the sending direction only. */
    void shutdownSend();
    void close();
    /** Closes with a TCP reset, which discards what the peer has not read. */
    void reset();
    boost::asio::io_context &context()
    {
        return this->ioContext;
    }

private:
    /** Runs the pending operation until it completes or the limit passes. */
    void run(std::chrono::milliseconds limit);

    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::socket socket;
    std::string remaining;
};

/** Listens on a free port of the loopback address. */
boost::asio::ip::tcp::acceptor listenOnLoopback(boost::asio::io_context &context);
Address addressOf(const boost::asio::ip::tcp::acceptor &acceptor);

} // namespace gooseberry
