#include <base/clock.h>

namespace gooseberry {

SteadyTime SystemClock::steadyNow() const
{
    return std::chrono::steady_clock::now();
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
