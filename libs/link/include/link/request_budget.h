#pragma once

#include <cstdint>
#include <memory>
#include <mutex>

#include <base/base.h>

namespace gooseberry {

/** Bounds for the memory that the requests of one process hold together. */
struct RequestMemoryLimits
{
    Bytes all{24LL * 1024 * 1024};
    /**
     * What requests above smallRequest may hold together. Less than all, so that small requests
     * find room whatever large or slow ones hold.
     */
    Bytes large{12LL * 1024 * 1024};
    /** A request that holds at most this counts as small. */
    Bytes smallRequest{16LL * 1024};
};

/** The memory that the requests of one process hold. */
struct RequestMemoryUse
{
    Bytes all{0};
    /** The part held by requests above RequestMemoryLimits::smallRequest. */
    Bytes large{0};

    bool operator==(const RequestMemoryUse &other) const = default;
};

/** Returns the limits for a total, half of which is for large requests. */
RequestMemoryLimits requestMemoryLimits(Bytes all);

/** Returns the use once a request that holds `before` holds `after`. */
RequestMemoryUse useAfterChange(const RequestMemoryLimits &limits, const RequestMemoryUse &use,
                                Bytes before, Bytes after);

/** Returns whether a request that holds `before` may hold `after`. Holding less is always allowed.
 */
bool mayChange(const RequestMemoryLimits &limits, const RequestMemoryUse &use, Bytes before,
               Bytes after);

/** Counts the memory of all requests of a process. Shared by its HTTP servers; thread-safe. */
class RequestBudget
{
public:
    explicit RequestBudget(RequestMemoryLimits limits);

    /** Counts the change and returns true, or returns false if there is no room for it. */
    bool change(Bytes before, Bytes after);
    RequestMemoryUse use() const;
    /** How many changes were refused since the start. */
    std::uint64_t refusals() const;

private:
    const RequestMemoryLimits limits;
    mutable std::mutex mutex;
    RequestMemoryUse current;
    std::uint64_t refused = 0;
};

/** What one request holds. Gives it back when destroyed. Not thread-safe. */
class RequestCharge
{
public:
    explicit RequestCharge(std::shared_ptr<RequestBudget> initialBudget);
    ~RequestCharge();

    RequestCharge(const RequestCharge &) = delete;
    RequestCharge &operator=(const RequestCharge &) = delete;

    /** Returns false, and keeps the present amount, if there is no room. */
    bool set(Bytes amount);

private:
    std::shared_ptr<RequestBudget> budget;
    Bytes held{0};
};

} // namespace gooseberry
