#pragma once

#include <chrono>

#include <base/base.h>

namespace gooseberry {

/**
 * A promise that ends by itself. The holder counts from the moment it knownKeys, the granter from
 * the moment it answered, so the holder always stops first.
 */
struct Lease
{
    InstanceId holder;
    SteadyTime grantedAt;
    std::chrono::milliseconds length{0};
};

/** How far the rates of two machines' steady clocks may differ. */
constexpr double maxClockDrift = 0.01;
/** Covers scheduling delay between reading a clock and acting on it. */
constexpr std::chrono::milliseconds leaseMargin{200};

/** Returns when the holder must have stopped by its own clock. */
SteadyTime holderExpiry(const Lease &lease);

/** Returns when the granter may rely on the holder having stopped, by the slower of two clocks. */
SteadyTime granterExpiry(const Lease &lease);

} // namespace gooseberry
