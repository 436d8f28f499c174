#pragma once

#include <mutex>

#include <base/base.h>

namespace gooseberry {

/**
 * Tells whether the process stood still a moment ago, since its machine was suspended or gave it no
 * processor time. What it reads right afterwards may have waited for as long, so that the sender
 * has given up and sent it to another node. Thread-safe.
 */
class PauseDetector
{
public:
    explicit PauseDetector(const Clock &initialClock);

    /** Must be called twice a second, on a thread that does little else. */
    void tick();
    /** Returns whether the process has paused for longer than senders wait, a second or less ago.
     */
    bool pausedRecently() const;

private:
    const Clock &clock;
    mutable std::mutex mutex; ///< Guards the members below.
    SteadyTime lastTick;
    SteadyTime suspectUntil;
};

} // namespace gooseberry
