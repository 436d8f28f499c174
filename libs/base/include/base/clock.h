#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace gooseberry {

using Duration = std::chrono::steady_clock::duration;

/**
 * Time for deadlines and leases. It never goes back, and it goes on while the machine is suspended.
 * Read it from a Clock: the readings of std::chrono::steady_clock don't count suspended time.
 */
using SteadyTime = std::chrono::steady_clock::time_point;

/** Time for display and logs only. Operators may set it back. */
using WallTime = std::chrono::system_clock::time_point;

/**
 * The time base of the replicated state: milliseconds since the cell was created. The leader
 * stamps every command with it, so all replicas see the same times. It never goes back, also not
 * across a change of leader, and stands still while no leader exists.
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

/** The source of time for everything that holds a lease or a deadline. */
class Clock
{
public:
    virtual ~Clock() = default;

    virtual SteadyTime steadyNow() const = 0;
    virtual WallTime wallNow() const = 0;
};

/** The clock of the machine. */
class SystemClock : public Clock
{
public:
    SteadyTime steadyNow() const override;
    WallTime wallNow() const override;
};

/**
 * A clock that stands still until it is advanced, for tests and recorded sessions. It starts at
 * the epoch of both clocks. Safe for use by several threads.
 */
class ManualClock : public Clock
{
public:
    SteadyTime steadyNow() const override;
    WallTime wallNow() const override;

    /** Moves both times forward. A negative step is ignored, since steady time never goes back. */
    void advance(Duration step);

private:
    mutable std::mutex mutex;
    Duration elapsed{};
};

} // namespace gooseberry
