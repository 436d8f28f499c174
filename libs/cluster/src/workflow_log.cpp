#include <cluster/workflow_log.h>

#include <spdlog/spdlog.h>

namespace gooseberry {

WorkflowLog::WorkflowLog(WorkflowState &initialState, const Clock &initialClock,
                         std::uint64_t initialOrigin, LogEvents initialEvents)
    : state(initialState)
    , clock(initialClock)
    , origin(initialOrigin)
    , events(std::move(initialEvents))
{
}

void WorkflowLog::setReplica(Replica *initialReplica)
{
    this->replica = initialReplica;
}

void WorkflowLog::propose(WorkflowCommand command, Callback done)
{
    if (this->replica == nullptr) {
        done(Error{.code = ErrorCode::NotLeader,
                   .step = Step::Commit,
                   .peer = {},
                   .message = "this node has no log replica",
                   .outcome = Outcome::NotRun});
        return;
    }
    const std::uint64_t number = ++this->lastNumber;
    const ProposedCommand proposed{.origin = this->origin,
                                   .number = number,
                                   .at = this->cellNow(),
                                   .command = std::move(command)};
    {
        Shard &shard = this->shardOf(number);
        const std::lock_guard lock(shard.mutex);
        shard.callbacks.emplace(number, std::move(done));
    }
    this->replica->propose(encodeCommand(proposed), [this, number](const Error &error) {
        if (const Callback callback = this->takeCallback(number)) {
            callback(error);
        }
    });
}

bool WorkflowLog::holdsLease() const
{
    return this->replica != nullptr && this->replica->holdsLease();
}

void WorkflowLog::apply(const LogEntry &entry)
{
    const Result<ProposedCommand> decoded = decodeProposedCommand(entry.payload);
    if (!ok(decoded)) {
        // Every replica skips the same entry, so their states stay equal.
        spdlog::error("event=entry-not-readable index={} {}", entry.index.value,
                      describe(errorOf(decoded)));
        return;
    }
    const ProposedCommand &proposed = valueOf(decoded);
    const CommandOutcome outcome = this->state.apply(proposed);
    try {
        this->events.applied(proposed.command, outcome);
    } catch (const std::exception &error) {
        // The replicated state is changed already; only this node's scheduling has missed it.
        spdlog::error("event=entry-not-scheduled index={} what=\"{}\"", entry.index.value,
                      error.what());
    }
    if (proposed.origin != this->origin) {
        return;
    }
    if (const Callback callback = this->takeCallback(proposed.number)) {
        callback(outcome);
    }
}

std::string WorkflowLog::snapshot()
{
    return this->state.snapshot();
}

Status WorkflowLog::restore(const std::string &bytes)
{
    return this->state.restore(bytes);
}

void WorkflowLog::leadershipBegan(Term term)
{
    {
        const std::lock_guard lock(this->timeMutex);
        this->timeBase = this->state.time();
        this->timeSince = this->clock.steadyNow();
    }
    this->events.termBegan(term);
}

void WorkflowLog::leadershipEnded()
{
    this->events.termEnded();
}

WorkflowLog::Shard &WorkflowLog::shardOf(std::uint64_t number)
{
    return this->shards.at(number % shardCount);
}

WorkflowLog::Callback WorkflowLog::takeCallback(std::uint64_t number)
{
    Shard &shard = this->shardOf(number);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.callbacks.find(number);
    if (found == shard.callbacks.end()) {
        return {};
    }
    Callback callback = std::move(found->second);
    shard.callbacks.erase(found);
    return callback;
}

CellTime WorkflowLog::cellNow() const
{
    const std::lock_guard lock(this->timeMutex);
    return this->timeBase
        + std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.steadyNow()
                                                                - this->timeSince);
}

} // namespace gooseberry
