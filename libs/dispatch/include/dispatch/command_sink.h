#pragma once

#include <functional>

#include <base/base.h>
#include <workflow/workflow.h>

namespace gooseberry {

/** The replicated log as the leader's duties see it. */
class CommandSink
{
public:
    virtual ~CommandSink() = default;

    /** Done is called once, on another thread, when the command was applied or can't be. */
    virtual void propose(WorkflowCommand command, std::function<void(Result<CommandOutcome>)> done)
        = 0;
    /** Returns whether this instance leads as of now. */
    virtual bool holdsLease() const = 0;
};

/** Runs a task later, on a thread of the process. */
using Schedule = std::function<void(Duration, std::function<void()>)>;

} // namespace gooseberry
