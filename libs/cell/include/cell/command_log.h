#pragma once

#include <functional>

#include <base/base.h>
#include <cell/command.h>

namespace gooseberry {

/** Makes commands durable and applies them in the same order on all replicas. */
class CommandLog
{
public:
    using Callback = std::function<void(const ApplyOutcome &)>;

    virtual ~CommandLog() = default;

    /**
     * Commits the command and calls done once it is applied on this replica, in log order and on a
     * thread of the log. Without leadership or a quorum, done receives an error with outcome NotRun
     * if the command can no longer be committed, and Unknown if it still may be.
     */
    virtual void propose(Command command, Callback done) = 0;

    /** Returns whether this instance currently leads and its leader lease has not expired. */
    virtual bool holdsLease() const = 0;

    /** Returns the term of this instance's latest leadership. */
    virtual Term term() const = 0;
};

} // namespace gooseberry
