#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>

#include <cell/cell.h>
#include <quorum/quorum.h>

namespace gooseberry {

/**
 * The command log of the cell on top of the replicated log: encodes commands, stamps them with the
 * cell's time, applies committed ones to the cell state and reports the outcome to the proposer.
 *
 * An instance that does not vote has no replica; it refuses all proposals.
 */
class ReplicatedLog : public CommandLog, public StateMachine
{
public:
    /** The origin must differ between instances and between starts of one instance. */
    ReplicatedLog(CellState &initialState, const Clock &initialClock, std::uint64_t initialOrigin);

    /** Connects the parts that depend on this one. Must be called before the replica starts. */
    void connect(Replica *initialReplica, Coordinator &initialCoordinator);

    void propose(Command command, Callback done) override;
    bool holdsLease() const override;
    Term term() const override;

    void apply(const LogEntry &entry) override;
    std::string snapshot() override;
    Status restore(const std::string &bytes) override;
    void leadershipBegan(Term term) override;
    void leadershipEnded() override;

private:
    struct Shard
    {
        std::mutex mutex;
        std::map<std::uint64_t, Callback> callbacks;
    };
    static constexpr std::size_t shardCount = 8;

    Shard &shardOf(std::uint64_t number);
    /** Removes and returns the callback, or an empty one if it was taken before. */
    Callback takeCallback(std::uint64_t number);
    CellTime currentCellTime() const;

    CellState &state;
    const Clock &clock;
    std::uint64_t origin;
    Replica *replica = nullptr;
    Coordinator *coordinator = nullptr;
    std::atomic<std::uint64_t> lastProposalNumber{0};
    std::array<Shard, shardCount> shards;

    mutable std::mutex timeMutex;
    /** While this instance leads, cell time advances from these two with the steady clock. */
    CellTime cellTimeAtTermStart;
    SteadyTime steadyTimeAtTermStart;
};

} // namespace gooseberry
