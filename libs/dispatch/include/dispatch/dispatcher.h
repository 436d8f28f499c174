#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <dispatch/upstream_scheduler.h>

namespace gooseberry {

/**
 * Schedules the tasks of all upstreams while this instance leads. There is one scheduler for each
 * upstream, from the beginning of a term to its end. On an instance that does not lead, there are
 * no schedulers and no call has an effect.
 */
class Dispatcher
{
public:
    Dispatcher(DispatchSettings initialSettings, const Clock &initialClock,
               WorkerOrders &initialOrders, AdviserAccess &initialAdviser, CommandSink &initialLog,
               const WorkflowState &initialState, Schedule initialSchedule,
               DispatchObserver &initialObserver);

    /**
     * Creates the schedulers and recovers all workers and live workflows from the replicated state.
     */
    void beginTerm(Term term);
    void endTerm();

    // Called on the leader after the replicated state has applied the change.
    void workflowAccepted(const WorkflowId &id);
    void workflowCancelled(const WorkflowId &id);
    void workerAnnounced(const WorkerRecord &worker);
    void workerForgotten(const InstanceId &id, WorkerIncarnation incarnation);
    void configurationChanged();

    /**
     * A heartbeat arrived that announces nothing new. Clock is the worker's time when it was sent.
     */
    void heartbeatReceived(const WorkerRecord &worker, std::optional<WorkerTime> clock);

    std::map<std::string, UpstreamStats> stats() const;

private:
    std::shared_ptr<UpstreamScheduler> schedulerFor(const std::string &upstream);
    std::shared_ptr<UpstreamScheduler> createScheduler(const std::string &upstream);
    std::map<std::string, std::shared_ptr<UpstreamScheduler>> allSchedulers() const;

    const DispatchSettings settings;
    const Clock &clock;
    WorkerOrders &orders;
    AdviserAccess &adviser;
    CommandSink &log;
    const WorkflowState &state;
    const Schedule schedule;
    DispatchObserver &observer;

    mutable std::mutex mutex; ///< Guards the members below.
    std::optional<Term> term;
    /**
     * Each term has its own ledger, since callbacks of an earlier term may still release resources.
     */
    std::shared_ptr<CustomerLedger> ledger;
    std::map<std::string, std::shared_ptr<UpstreamScheduler>> schedulers;
};

} // namespace gooseberry
