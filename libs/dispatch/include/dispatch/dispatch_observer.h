#pragma once

#include <cstddef>

#include <base/base.h>

namespace gooseberry {

/** Is told what the leader's duties do, for metrics. Calls come on several threads. */
class DispatchObserver
{
public:
    virtual ~DispatchObserver() = default;

    /** Tasks of a step were given to workers, this long after its workflow was accepted. */
    virtual void stepPlaced(std::size_t tasks, Duration waited) = 0;
    /** A run ended without a result of its own. */
    virtual void runLost() = 0;
    /** A worker has answered an order, or its time was over. */
    virtual void orderAnswered(const char *order, bool answered, Duration elapsed) = 0;
    /** The adviser has answered a question, or its time was over. */
    virtual void adviceAnswered(bool answered, Duration elapsed) = 0;
};

} // namespace gooseberry
