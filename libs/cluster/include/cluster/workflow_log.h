#pragma once

#include <array>
#include <atomic>
#include <map>
#include <mutex>

#include <dispatch/dispatch.h>
#include <quorum/quorum.h>
#include <workflow/workflow.h>

namespace gooseberry {

/** Callbacks of the log. All calls come from the replica's apply thread. */
struct LogEvents
{
    std::function<void(const WorkflowCommand &, const CommandOutcome &)> applied;
    std::function<void(Term)> termBegan;
    std::function<void()> termEnded;
};

/**
 * The command log of the cell, on top of the replicated log: encodes commands, stamps them with the
 * cell time, applies committed commands and reports the outcome to the proposer. Callbacks of
 * pending proposals are kept in shards, each under its own lock.
 */
class WorkflowLog : public CommandSink, public StateMachine
{
public:
    /** The origin must be unique across nodes and across restarts of one node. */
    WorkflowLog(WorkflowState &initialState, const Clock &initialClock, std::uint64_t initialOrigin,
                LogEvents initialEvents);

    /** Sets the replica; without one, all proposals fail with NotLeader. */
    void setReplica(Replica *initialReplica);

    void propose(WorkflowCommand command,
                 std::function<void(Result<CommandOutcome>)> done) override;
    bool holdsLease() const override;

    void apply(const LogEntry &entry) override;
    std::string snapshot() override;
    Status restore(const std::string &bytes) override;
    void leadershipBegan(Term term) override;
    void leadershipEnded() override;

private:
    using Callback = std::function<void(Result<CommandOutcome>)>;
    struct Shard
    {
        std::mutex mutex;
        std::map<std::uint64_t, Callback> callbacks;
    };
    static constexpr std::size_t shardCount = 8;

    Shard &shardOf(std::uint64_t number);
    /** Removes and returns the callback, or returns an empty one if it was removed before. */
    Callback takeCallback(std::uint64_t number);
    /** Returns the cell time at the start of the term plus the time elapsed since then. */
    CellTime cellNow() const;

    WorkflowState &state;
    const Clock &clock;
    const std::uint64_t origin;
    const LogEvents events;
    Replica *replica = nullptr;
    std::atomic<std::uint64_t> lastNumber{0};
    std::array<Shard, shardCount> shards;

    mutable std::mutex timeMutex; ///< Guards the members below.
    CellTime timeBase; ///< The cell time when this node became leader.
    SteadyTime timeSince; ///< The local time of the same moment.
};

} // namespace gooseberry
