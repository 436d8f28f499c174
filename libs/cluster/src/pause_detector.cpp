#include <cluster/pause_detector.h>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/** Senders of orders wait for an answer for this long. */
constexpr std::chrono::milliseconds longestPause{1000};
/** How long it may take to read everything that arrived during a pause. */
constexpr std::chrono::milliseconds readingTime{1000};

} // namespace

PauseDetector::PauseDetector(const Clock &initialClock)
    : clock(initialClock)
{
}

void PauseDetector::tick()
{
    const SteadyTime now = this->clock.steadyNow();
    const std::lock_guard lock(this->mutex);
    if (this->lastTick != SteadyTime{} && now - this->lastTick > longestPause) {
        this->suspectUntil = now + readingTime;
        spdlog::warn(
            "event=process-paused pause={}ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(now - this->lastTick).count());
    }
    this->lastTick = now;
}

bool PauseDetector::pausedRecently() const
{
    const SteadyTime now = this->clock.steadyNow();
    const std::lock_guard lock(this->mutex);
    return now < this->suspectUntil
        || (this->lastTick != SteadyTime{} && now - this->lastTick > longestPause);
}

} // namespace gooseberry
