#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>
#include <workflow/workflow.h>

namespace gooseberry {

/**
 * The steady clock of one worker, which may run slower than this machine's by maxWorkerClockLag.
 */
struct WorkerClock
{
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WorkerClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};
using WorkerTime = WorkerClock::time_point;

/** A worker refuses an order whose token is lower than the highest that it has seen. */
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;

/**
 * Returns the token of orders to one incarnation of a worker. It rises with the term of the leader
 * and, within a term, with each restart of the worker that the leader learns of, so that a new
 * incarnation which has seen its token refuses the delayed orders to the earlier ones.
 */
FencingToken fencingToken(Term term, std::uint32_t workerRestarts);

/** The recipient of an order. Another incarnation of the same worker refuses the order. */
struct WorkerRef
{
    InstanceId id;
    Address address;
    WorkerIncarnation incarnation;
};

/** Tells a worker to start one run of a task. */
struct StartOrder
{
    TaskKey task;
    RunNumber run;
    std::shared_ptr<const WorkflowSpec> spec;
    /** The end of the lease, which applies to all runs on the worker. */
    WorkerTime leaseEnd;
    FencingToken fence;
    std::string checkpoint;
    /** The adviser's permission to run on this worker; empty if none is needed. */
    std::string ticket;
};

/** A worker's reply to a start. The run has begun only after Started. */
enum class StartResult {
    Started,
    Fenced, ///< The worker has received an order of a later leader.
    Superseded, ///< The worker has seen the end of this run or of a later one.
    LeaseExpired,
    NoCapacity,
    NoTicket,
    Invalid,
    OtherIncarnation,
    Unhealthy,
};
struct StartReply
{
    StartResult result = StartResult::Invalid;
    std::optional<WorkerTime> clock;
};

/** Tells a worker to stop a run, or to refuse its start if it arrives later. */
struct StopOrder
{
    TaskKey task;
    RunNumber run;
    FencingToken fence;
};

/** Renews the lease of all runs on a worker and requests a report of running and ended runs. */
struct LeaseRenewalOrder
{
    /** The end of the lease; zero if the order leaves the worker's lease as it is. */
    WorkerTime leaseEnd;
    FencingToken fence;
    /** The leader has stored all ends up to this number; the worker may forget them. */
    std::uint64_t acknowledgedEnds = 0;
    /** How long the worker may wait for a run to end before it answers. */
    std::chrono::milliseconds wait{0};
};

struct RunningEntry
{
    TaskKey task;
    RunNumber run;
    std::string checkpoint;
    double percent = 0.0;
};

enum class EndKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired, ///< The worker's lease had expired.
    GangBroken, ///< Another member of the gang had ended.
    GangIncomplete, ///< The other members of the gang did not start in time.
};
struct EndedEntry
{
    /** Sequence number of the end within one incarnation of the worker. */
    std::uint64_t number = 0;
    TaskKey task;
    RunNumber run;
    EndKind kind = EndKind::Failed;
    std::string checkpoint;
};

struct LeaseRenewalReply
{
    /** The worker has received an order of a later leader and ignored this one. */
    bool fenced = false;
    bool otherIncarnation = false;
    WorkerTime clock;
    std::optional<WorkerIncarnation> incarnation;
    std::vector<RunningEntry> running;
    std::vector<EndedEntry> ended;
    /** False if there may be more ends than the reply holds. */
    bool complete = true;
};

/** Sends orders to workers. Each callback is called exactly once, never from within the call. */
class WorkerOrders
{
public:
    virtual ~WorkerOrders() = default;

    virtual void start(const WorkerRef &worker, const StartOrder &order,
                       std::function<void(Result<StartReply>)> done)
        = 0;
    virtual void stop(const WorkerRef &worker, const StopOrder &order,
                      std::function<void(Status)> done)
        = 0;
    virtual void renewLease(const WorkerRef &worker, const LeaseRenewalOrder &order,
                            std::function<void(Result<LeaseRenewalReply>)> done)
        = 0;
};

} // namespace gooseberry
