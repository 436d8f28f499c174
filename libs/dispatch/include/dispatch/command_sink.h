#pragma once

#include <functional>

#include <base/base.h>
#include <workflow/workflow.h>

namespace gooseberry {

/** The part of the replicated log that the dispatcher uses. */
class CommandSink
{
public:
    virtual ~CommandSink() = default;

    /**
     * Done is called exactly once, on another thread, when the command was applied or has failed.
     */
    virtual void propose(WorkflowCommand command, std::function<void(Result<CommandOutcome>)> done)
        = 0;
    /** Returns whether this instance holds the leader lease now. */
    virtual bool holdsLease() const = 0;
};

/** Runs a function after a delay, on a thread of the process. */
using Schedule = std::function<void(Duration, std::function<void()>)>;

} // namespace gooseberry
