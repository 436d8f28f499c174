#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <fleet/fleet.h>
#include <policy/policy.h>
#include <scheduler/round_types.h>

namespace gooseberry {

class RoundThreads;
class RunningTable;
class WaitingTable;

/**
 * Holds the waiting tasks and turns them into start decisions. Safe for use by several threads;
 * what waits and what runs is in shards that each have their own lock. Rounds run one at a time,
 * each on all decision threads.
 */
class Scheduler
{
public:
    Scheduler(Fleet &initialFleet, TeamLedger &initialLedger,
              const SchedulerSettings &initialSettings = {});
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    /**
     * Adds a task that waits. A task that waits already is replaced. A gang is offered room once
     * all of its tasks are added.
     */
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
    /** Returns a number that grows whenever a shape that fitted nowhere could fit somewhere. */
    std::uint64_t updateCapacityVersion(const RoundInput &input);

    Fleet &fleet;
    TeamLedger &ledger;
    SchedulerSettings settings;
    std::unique_ptr<WaitingTable> waiting;
    std::unique_ptr<RunningTable> running;
    std::unique_ptr<RoundThreads> threads;

    /** Held for a whole round; guards what follows. */
    std::mutex roundMutex;
    std::uint64_t capacityVersion = 1;
    std::uint64_t seenMembership = 0;
    std::set<FailureDomainId> seenDomainsOut;
};

} // namespace gooseberry
