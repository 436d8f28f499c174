#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <fleet/fleet.h>
#include <policy/policy.h>

namespace gooseberry {

/** A job with tasks that wait for a place. */
struct PendingJob
{
    WaitingJob waiting;
    std::shared_ptr<const JobSpec> spec;
    /** The tasks that wait, with the attempt that the next start will carry. */
    std::map<std::uint32_t, Attempt> tasks;
};

/** A decision to start one attempt on one instance. Its resources are reserved. */
struct StartDecision
{
    AttemptId attempt;
    InstanceId instance;
    TeamId team;
    Resources amount;
    PlacementChoice choice;
};

/** The decisions that are committed together; for a gang, all of its tasks. */
struct StartGroup
{
    JobId job;
    bool allOrNone = false;
    std::vector<StartDecision> starts;
};

/** What a round needs to know besides what waits and what is in use. */
struct RoundInput
{
    SteadyTime now;
    CellTime cellNow;
    const CellConfig *config = nullptr;
    std::set<FailureDomainId> domainsOut;
};

/**
 * Holds the waiting tasks and turns them into start decisions. Safe for use by several threads;
 * rounds run one at a time.
 */
class Scheduler
{
public:
    Scheduler(Fleet &initialFleet, TeamLedger &initialLedger);

    /** Adds a task that waits. A task that waits already is replaced. */
    void addTask(const WaitingJob &job, const std::shared_ptr<const JobSpec> &spec,
                 std::uint32_t index, Attempt nextAttempt);
    void removeJob(const JobId &job);
    void clear();
    std::uint32_t pendingTasks(const QueueId &queue) const;

    /**
     * Decides as many starts as fit now. Each decision's resources are reserved in the fleet and
     * the ledger until settle() is called for it, and its task no longer waits.
     */
    std::vector<StartGroup> runRound(const RoundInput &input);

    /** Releases the reservation of a decision, after it was committed or given up. */
    void settle(const StartDecision &decision);

    /** Returns why the job waits, as of the last round; Accepted before the first one. */
    Reason whyWaiting(const JobId &job) const;

private:
    std::vector<WaitingJob> ordered(const RoundInput &input) const;
    StartGroup placeJob(PendingJob &job, const RoundInput &input, const Limit &limit,
                        std::vector<Instance> &instances);
    bool placeTask(const PendingJob &job, std::uint32_t index, const RoundInput &input,
                   const Limit &limit, std::vector<Instance> &instances, StartGroup &group);
    void undo(StartGroup &group, std::vector<Instance> &instances);

    Fleet &fleet;
    TeamLedger &ledger;
    mutable std::mutex mutex;
    std::map<JobId, PendingJob> pending;
    std::map<JobId, Reason> reasons;
};

} // namespace gooseberry
