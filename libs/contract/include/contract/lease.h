#pragma once

#include <chrono>

#include <base/base.h>

namespace gooseberry {

/**
 * A grant that expires by itself. The holder measures the length from its request and the granter
 * from its reply, so the lease always expires for the holder first.
 */
struct Lease
{
    InstanceId holder;
    SteadyTime grantedAt;
    std::chrono::milliseconds length{0};
};

/** The largest assumed relative difference between the rates of two machines' steady clocks. */
constexpr double maxClockDrift = 0.01;
/** Covers the scheduling delay between reading a clock and acting on its time. */
constexpr std::chrono::milliseconds leaseMargin{200};

/** Returns when the lease expires for the holder, by its own clock. */
SteadyTime holderExpiry(const Lease &lease);

/**
 * Returns from when on the granter may rely on the holder having stopped. Includes maxClockDrift
 * and leaseMargin, for a holder with a slower clock.
 */
SteadyTime granterExpiry(const Lease &lease);

} // namespace gooseberry
