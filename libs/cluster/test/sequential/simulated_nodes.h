#pragma once

// Nodes of a cell on a simulated clock: entry nodes and keepers that route requests with the real
// code over simulated links, and one replicated log whose leaders are killed, frozen and cut off.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <cluster/cluster.h>

#include "test_node.h"

namespace gooseberry {

/** Time, tasks in the order of their times, and random choices of one simulation. */
struct Simulation
{
    explicit Simulation(unsigned seed)
        : random(seed)
    {
        this->clock.advance(std::chrono::hours(1));
    }

    void after(Duration delay, std::function<void()> task);
    void run(std::chrono::milliseconds time);
    std::chrono::milliseconds between(int low, int high);
    bool chance(int percent);

    ManualClock clock;
    std::minstd_rand random;
    std::multimap<SteadyTime, std::function<void()>> tasks;
};

class SimulatedNodes;

/** One node. Only keepers have a log; entry nodes pass requests on. */
class SimulatedNode : public RequestRoutes, public CommandSink
{
public:
    SimulatedNode(SimulatedNodes &initialCell, std::size_t initialNumber, bool initialHasLog);

    const InstanceId &self() const override;
    bool leads() const override;
    std::optional<InstanceId> leader() const override;
    bool isConnected(const InstanceId &node) const override;
    std::vector<InstanceId> connectedReplicas() const override;
    bool pausedRecently() const override;
    void call(const InstanceId &node, const std::string &frame, std::chrono::milliseconds timeout,
              std::function<void(Result<std::string>)> done) override;
    void after(Duration delay, std::function<void()> task) override;

    void propose(WorkflowCommand command,
                 std::function<void(Result<CommandOutcome>)> done) override;
    bool holdsLease() const override;

    void serve(RequestKind kind, const std::string &request,
               const std::function<void(Result<std::string>)> &done);
    bool isFrozen() const;
    /** Runs the task now, once the node goes on, or never if its process has ended since. */
    void runHere(int startedIn, const std::function<void()> &task);
    /** Ends the process; another one starts at once and knows nothing of its requests. */
    void restart();

    SimulatedNodes &cell;
    const std::size_t number;
    const bool hasLog;
    const InstanceId id;
    WorkflowState state{std::chrono::minutes(3)};
    std::size_t applied = 0;
    SteadyTime leaseEnd;
    SteadyTime frozenUntil;
    SteadyTime cutUntil;
    bool diskFull = false;
    /** The leader that the node has heard of, and when. */
    std::optional<InstanceId> knownLeader;
    SteadyTime heardAt;
    /** Counts the processes of the node. */
    int process = 0;
    std::unique_ptr<LeaderRequests> requests;

private:
    UnreachableWorkers workers;
    NoAdviser adviser;
    NodeMetrics metrics;
    Dispatcher dispatcher;
    LeaderService service;
    std::deque<std::function<void()>> waiting;
    /** Requests of earlier processes, which callbacks may still refer to. */
    std::vector<std::unique_ptr<LeaderRequests>> ended;

    friend class SimulatedNodes;
};

/** The nodes, the links between them, and their log. */
class SimulatedNodes
{
public:
    SimulatedNodes(Simulation &initialSimulation, std::size_t keepers, std::size_t entries);

    SimulatedNode *find(const InstanceId &id) const;
    bool areLinked(const SimulatedNode &one, const SimulatedNode &other) const;
    void call(SimulatedNode &from, const InstanceId &to, const std::string &frame,
              std::chrono::milliseconds timeout,
              const std::function<void(Result<std::string>)> &done);
    void propose(SimulatedNode &keeper, WorkflowCommand command,
                 std::function<void(Result<CommandOutcome>)> done);
    void killLeader();
    void freezeLeader();
    void cutLeader();
    /** Spreads beacons, applies entries on followers and thaws nodes. */
    void tick();

    Simulation &simulation;
    std::vector<std::unique_ptr<SimulatedNode>> nodes;
    std::vector<WorkflowCommand> committed;
    /** Replies and frames that are lost, in percent. */
    int lostFrames = 0;

private:
    /** An entry in the leader's log that is not committed yet. */
    struct Entry
    {
        WorkflowCommand command;
        std::function<void(Result<CommandOutcome>)> done;
    };

    SimulatedNode &leadingNode() const;
    void commitFirstEntry(Term proposedIn);
    void endLeadership(std::chrono::milliseconds delay);
    void beginLeadership(std::size_t number);
    void applyCommitted(SimulatedNode &keeper, std::size_t entries);

    const std::size_t keeperCount;
    Term term{0};
    std::size_t leading = 0;
    bool hasLeader = false;
    std::deque<Entry> uncommitted;
    std::vector<WorkflowCommand> surviving;
};

} // namespace gooseberry
