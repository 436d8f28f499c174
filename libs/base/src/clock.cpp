#include <base/clock.h>

#include <ctime>

namespace gooseberry {

SteadyTime SystemClock::steadyNow() const
{
    // CLOCK_MONOTONIC stops while the machine is suspended, but leases must still expire.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return SteadyTime(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

SteadyTime ManualClock::steadyNow() const
{
    const std::lock_guard lock(this->mutex);
    return SteadyTime(this->elapsed);
}

WallTime ManualClock::wallNow() const
{
    const std::lock_guard lock(this->mutex);
    return WallTime(std::chrono::duration_cast<WallTime::duration>(this->elapsed));
}

void ManualClock::advance(Duration step)
{
    const std::lock_guard lock(this->mutex);
    if (step > Duration::zero()) {
        this->elapsed += step;
    }
}

} // namespace gooseberry
