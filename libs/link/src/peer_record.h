#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "link_connection.h"

namespace gooseberry {

/** A request that is waiting for its reply. */
struct PendingCall
{
    PeerNetwork::Callback done;
    std::shared_ptr<std::atomic<SendState>> sendState;
    std::shared_ptr<Link> link;
    std::shared_ptr<boost::asio::steady_timer> timer;
};

/** State of one peer, under its own lock. */
struct PeerRecord
{
    std::mutex mutex;
    /** Set for configured peers, to which this instance connects. */
    std::optional<Address> address;
    /** Links that are ready, newest last. */
    std::vector<std::shared_ptr<Link>> links;
    /** The connection attempt in progress. */
    std::shared_ptr<Link> dialing;
    bool dialScheduled = false;
    std::chrono::milliseconds reconnectDelay{0};
    std::mt19937_64 jitter;
    std::map<std::uint64_t, PendingCall> calls;
    PeerTraffic traffic;
};

/**
 * Cancels the call's request unless it was passed to a socket. Returns NotRun if it was cancelled,
 * otherwise Unknown.
 */
inline Outcome cancelSend(const PendingCall &call)
{
    SendState expected = SendState::Queued;
    return call.sendState->compare_exchange_strong(expected, SendState::Cancelled)
            || expected == SendState::Cancelled
        ? Outcome::NotRun
        : Outcome::Unknown;
}

} // namespace gooseberry
