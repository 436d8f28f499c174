#pragma once

// Worker machines that follow the workers' protocol on a simulated clock: processes that crash and
// come back, leases, fencing tokens, numbered ends, and orders that are lost, delayed or repeated.

#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <dispatch/dispatch.h>

#include "dispatch_fixture.h"
#include "run_oracle.h"

namespace gooseberry {

/** What a worker does with the number up to which its ends are acknowledged. */
enum class AcknowledgementMemory {
    ForgetsListedEnds, ///< Forgets the ends that it has when the order arrives.
    KeepsHighest, ///< Keeps the number, and lists no end up to it later on either.
};

struct SimulatedRun
{
    RunNumber run;
    SteadyTime until;
    EndKind how = EndKind::Done;
};

/** A machine with an address, and the process that runs on it now. */
struct SimulatedWorker
{
    std::size_t machine = 0;
    AcknowledgementMemory memory = AcknowledgementMemory::ForgetsListedEnds;
    WorkerRecord record;
    /** Processes that have run on this machine. */
    int processes = 0;
    bool up = false;
    SteadyTime cutUntil;
    /** Until then, what the worker sends gets lost, and what is sent to it arrives. */
    SteadyTime mutedUntil;
    std::chrono::milliseconds heartbeatInterval{500};
    SteadyTime startedAt;
    /** What the clock of the process showed first; any value. */
    std::chrono::milliseconds firstClock{0};
    SteadyTime returnsAt;
    bool returnsUnderItsId = true;
    SteadyTime nextHeartbeat;
    FencingToken fence;
    WorkerTime leaseEnd;
    std::map<TaskKey, SimulatedRun> running;
    std::map<TaskKey, RunNumber> highestRun;
    std::vector<EndedEntry> ended;
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    /** The highest acknowledgement that was sent to an earlier process on the machine. */
    std::uint64_t acknowledgedByDelayedOrder = 0;

    WorkerProcess process() const
    {
        return WorkerProcess{.machine = this->machine, .number = this->processes};
    }
};

/** Faults of orders and runs, in percent of them. */
struct WorkerFaults
{
    int unansweredOrders = 0;
    /** Carried out up to 12 s later. */
    int delayedOrders = 0;
    int failedRuns = 0;
};

/** Which starts the workers accept. */
enum class TicketRule {
    None, ///< All of them.
    ForProcess, ///< With a ticket that is young enough and names the process.
    ForId, ///< The same, but the ticket is good for all processes under the id.
};

/** The workers of a simulated cell, and the adviser that allows all of them. */
class SimulatedWorkers : public WorkerOrders, public AdviserAccess
{
public:
    SimulatedWorkers(ManualClock &initialClock, FakeTimers &initialTimers, unsigned seed);

    void start(const WorkerRef &ref, const StartOrder &order,
               std::function<void(Result<StartReply>)> done) override;
    void stop(const WorkerRef &ref, const StopOrder &order,
              std::function<void(Status)> done) override;
    void renewLease(const WorkerRef &ref, const LeaseRenewalOrder &order,
                    std::function<void(Result<LeaseRenewalReply>)> done) override;

    void advise(const AdviceRequest &request, std::chrono::microseconds cost,
                std::function<void(Result<AdviceReply>)> done) override;
    std::size_t senderCount() const override
    {
        return 8;
    }

    void addMachine(const WorkerRecord &record, std::chrono::milliseconds heartbeatInterval);
    WorkerTime clockOf(const SimulatedWorker &worker) const;
    bool isCut(const SimulatedWorker &worker) const;
    /** Returns whether what the worker sends arrives. */
    bool isHeard(const SimulatedWorker &worker) const;
    /** Ends the process; another one starts after the delay. */
    void crash(SimulatedWorker &worker, std::chrono::milliseconds delay, bool returnsUnderItsId);
    /** Starts processes, ends runs and answers lease renewals that have waited. */
    void tick();

    std::chrono::milliseconds between(int low, int high);
    bool chance(int percent);

    WorkerFaults faults;
    /** The longest lease that the workers accept. */
    std::chrono::milliseconds longestLease{6000};
    TicketRule ticketRule = TicketRule::None;
    std::vector<SimulatedWorker> machines;
    RunOracle oracle;

private:
    /** A lease renewal whose answer waits for an end. */
    struct WaitingRenewal
    {
        WorkerProcess process;
        SteadyTime until;
        std::function<void()> answer;
    };

    /** Carries the order out at the process that has the address when it arrives. */
    template<typename Reply, typename Callback, typename Apply>
    void deliver(const WorkerRef &ref, std::chrono::milliseconds timeout, Callback done,
                 Apply apply);
    SimulatedWorker *findByAddress(const Address &address);
    void beginProcess(SimulatedWorker &worker, bool sameId);
    std::string ticketFor(const SimulatedWorker &worker) const;
    bool acceptsTicket(const SimulatedWorker &worker, const std::string &ticket) const;
    StartReply applyStart(SimulatedWorker &worker, const WorkerRef &ref, const StartOrder &order,
                          bool restarted);
    void applyStop(SimulatedWorker &worker, const WorkerRef &ref, const StopOrder &order);
    void applyAcknowledgement(SimulatedWorker &worker, std::uint64_t number,
                              bool sentToEarlierProcess);
    LeaseRenewalReply report(const SimulatedWorker &worker) const;
    void extendLease(SimulatedWorker &worker, WorkerTime leaseEnd);
    void endRun(SimulatedWorker &worker, const TaskKey &task, EndKind how);
    void answerWaitingRenewals();

    ManualClock &clock;
    FakeTimers &timers;
    std::minstd_rand random;
    int lastId = 0;
    std::list<WaitingRenewal> waitingRenewals;
};

} // namespace gooseberry
