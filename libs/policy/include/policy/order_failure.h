#pragma once

#include <cstddef>

#include <base/base.h>

namespace gooseberry {

/** Where an order to a worker failed. */
enum class OrderFailure {
    Sender, ///< This process lacked a descriptor, memory or its lease; the worker saw nothing.
    Shared, ///< Many workers failed at once, so a link or this process is the likely cause.
    Worker,
};

/** Orders within a short time, which show whether a failure is that of one worker. */
struct RecentOrders
{
    std::size_t workersUsable = 0;
    /** Different workers whose orders failed, including the one to be judged. */
    std::size_t workersFailed = 0;
};

/**
 * Attributes the failure of an order. It answers a burst in which the leader runs out of
 * descriptors or processor time: every worker then seems silent, and avoiding them takes the whole
 * fleet out of use.
 */
OrderFailure attributeOrderFailure(const Error &error, const RecentOrders &recent);

} // namespace gooseberry
