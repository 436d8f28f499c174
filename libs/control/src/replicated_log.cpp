#include <control/replicated_log.h>

#include <protocol/protocol.h>
#include <spdlog/spdlog.h>

namespace gooseberry {

ReplicatedLog::ReplicatedLog(CellState &initialState, const Clock &initialClock,
                             std::uint64_t initialOrigin)
    : state(initialState)
    , clock(initialClock)
    , origin(initialOrigin)
{
}

void ReplicatedLog::connect(Replica *initialReplica, Coordinator &initialCoordinator)
{
    this->replica = initialReplica;
    this->coordinator = &initialCoordinator;
}

void ReplicatedLog::propose(Command command, Callback done)
{
    if (this->replica == nullptr) {
        done(Error{.code = ErrorCode::NotLeader,
                   .step = Step::Commit,
                   .peer = {},
                   .message = "this instance does not vote and has no log replica",
                   .outcome = Outcome::NotRun});
        return;
    }
    const std::uint64_t number = ++this->lastProposalNumber;
    const StampedCommand stamped{.proposal = {.origin = this->origin, .number = number},
                                 .at = this->currentCellTime(),
                                 .command = std::move(command)};
    {
        Shard &shard = this->shardOf(number);
        const std::lock_guard lock(shard.mutex);
        shard.callbacks.emplace(number, std::move(done));
    }
    this->replica->propose(encode(stamped), [this, number](const Error &error) {
        if (const Callback callback = this->takeCallback(number)) {
            callback(error);
        }
    });
}

bool ReplicatedLog::holdsLease() const
{
    return this->replica != nullptr && this->replica->holdsLease();
}

Term ReplicatedLog::term() const
{
    return this->replica != nullptr ? this->replica->status().term : Term(0);
}

void ReplicatedLog::apply(const LogEntry &entry)
{
    Result<StampedCommand> decoded = decodeCommand(entry.payload);
    if (!ok(decoded)) {
        // Every replica refuses the same bytes, so skipping the entry keeps them equal.
        spdlog::error("event=entry-not-readable index={} {}", entry.index.value,
                      describe(errorOf(decoded)));
        return;
    }
    const StampedCommand &stamped = valueOf(decoded);
    const ApplyOutcome outcome = this->state.apply(stamped);
    if (stamped.proposal.origin != this->origin) {
        return;
    }
    if (const Callback callback = this->takeCallback(stamped.proposal.number)) {
        callback(outcome);
    }
}

std::string ReplicatedLog::snapshot()
{
    return encode(this->state.image());
}

Status ReplicatedLog::restore(const std::string &bytes)
{
    const Result<CellImage> image = decodeImage(bytes);
    if (!ok(image)) {
        return errorOf(image);
    }
    this->state.restore(valueOf(image));
    return Done{};
}

void ReplicatedLog::leadershipBegan(Term term)
{
    {
        const std::lock_guard lock(this->timeMutex);
        this->cellTimeAtTermStart = this->state.time();
        this->steadyTimeAtTermStart = this->clock.steadyNow();
    }
    this->coordinator->beginTerm(term);
}

void ReplicatedLog::leadershipEnded()
{
    this->coordinator->endTerm();
}

ReplicatedLog::Shard &ReplicatedLog::shardOf(std::uint64_t number)
{
    return this->shards.at(number % shardCount);
}

CommandLog::Callback ReplicatedLog::takeCallback(std::uint64_t number)
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

CellTime ReplicatedLog::currentCellTime() const
{
    const std::lock_guard lock(this->timeMutex);
    return this->cellTimeAtTermStart
        + std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.steadyNow()
                                                                - this->steadyTimeAtTermStart);
}

} // namespace gooseberry
