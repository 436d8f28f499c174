#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <fleet/fleet.h>
#include <policy/policy.h>
#include <scheduler/round_types.h>

namespace gooseberry {

class FleetView;
class HealthTable;
class RetryQueue;
class RoundThreads;
class RunningTable;
class SchedulingRound;
class WaitingTable;

/**
 * Holds the waiting tasks and turns them into start decisions. Safe for use by several threads;
 * what waits, what runs and what failed is in shards that each have their own lock. Rounds run one
 * at a time, each on all decision threads.
 *
 * The caller carries out all decisions: it commits starts and calls settle(), and it stops the
 * tasks that preemptions(), evacuations() and corrections() name. Without the calls taskStarted()
 * and taskEnded(), starts are decided all the same, but nothing is learned from what runs.
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
     * all of its tasks are added. A task whose last attempt was reported as failed waits for its
     * team's retry budget first.
     */
    void addTask(const WaitingJob &job, const std::shared_ptr<const JobSpec> &spec,
                 std::uint32_t index, Attempt nextAttempt);
    /** Forgets what waits of the job and its failures. What runs of it goes on. */
    void removeJob(const JobId &job);
    void clear();
    std::uint32_t pendingTasks(const QueueId &queue) const;
    /** Returns the tasks that wait in the whole cell, for load shedding at admission. */
    std::uint32_t pendingTasks() const;

    /**
     * Decides as many starts as fit now. Each decision's resources are reserved in the fleet and
     * the ledger until settle() is called for it, and its task no longer waits.
     */
    std::vector<StartGroup> runRound(const RoundInput &input);

    /** Releases the reservation of a decision, after it was committed or given up. */
    void settle(const StartDecision &decision);

    /** Returns why the job waits, as of the last round; Accepted before the first one. */
    Reason whyWaiting(const JobId &job) const;

    /** Tells of a committed start, also of those that a new leader finds in the state. */
    void taskStarted(const RunningTask &task);
    /**
     * Tells how an attempt ended. Must precede addTask() for its next attempt. A failure may
     * quarantine the instance or hold the job back; the decision says so for the log.
     */
    FaultDecision taskEnded(const TaskEnd &end);
    /** Tells what an attempt uses, as its worker reported it; may be late. */
    void reportUsage(const AttemptId &attempt, const InstanceId &instance, const Resources &actual);

    /**
     * Names the tasks to stop so that urgent work that found no room in the last round gets it.
     * The freed room goes to urgent work first in the round after the victims have ended.
     */
    std::vector<PreemptionDecision> preemptions(const RoundInput &input);
    /** Names the tasks to move off what leaves. Call it once a round; it paces the moves. */
    std::vector<MoveDecision> evacuations(const RoundInput &input);
    /** Names the tasks to hold back on an instance; call it after its usage was reported. */
    std::vector<CorrectionDecision> corrections(const InstanceId &instance, SteadyTime now);

    /** Returns the instances that get no new work because too much failed on them. */
    std::set<InstanceId> quarantined(SteadyTime now) const;
    /** Returns the reservation for a gang, if there is one. */
    std::optional<Reservation> reservation() const;

private:
    void admitRetries(SteadyTime now);
    void trackReturnedDomains(const RoundInput &input);
    /** Returns the instances that get no new work now: quarantined, or not yet in the ramp. */
    std::set<InstanceId> excludedInstances(SteadyTime now) const;
    void expireReservation(SteadyTime now);
    void updateReservation(const SchedulingRound &round, const std::vector<StartGroup> &groups,
                           const RoundInput &input);
    /** Refreshes the view of the fleet, or builds a new one when more than use has changed. */
    void updateView(const RoundInput &input);
    std::vector<PreemptionDecision> choosePreemptions(std::vector<UrgentRequest> requests,
                                                      std::vector<Instance> instances,
                                                      const RoundInput &input);
    /** Returns what the team may still start, given what was decided for it already. */
    Resources remainingLimit(const TeamId &team, const Resources &decided,
                             const RoundInput &input) const;
    bool isPreemptingFor(const TaskId &task, SteadyTime now) const;
    std::vector<RunningTask> tasksNotStopping(SteadyTime now) const;

    Fleet &fleet;
    TeamLedger &ledger;
    SchedulerSettings settings;
    std::unique_ptr<WaitingTable> waiting;
    std::unique_ptr<RunningTable> running;
    std::unique_ptr<HealthTable> health;
    std::unique_ptr<RetryQueue> retries;
    std::unique_ptr<RoundThreads> threads;

    /** Held for a whole round; guards what follows. */
    mutable std::mutex roundMutex;
    std::unique_ptr<FleetView> view;
    /** Grows whenever a shape that fitted nowhere could fit somewhere. */
    std::uint64_t capacityVersion = 1;
    std::uint64_t viewMembershipVersion = 0;
    Resources viewCapacity;
    /** The reservation that the view was built with. */
    JobId viewReservedFor;
    std::set<FailureDomainId> viewDomainsOut;
    std::set<InstanceId> viewExcluded;
    /** When failure domains came back, until their ramp is over. */
    std::map<FailureDomainId, SteadyTime> domainReturns;
    std::optional<GangReservation> gangReservation;
    /** Gangs that held a reservation in vain and wait for their next one. */
    std::map<JobId, SteadyTime> gangCooldowns;

    /** Guards what follows; taken after roundMutex where both are needed. */
    mutable std::mutex stopMutex;
    /** Attempts that were named for stopping, with the time. */
    std::map<AttemptId, SteadyTime> stopping;
    /** Urgent tasks for which room is being made, with the time. */
    std::map<TaskId, SteadyTime> preemptingFor;
};

} // namespace gooseberry
