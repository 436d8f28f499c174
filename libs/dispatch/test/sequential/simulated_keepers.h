#pragma once

// Several nodes with one replicated log, each with its own copy of the state and its own
// dispatcher. One of them leads; leaders are killed, cut off and frozen, and their successors get
// the log with none, some or all of the entries that had not been committed.

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <dispatch/dispatch.h>

#include "dispatch_fixture.h"
#include "simulated_workers.h"

namespace gooseberry {

class SimulatedKeepers;

/** One node: its copy of the state and its dispatcher, which acts only while the node leads. */
class SimulatedKeeper : public CommandSink, public WorkerOrders
{
public:
    SimulatedKeeper(SimulatedKeepers &initialCell, std::size_t initialNumber);

    void propose(WorkflowCommand command,
                 std::function<void(Result<CommandOutcome>)> done) override;
    bool holdsLease() const override;
    void start(const WorkerRef &ref, const StartOrder &order,
               std::function<void(Result<StartReply>)> done) override;
    void stop(const WorkerRef &ref, const StopOrder &order,
              std::function<void(Status)> done) override;
    void renewLease(const WorkerRef &ref, const LeaseRenewalOrder &order,
                    std::function<void(Result<LeaseRenewalReply>)> done) override;

    /** Applies a committed command and passes it to the dispatcher. */
    CommandOutcome apply(const WorkflowCommand &command);
    void kill();
    /** Nothing runs on the node until the time. */
    void freeze(SteadyTime until);
    bool isFrozen() const;
    /** Runs what was due while the node was frozen. */
    void thawIfDue();

    SimulatedKeepers &cell;
    const std::size_t number;
    WorkflowState state{std::chrono::minutes(3)};
    CountingObserver observer;
    /** Until then, the node may act as the leader. */
    SteadyTime leaseEnd;
    SteadyTime frozenUntil;
    std::size_t applied = 0;
    Dispatcher dispatcher;

private:
    /** Returns a function that calls task on this node: later if it is frozen, never once killed.
     */
    template<typename... Arguments>
    std::function<void(Arguments...)> onThisNode(std::function<void(Arguments...)> task);
    Schedule schedule();

    int life = 0;
    std::deque<std::function<void()>> deferred;
};

/** The nodes, their log, and the changes of leader. */
class SimulatedKeepers
{
public:
    SimulatedKeepers(ManualClock &initialClock, FakeTimers &initialTimers,
                     SimulatedWorkers &initialWorkers, DispatchSettings initialSettings);

    /** Returns the node that leads, or null during an election. */
    SimulatedKeeper *leader();
    /** Commits the command at once, as an earlier leader would have done. */
    void commit(const WorkflowCommand &command);
    void propose(SimulatedKeeper &keeper, WorkflowCommand command,
                 std::function<void(Result<CommandOutcome>)> done);
    /** Ends the leader's process; it comes back as a follower. */
    void killLeader();
    /** Freezes the leader for longer than its lease, so that another one is elected meanwhile. */
    void freezeLeader();
    /** The leader gives its lease up and another one begins at once. */
    void handOver();
    /** Brings the followers' copies of the state up to date, and thaws nodes. */
    void tick();

    ManualClock &clock;
    FakeTimers &timers;
    SimulatedWorkers &workers;
    const DispatchSettings settings;
    Term term{0};
    std::vector<std::unique_ptr<SimulatedKeeper>> keepers;

private:
    /** An entry in the leader's log that is not committed yet. */
    struct Entry
    {
        WorkflowCommand command;
        std::function<void(Result<CommandOutcome>)> done;
    };

    void commitFirstEntry(Term proposedIn);
    /**
     * Ends the leadership; entries that were not committed survive up to a random one, or fail. Has
     * another node begin its term after the delay.
     */
    void endLeadership(std::chrono::milliseconds delay);
    void beginLeadership(std::size_t number, Term newTerm);
    /** Has a former leader learn of its successor after the delay. */
    void endTermLater(SimulatedKeeper &keeper, Duration delay);

    std::vector<WorkflowCommand> committed;
    std::deque<Entry> uncommitted;
    std::vector<WorkflowCommand> surviving;
    std::size_t leading = 0;
    bool hasLeader = false;
};

} // namespace gooseberry
