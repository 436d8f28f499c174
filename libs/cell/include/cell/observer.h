#pragma once

#include <chrono>
#include <cstddef>

#include <base/base.h>
#include <contract/contract.h>

namespace gooseberry {

/**
 * Receives events of the coordinator, for metrics and to wake up the thread that calls step().
 * Methods are called from several threads and must return quickly.
 */
class CoordinatorObserver
{
public:
    virtual ~CoordinatorObserver() = default;

    /** Tasks were queued or capacity may have become free, so step() should be called soon. */
    virtual void workAvailable() = 0;
    virtual void taskStarted(JobClass jobClass, const TeamId &team,
                             std::chrono::milliseconds waited)
        = 0;
    virtual void roundDecided(Duration elapsed, std::size_t placements) = 0;
    virtual void requestRefused(ErrorCode code) = 0;
};

/** An observer that ignores all events. */
class NullObserver : public CoordinatorObserver
{
public:
    void workAvailable() override
    {
    }
    void taskStarted(JobClass /*jobClass*/, const TeamId & /*team*/,
                     std::chrono::milliseconds /*waited*/) override
    {
    }
    void roundDecided(Duration /*elapsed*/, std::size_t /*placements*/) override
    {
    }
    void requestRefused(ErrorCode /*code*/) override
    {
    }
};

} // namespace gooseberry
