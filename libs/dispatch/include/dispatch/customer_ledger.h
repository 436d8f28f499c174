#pragma once

#include <map>
#include <mutex>

#include <base/base.h>

namespace gooseberry {

/** The resources that the runs of each customer reserve, summed over all upstreams. Thread-safe. */
class CustomerLedger
{
public:
    /**
     * Adds the amount and returns true, unless the sum exceeds the limit. A 0 in the limit means
     * that this resource is not limited.
     */
    bool tryReserve(const CustomerId &customer, const Resources &amount, const Resources &limit);
    /** Returns whether the amount could be added now without exceeding the limit. */
    bool fits(const CustomerId &customer, const Resources &amount, const Resources &limit) const;
    /** Adds the amount without checking a limit, for runs that exist already. */
    void reserve(const CustomerId &customer, const Resources &amount);
    void release(const CustomerId &customer, const Resources &amount);
    Resources held(const CustomerId &customer) const;

private:
    mutable std::mutex mutex;
    std::map<CustomerId, Resources> amounts;
};

} // namespace gooseberry
