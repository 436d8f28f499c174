#pragma once

#include <functional>

#include <base/base.h>
#include <cell/command.h>

namespace gooseberry {

/** Where commands are made durable and then applied, in one order for all replicas. */
class CommandLog
{
public:
    using Callback = std::function<void(const ApplyOutcome &)>;

    virtual ~CommandLog() = default;

    /**
     * Commits the command and calls done once it is applied here, in log order and on a thread of
     * the log. Without leadership or quorum, done gets an error: outcome NotRun when the command
     * can't be committed any more, Unknown when it still may be.
     */
    virtual void propose(Command command, Callback done) = 0;

    /** Returns whether this instance leads and its lease is still running, as of now. */
    virtual bool holdsLease() const = 0;

    /** Returns the term of this instance's latest leadership. */
    virtual Term term() const = 0;
};

} // namespace gooseberry
