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

/** A request whose reply is awaited. */
struct PendingCall
{
    PeerNetwork::Callback done;
    std::shared_ptr<std::atomic<SendState>> sendState;
    std::shared_ptr<Link> link;
    std::shared_ptr<boost::asio::steady_timer> timer;
};

/** What this instance knows of one other instance, under its own lock. */
struct PeerRecord
{
    std::mutex mutex;
    /** Set for a configured peer, to which this instance connects. */
    std::optional<Address> address;
    /** Links that are ready, the newest last. */
    std::vector<std::shared_ptr<Link>> links;
    /** The attempt to connect that is under way. */
    std::shared_ptr<Link> dialing;
    bool dialScheduled = false;
    std::chrono::milliseconds reconnectDelay{0};
    std::mt19937_64 jitter;
    std::map<std::uint64_t, PendingCall> calls;
    PeerTraffic traffic;
};

/**
 * Takes back the call's request if it was not handed to a socket, and returns what is certain:
 * NotRun if it was taken back, otherwise Unknown.
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
