#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <fleet/fleet.h>
#include <policy/running_task.h>

namespace gooseberry {

/** How long capacity may be reserved for a gang. */
struct ReservationSettings
{
    /** Added to the expected start, since tasks run over their estimate as often as under it. */
    std::chrono::milliseconds slack{std::chrono::seconds(30)};
    /** Upper bound. Waiting for tasks that run longer would leave the capacity idle too long. */
    std::chrono::milliseconds maxDuration{std::chrono::minutes(30)};
    /** Time before a gang may get another reservation after an unused one. */
    std::chrono::milliseconds cooldown{std::chrono::minutes(1)};
};

/** A gang that needs a reservation. */
struct GangRequest
{
    JobId job;
    Resources perTask;
    std::uint32_t tasks = 0;
    std::string service;
};

/** A reservation for a gang and the time when its capacity is expected to be free. */
struct GangReservation
{
    Reservation reservation;
    /** Backfilled tasks on the reserved instances must end by this time. */
    SteadyTime expectedStart;
};

/**
 * Chooses the instances that are expected to have free capacity for the whole gang first, based on
 * the estimated ends of the running tasks. Capacity that is not known to become free in time is not
 * counted. Returns nothing when no set of instances becomes free within maxDuration. There is at
 * most one reservation at a time and it keeps no capacity that is in use, so gangs can't deadlock.
 */
std::optional<GangReservation> planGangReservation(const GangRequest &gang,
                                                   const std::vector<Instance> &instances,
                                                   const std::vector<RunningTask> &running,
                                                   SteadyTime now,
                                                   const ReservationSettings &settings);

} // namespace gooseberry
