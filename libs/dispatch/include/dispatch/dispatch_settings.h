#pragma once

#include <chrono>

namespace gooseberry {

/** Leases, timeouts and intervals of task scheduling. */
struct DispatchSettings
{
    /**
     * Lease that the leader grants to a worker, and so the longest time that the worker runs tasks
     * without contact to the leader. At most the longest lease that the worker accepts.
     */
    std::chrono::milliseconds workerLease{4500};
    /** The longest lease that a worker accepts; a longer one is cut down to this. */
    std::chrono::milliseconds longestWorkerLease{6000};
    /** How long the members of a gang wait for each other to start. */
    std::chrono::milliseconds gangTimeout{3000};
    /** Time that a worker may take to stop a run. */
    std::chrono::milliseconds stopTimeout{900};
    /**
     * How long the worker may delay its reply to a lease renewal until a run ends (long polling).
     * Longer waits need fewer calls.
     */
    std::chrono::milliseconds renewalWait{1500};
    /** Timeout of an order to a worker, in addition to the wait of a lease renewal. */
    std::chrono::milliseconds orderTimeout{800};
    /**
     * Pause after a lease renewal that reported ended runs, so that one call collects several ends.
     */
    std::chrono::milliseconds renewalPause{40};
    /**
     * Added to that pause for each worker, so that the call rate of a large fleet stays bounded.
     */
    std::chrono::microseconds renewalPausePerWorker{100};
    /** A worker without contact for this long gets no new tasks; covers two missed heartbeats. */
    std::chrono::milliseconds heartbeatTimeout{3500};
    /** A worker without contact and without runs is removed after this time. */
    std::chrono::milliseconds forgetTimeout{20'000};
    /** Minimum interval between placement passes; events within it share one pass. */
    std::chrono::milliseconds placementInterval{12};
    /** Interval of the checks for expired leases and stops without an answer. */
    std::chrono::milliseconds tickInterval{100};
    /**
     * A ticket is used only if it stays valid for at least this long, which leaves time to commit
     * the assignment and to deliver the start.
     */
    std::chrono::milliseconds ticketMargin{250};
    /** Factor by which a task slows down away from its data or its rack. */
    double remoteFactor = 3.0;
};

} // namespace gooseberry
