#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include <dispatch/worker_orders.h>
#include <policy/policy.h>

namespace gooseberry {

/** Largest fraction by which a worker's clock may run slower than the clock of this machine. */
constexpr double maxWorkerClockLag = 0.02;

/**
 * A reading of a worker's clock, and the local time when it arrived. At that time, the worker's
 * clock showed at least the reading.
 */
struct ClockReading
{
    WorkerTime clock;
    SteadyTime at;
};

/** Returns the earliest time that the worker's clock can show now, given the largest clock lag. */
WorkerTime earliestWorkerTime(const ClockReading &reading, SteadyTime now);

/**
 * Returns the local time by which the lease has expired on the worker, given the largest clock lag.
 */
SteadyTime latestLeaseExpiry(const ClockReading &reading, WorkerTime leaseEnd);

/**
 * A run that a worker reports and the scheduler has no record of, usually since its workflow has
 * ended. It reserves capacity until it has stopped.
 */
struct OrphanedRun
{
    RunNumber run;
    CustomerId customer;
    Resources size;
};

/** One incarnation of a worker, as the leader sees it. */
struct UpstreamWorker
{
    WorkerRecord record;
    /** The scheduler's number of this incarnation. */
    std::uint32_t slot = 0;
    /** Capacity that the runs below reserve, including those that are being stopped. */
    Resources reserved;
    /** When the worker last gained room for tasks. */
    RoomVersion roomGained = 0;
    /** The worker could get new tasks in the last placement pass. */
    bool wasUsable = false;
    std::map<TaskKey, RunNumber> runs;
    /** Runs in its latest report that the scheduler has no record of; they are being stopped. */
    std::map<TaskKey, OrphanedRun> orphanedRuns;
    /** When the last heartbeat or answer arrived. */
    SteadyTime lastContact;
    std::optional<ClockReading> clock;
    /**
     * The latest lease end that the worker may have received from this leader, and when that lease
     * has certainly expired in local time.
     */
    WorkerTime leaseGranted;
    SteadyTime leaseExpiresBy;
    /**
     * When all leases that earlier leaders, or orders to an earlier incarnation, may have granted
     * have certainly expired.
     */
    SteadyTime earlierLeasesExpireBy;
    /**
     * This incarnation has answered a lease renewal with a higher fencing token than all orders to
     * earlier incarnations and all orders of earlier leaders, so it refuses these.
     */
    bool fenceConfirmed = false;
    /** The present incarnation followed another one, and an order to that may have reached it. */
    bool hasRestarted = false;
    /** Restarts of the worker that this leader has learned of; part of its fencing token. */
    std::uint32_t restarts = 0;
    /**
     * This incarnation has deregistered. It gets no new tasks and no longer lease, but it may go on
     * for seconds, so its runs count until they are known to have ended.
     */
    bool left = false;
    /** Another worker answers at this one's address, so this incarnation has ended. */
    bool replaced = false;
    bool renewalInFlight = false;
    bool renewalScheduled = false;
    /** The last lease renewal got no answer. */
    bool lastRenewalFailed = false;
    /** This incarnation has answered the last lease renewal, which was sent. */
    bool lastRenewalAnswered = false;
    std::uint64_t lastSeenEnd = 0;
    /** Ends that are being stored and must not be acknowledged yet. */
    std::set<std::uint64_t> unstoredEnds;
    /** The worker has answered an acknowledgement of the ends up to this one. */
    std::uint64_t acknowledgedEnds = 0;
    /**
     * The worker gets no new tasks until then, after failed tasks and orders that were refused or
     * got no answer.
     */
    SteadyTime avoidUntil;
    /** Consecutive failed runs of different workflows. */
    std::uint32_t failuresInRow = 0;
    WorkflowId lastFailedWorkflow;
};

/** What the answer to a lease renewal refers to. */
struct SentRenewal
{
    InstanceId worker;
    WorkerIncarnation incarnation;
    FencingToken fence;
    SteadyTime sentAt;
    std::uint64_t acknowledgedEnds = 0;
};

/** What the answer to a start refers to. */
struct SentStart
{
    TaskKey task;
    RunNumber run;
    InstanceId worker;
    /** The incarnation that the leader knew when it sent the start. */
    WorkerIncarnation incarnation;
    SteadyTime sentAt;
};

/**
 * Returns the local time by which a lease of this length, which the worker receives now, has
 * expired on the worker, given the largest clock lag.
 */
SteadyTime latestExpiryOf(std::chrono::milliseconds lease, SteadyTime now);

/** A worker's first answer to an order that has a higher fencing token than all earlier ones. */
struct FenceConfirmation
{
    /** By the replicated state, how long ago, at least, the incarnation followed another one. */
    std::optional<std::chrono::milliseconds> timeSinceRestart;
    SteadyTime at;
    SteadyTime termBegan;
    /** The same, learned in this term. */
    bool hasRestarted = false;
    /** The lease that leaders grant. */
    std::chrono::milliseconds usualLease;
    /** The longest one that workers accept. */
    std::chrono::milliseconds longestLease;
};

/**
 * Returns the local time by which every lease has expired that the worker had from orders with
 * lower tokens. Such an order may have been meant for an earlier incarnation: its lease end, a time
 * on that one's clock, may be far ahead, and the worker then cuts it down to the longest lease. An
 * incarnation that began longer ago than orders are delayed and leases last has none of these.
 */
SteadyTime earlierLeasesExpiry(const FenceConfirmation &confirmation);

/** Returns the local time by which every lease that the worker may hold has expired. */
SteadyTime lastLeaseExpiry(const UpstreamWorker &worker);

/**
 * Returns whether the clock in a worker's answer to an order, which was sent then, shows less than
 * the clock of the incarnation that gave the reading. Another incarnation has answered then, and
 * lease ends on the earlier clock are further ahead on its own. A worker's answer to a start names
 * no incarnation, so its clock is the only sign.
 */
bool isFromAnotherClock(const ClockReading &reading, WorkerTime answered, SteadyTime sentAt);

/** Returns whether the successor has another id, and began later at the same address. */
bool isReplacedBy(const WorkerRecord &worker, const WorkerRecord &successor);

/** Returns the capacity that neither runs nor orphaned runs reserve. */
Resources freeCapacity(const UpstreamWorker &worker);

/** Returns the highest end up to which all ends are stored, so that the worker may forget them. */
std::uint64_t highestAcknowledgeableEnd(const UpstreamWorker &worker);

/**
 * Returns the number up to which the next lease renewal acknowledges ends; zero for none. Each
 * incarnation numbers its ends from one, so an acknowledgement that reaches the next incarnation
 * may have it forget ends that nobody has read. Therefore none is sent again that was answered, and
 * none after a renewal without an answer, as the worker may have restarted.
 */
std::uint64_t acknowledgementToSend(const UpstreamWorker &worker);

} // namespace gooseberry
