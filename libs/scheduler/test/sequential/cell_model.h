#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <scheduler/scheduler.h>

namespace gooseberry::test {

/** Parameters of one run of the model. */
struct ModelSetup
{
    std::uint64_t seed = 1;
    int operations = 1000;
    int instances = 8;
    int teams = 4;
    FaultInjection faults;
    /** Fault injection: adds refused jobs to the scheduler as well. */
    bool submitRefused = false;
    /** Fault injection: commits each start twice, as a cell without attempt numbers would. */
    bool commitTwice = false;
};

/**
 * A model-based test: performs random operations on a scheduler and tracks the expected state in an
 * independent model. Every decision is checked against the model immediately. The whole model is
 * compared with the fleet, the ledger and the waiting tasks only at intervals, since a comparison
 * costs more than an operation.
 */
class CellModel
{
public:
    explicit CellModel(const ModelSetup &initialSetup);

    /** Runs all operations and returns the first rule that was broken, if any. */
    std::optional<std::string> run();
    std::uint64_t startsCommitted() const;

private:
    enum class State {
        Pending,
        Decided,
        Running,
        Ended,
    };
    struct ModelTask
    {
        State state = State::Pending;
        Attempt attempt;
        InstanceId instance;
    };
    struct ModelJob
    {
        WaitingJob waiting;
        std::shared_ptr<const JobSpec> spec;
        std::vector<ModelTask> tasks;
        bool refused = false;
        bool cancelled = false;
        bool hasStarted = false;
    };
    struct ModelInstance
    {
        InstanceSpec spec;
        bool departing = false;
        bool reachable = true;
        Resources running;
        Resources decided;
    };
    struct ModelTeam
    {
        Resources running;
        Resources decided;
    };

    void step();
    void submit();
    void runRound();
    void commitOldest();
    void endTask(EndCause cause);
    void cancel();
    void disconnectWorker();
    void changeDomain();
    void changeLimit();
    void announce();
    void applyStopDecisions();

    JobSpec randomSpec();
    void checkGroup(const StartGroup &group);
    void checkStart(const StartDecision &start);
    void commitStart(const StartDecision &start);
    /** Returns whether the cell would accept the start and the amount fits on its instance. */
    bool canCommit(const StartDecision &start, const Resources &amount) const;
    void requeue(const StartDecision &start);
    void finishRunning(const TaskId &id, EndCause cause, bool again);
    void checkAccounting();
    void fail(const std::string &rule);

    Team &team(const TeamId &id);
    ModelTask &task(const TaskId &id);
    std::size_t pick(std::size_t count);
    bool chance(int percent);

    ModelSetup setup;
    std::mt19937_64 random;
    Fleet fleet;
    TeamLedger ledger;
    CellConfig config;
    Scheduler scheduler;
    RoundInput input;
    std::vector<TeamId> teamIds;
    std::map<JobId, ModelJob> jobs;
    std::map<InstanceId, ModelInstance> instances;
    std::map<TeamId, ModelTeam> teams;
    std::deque<StartGroup> decided;
    std::vector<TaskId> runningTasks;
    std::uint64_t lastJob = 0;
    std::uint32_t pendingTasks = 0;
    std::uint64_t committed = 0;
    std::optional<std::string> brokenRule;
};

} // namespace gooseberry::test
