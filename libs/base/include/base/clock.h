#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace gooseberry {

using Duration = std::chrono::steady_clock::duration;

/**
 * Monotonic time for deadlines and leases, which includes time while the machine is suspended. Read
 * it from a Clock: std::chrono::steady_clock::now() doesn't count suspended time.
 */
using SteadyTime = std::chrono::steady_clock::time_point;

/** Time for display and logs only. Not monotonic: operators may set it back. */
using WallTime = std::chrono::system_clock::time_point;

/**
 * The time base of the replicated state: milliseconds since the cell was created. The leader
 * stamps every command with it, so that all replicas see the same times. It is monotonic across
 * leader changes and doesn't advance while there is no leader.
 */
struct CellClock
{
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CellClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};
using CellTime = CellClock::time_point;

/** The time source for all code that uses leases or deadlines. */
class Clock
{
public:
    virtual ~Clock() = default;

    virtual SteadyTime steadyNow() const = 0;
    virtual WallTime wallNow() const = 0;
};

/** Reads the clocks of the operating system. */
class SystemClock : public Clock
{
public:
    SteadyTime steadyNow() const override;
    WallTime wallNow() const override;
};

/**
 * A clock that changes only when it is advanced, for tests and recorded sessions. It starts at
 * the epoch of both clocks. Thread-safe.
 */
class ManualClock : public Clock
{
public:
    SteadyTime steadyNow() const override;
    WallTime wallNow() const override;

    /** Advances both clocks. A negative step is ignored, since steady time is monotonic. */
    void advance(Duration step);

private:
    mutable std::mutex mutex;
    Duration elapsed{};
};

} // namespace gooseberry
