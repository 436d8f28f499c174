#pragma once

#include <map>
#include <mutex>

#include <base/base.h>

namespace gooseberry {

/** What the runs of each customer hold across all upstreams. Safe for several threads. */
class CustomerLedger
{
public:
    /** Adds the amount unless that passes the limit, in which a dimension of 0 has no bound. */
    bool tryReserve(const CustomerId &customer, const Resources &amount, const Resources &limit);
    /** Adds the amount in any case, for runs that exist already. */
    void reserve(const CustomerId &customer, const Resources &amount);
    void release(const CustomerId &customer, const Resources &amount);
    Resources held(const CustomerId &customer) const;

private:
    mutable std::mutex mutex;
    std::map<CustomerId, Resources> amounts;
};

} // namespace gooseberry
