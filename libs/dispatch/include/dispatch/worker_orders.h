#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>
#include <workflow/workflow.h>

namespace gooseberry {

/** The steady clock of one worker, which may run a little slower than the one of this machine. */
struct WorkerClock
{
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WorkerClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};
using WorkerTime = WorkerClock::time_point;

/** Whom an order is meant for: another life of the same worker refuses it. */
struct WorkerRef
{
    InstanceId id;
    Address address;
    WorkerLife life;
};

/** Tells a worker to start one run of a task. */
struct StartOrder
{
    TaskKey task;
    RunNumber run;
    std::shared_ptr<const WorkflowSpec> spec;
    /** The end of the lease that everything on the worker holds. */
    WorkerTime leaseEnd;
    Term fence;
    std::string checkpoint;
    /** The adviser's permission; empty where none is needed. */
    std::string ticket;
};

/** What a worker says to a start. After all but Started, it has not begun the run. */
enum class StartVerdict {
    Started,
    Fenced, ///< It has heard from a later leader.
    Superseded, ///< It has seen this run end, or a later one.
    LeaseOver,
    NoRoom,
    NoTicket,
    Invalid,
    OtherLife,
    Unhealthy,
};
struct StartReply
{
    StartVerdict verdict = StartVerdict::Invalid;
    std::optional<WorkerTime> clock;
};

/** Tells a worker to end a run, or never to begin it. */
struct StopOrder
{
    TaskKey task;
    RunNumber run;
    Term fence;
};

/** Extends the lease of everything on the worker and asks what runs and what has ended. */
struct HoldOrder
{
    WorkerTime leaseEnd;
    Term fence;
    /** The worker may forget ends up to this number. */
    std::uint64_t acknowledgedEnds = 0;
    /** How long the worker may wait for an end before it answers. */
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
    Lapsed, ///< The lease was over.
    Broken, ///< Another member of the gang ended.
    Alone, ///< The other members of the gang did not come in time.
};
struct EndedEntry
{
    /** Counts the ends of one life of the worker. */
    std::uint64_t number = 0;
    TaskKey task;
    RunNumber run;
    EndKind kind = EndKind::Failed;
    std::string checkpoint;
};

struct HoldReply
{
    /** The worker has heard from a later leader and did nothing. */
    bool fenced = false;
    bool otherLife = false;
    WorkerTime clock;
    std::optional<WorkerLife> life;
    std::vector<RunningEntry> running;
    std::vector<EndedEntry> ended;
    /** False when there may be more ends than the reply holds. */
    bool complete = true;
};

/** Carries orders to workers. Each callback is called exactly once, never from within the call. */
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
    virtual void hold(const WorkerRef &worker, const HoldOrder &order,
                      std::function<void(Result<HoldReply>)> done)
        = 0;
};

} // namespace gooseberry
