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
 * Keeps the waiting tasks and decides where they start. Thread-safe: waiting tasks, running tasks
 * and failure records are in shards that each have their own lock. Rounds run one at a time, each
 * on all decision threads.
 *
 * The caller carries out the decisions: it commits starts and calls releaseStart(), and it stops
 * the tasks that preemptions(), evacuations() and corrections() return. Without calls of
 * taskStarted() and taskEnded(), the scheduler still decides starts, but has no run-time estimates,
 * no failure records and nothing to preempt or move.
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
     * Adds a waiting task, or replaces it if it waits already. A gang becomes schedulable once all
     * of its tasks are added. A task whose latest attempt failed first waits for its team's retry
     * budget.
     */
    void addTask(const WaitingJob &job, const std::shared_ptr<const JobSpec> &spec,
                 std::uint32_t index, Attempt nextAttempt);
    /** Removes the job's waiting tasks and its failure record. Running tasks are not affected. */
    void removeJob(const JobId &job);
    void clear();
    std::uint32_t pendingTasks(const QueueId &queue) const;
    /** Returns the number of waiting tasks in the cell, without retries, for load shedding. */
    std::uint32_t pendingTasks() const;

    /**
     * Runs a scheduling round and returns the tasks to start. The resources of each decision stay
     * reserved in the fleet and the ledger until releaseStart() is called for it. Its task no
     * longer waits.
     */
    std::vector<StartGroup> runRound(const RoundInput &input);

    /** Releases the resources reserved for a decision after it was committed or discarded. */
    void releaseStart(const StartDecision &decision);

    /** Returns why the job waits as of the last round; Accepted before its first round. */
    Reason whyWaiting(const JobId &job) const;

    /** Records a committed start. A new leader also calls it for starts found in the state. */
    void taskStarted(const RunningTask &task);
    /**
     * Records the end of an attempt. Must be called before addTask() for the next attempt. A
     * failure may quarantine the instance or back off the job, which the result reports for the
     * log.
     */
    FaultDecision taskEnded(const TaskEnd &end);
    /** Records the usage of an attempt as reported by its worker. Late reports are accepted. */
    void reportUsage(const AttemptId &attempt, const InstanceId &instance, const Resources &actual);

    /**
     * Chooses the tasks to stop for urgent tasks that did not fit in the last round. In the round
     * after the victims have ended, urgent tasks are the first to use the freed capacity.
     */
    std::vector<PreemptionDecision> preemptions(const RoundInput &input);
    /**
     * Chooses the tasks to move off departing instances and off failure domains that are out of
     * service. Called once per round; the number of concurrent moves is limited.
     */
    std::vector<MoveDecision> evacuations(const RoundInput &input);
    /** Chooses the tasks to throttle or stop on an instance; called after its usage reports. */
    std::vector<CorrectionDecision> corrections(const InstanceId &instance, SteadyTime now);

    /** Returns the instances that get no new tasks because jobs failed on them repeatedly. */
    std::set<InstanceId> quarantined(SteadyTime now) const;
    /** Returns the current gang reservation, if any. */
    std::optional<Reservation> reservation() const;

private:
    void admitRetries(SteadyTime now);
    /** Records when failure domains return and removes those whose ramp-up is over. */
    void trackReturnedDomains(const RoundInput &input);
    /** Returns the instances that get no new tasks: quarantined or not yet included in the ramp. */
    std::set<InstanceId> excludedInstances(SteadyTime now) const;
    void expireReservation(SteadyTime now);
    void updateReservation(const SchedulingRound &round, const std::vector<StartGroup> &groups,
                           const RoundInput &input);
    /** Updates the free capacities in the view, or rebuilds it when anything else has changed. */
    void updateView(const RoundInput &input);
    std::vector<PreemptionDecision> choosePreemptions(std::vector<UrgentRequest> requests,
                                                      std::vector<Instance> instances,
                                                      const RoundInput &input);
    /** Returns the resources that the team may still use, given what was decided for it already. */
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

    /** Locked for a whole round; guards the members up to stopMutex. */
    mutable std::mutex roundMutex;
    std::unique_ptr<FleetView> view;
    /** Incremented whenever a shape that fitted on no instance might fit now. */
    std::uint64_t capacityVersion = 1;
    std::uint64_t viewMembershipVersion = 0;
    Resources viewCapacity;
    /** The job whose reservation the view was built with. */
    JobId viewReservedFor;
    std::set<FailureDomainId> viewDomainsOut;
    std::set<InstanceId> viewExcluded;
    /** When failure domains returned to service, until their ramp-up is over. */
    std::map<FailureDomainId, SteadyTime> domainReturns;
    std::optional<GangReservation> gangReservation;
    /** Gangs whose reservation expired or failed, and when they may get the next one. */
    std::map<JobId, SteadyTime> gangCooldowns;

    /** Guards the members below; locked after roundMutex where both are needed. */
    mutable std::mutex stopMutex;
    /** When running attempts were chosen to be stopped. */
    std::map<AttemptId, SteadyTime> stopping;
    /** When victims were chosen for urgent tasks. */
    std::map<TaskId, SteadyTime> preemptingFor;
};

} // namespace gooseberry
