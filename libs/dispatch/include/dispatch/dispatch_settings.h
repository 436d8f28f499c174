#pragma once

#include <chrono>

namespace gooseberry {

/** Times of the leader's duties towards workers and callers. */
struct DispatchSettings
{
    /** How long a worker may run on without hearing from the leader; at most what it grants. */
    std::chrono::milliseconds workerLease{4500};
    /** How long a gang's members wait for each other. */
    std::chrono::milliseconds gangPatience{3000};
    /** How long a worker may take to stop a run. */
    std::chrono::milliseconds stopPatience{900};
    /** How long a hold waits at a worker for an end; longer holds cost fewer calls. */
    std::chrono::milliseconds holdWait{1500};
    /** How long a worker may take to answer an order, beyond the wait of a hold. */
    std::chrono::milliseconds orderPatience{800};
    /** The pause after a hold that brought ends, so that one call collects several. */
    std::chrono::milliseconds holdPause{40};
    /** Added to that pause for each worker, so that the calls of a large fleet stay bounded. */
    std::chrono::microseconds renewalPausePerWorker{100};
    /** A worker not heard for this long gets nothing new; two missed heartbeats. */
    std::chrono::milliseconds silenceLimit{3500};
    /** A silent worker without runs is forgotten after this. */
    std::chrono::milliseconds forgetTimeout{20'000};
    /** Events within this time share one placement pass. */
    std::chrono::milliseconds placementInterval{12};
    /** How often leases and overdue orders are looked at. */
    std::chrono::milliseconds tickInterval{100};
    /** A ticket is used only while it lasts at least this long, for commit and delivery. */
    std::chrono::milliseconds ticketMargin{250};
    /** How many times longer work takes away from its data or its rack. */
    double remoteFactor = 3.0;
};

} // namespace gooseberry
