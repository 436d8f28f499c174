#pragma once

#include <chrono>
#include <cstddef>

#include <base/base.h>
#include <contract/contract.h>

namespace gooseberry {

/**
 * Is told what the coordinator did, for metrics and for waking the thread that calls step(). Calls
 * come from several threads and must return quickly.
 */
class CoordinatorObserver
{
public:
    virtual ~CoordinatorObserver() = default;

    /** Waiting work or free room has changed, so a step() is worthwhile now. */
    virtual void workArrived() = 0;
    virtual void taskStarted(JobClass jobClass, const TeamId &team,
                             std::chrono::milliseconds waited)
        = 0;
    virtual void roundDecided(Duration elapsed, std::size_t placements) = 0;
    virtual void requestRefused(ErrorCode code) = 0;
};

/** Ignores everything. */
class NullObserver : public CoordinatorObserver
{
public:
    void workArrived() override
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
