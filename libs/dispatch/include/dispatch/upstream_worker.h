#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include <dispatch/worker_orders.h>

namespace gooseberry {

/** How much slower than this machine's clock a worker's clock may run. */
constexpr double maxWorkerClockLag = 0.02;

/** A reading of a worker's clock, and the time at which it was certainly not later than that. */
struct ClockReading
{
    WorkerTime clock;
    SteadyTime at;
};

/** Returns the earliest time that the worker's clock can show now. */
WorkerTime earliestWorkerTime(const ClockReading &reading, SteadyTime now);

/** Returns when the worker's clock has certainly passed the end of the lease. */
SteadyTime latestLeaseExpiry(const ClockReading &reading, WorkerTime leaseEnd);

/** A run that the leader does not keep, since its workflow has ended; it still takes its room. */
struct OrphanedRun
{
    RunNumber run;
    CustomerId customer;
    Resources size;
};

/** One life of a worker, as the leader sees it. */
struct UpstreamWorker
{
    WorkerRecord record;
    /** The scheduler's number for this life. */
    std::uint32_t slot = 0;
    /** What the runs below need, including those that are being stopped. */
    Resources reserved;
    std::map<TaskKey, RunNumber> runs;
    /** What it runs of workflows that have ended, as far as it was reported; these are stopped. */
    std::map<TaskKey, OrphanedRun> orphanedRuns;
    /** When it was last heard, by heartbeat or answer. */
    SteadyTime lastContact;
    std::optional<ClockReading> clock;
    /** The latest lease that the worker may have been granted, and when it is certainly over. */
    WorkerTime leaseGranted;
    SteadyTime leaseExpiresBy;
    /**
     * Until then, this life may still carry out orders that were sent to an earlier one. Their
     * lease is a time on a clock that has begun again, so it does not end them.
     */
    SteadyTime delayedOrdersUntil;
    /** A hold of this term was answered, so orders of earlier leaders have no effect any more. */
    bool fenceConfirmed = false;
    bool renewalInFlight = false;
    bool renewalScheduled = false;
    /** The last hold got no answer. */
    bool lastRenewalFailed = false;
    std::uint64_t lastSeenEnd = 0;
    /** Ends that are being stored; the worker must not forget these yet. */
    std::set<std::uint64_t> unstoredEnds;
    std::uint64_t acknowledgedEnds = 0;
    /** It left orders lastRenewalFailed or refused them; it gets nothing new until then. */
    SteadyTime avoidUntil;
    /** Runs that failed in a row, of different workflows. */
    std::uint32_t failuresInRow = 0;
    WorkflowId lastFailedWorkflow;
};

/** Returns what the worker has left. */
Resources freeCapacity(const UpstreamWorker &worker);

/** Returns up to which end the worker may forget. */
std::uint64_t highestAcknowledgeableEnd(const UpstreamWorker &worker);

} // namespace gooseberry
