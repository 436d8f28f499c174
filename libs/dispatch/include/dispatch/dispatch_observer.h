#pragma once

#include <cstddef>

#include <base/base.h>

namespace gooseberry {

/** Receives scheduling events for metrics. Methods are called on several threads. */
class DispatchObserver
{
public:
    virtual ~DispatchObserver() = default;

    /**
     * Tasks of a step were placed on workers; waited is the time since its workflow was accepted.
     */
    virtual void stepPlaced(std::size_t tasks, Duration waited) = 0;
    /** A placement pass has begun, this long after it was due. */
    virtual void placementPassBegan(Duration lateness) = 0;
    /**
     * A placement pass has ended. Attempts are the steps that it tried to place; the others had no
     * new room since their last attempt.
     */
    virtual void placementPassEnded(std::size_t attempts, Duration elapsed) = 0;
    /** A run ended without a result of its own, so its task has to run again. */
    virtual void runLost() = 0;
    /** A worker has answered an order, or the order timed out. */
    virtual void orderAnswered(const char *order, bool answered, Duration elapsed) = 0;
    /** The adviser has answered a request, or the request timed out. */
    virtual void adviceAnswered(bool answered, Duration elapsed) = 0;
};

} // namespace gooseberry
