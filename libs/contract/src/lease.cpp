#include <contract/lease.h>

namespace gooseberry {

SteadyTime holderExpiry(const Lease &lease)
{
    return lease.grantedAt + lease.length;
}

SteadyTime granterExpiry(const Lease &lease)
{
    const auto drift = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(static_cast<double>(lease.length.count())
                                                  * maxClockDrift));
    return lease.grantedAt + lease.length + drift + leaseMargin;
}

} // namespace gooseberry
