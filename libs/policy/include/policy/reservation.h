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

/** How long room may be kept for a gang. */
struct ReservationSettings
{
    /** Added to the expected start, since estimates are late as often as early. */
    std::chrono::milliseconds slack{std::chrono::seconds(30)};
    /** The longest reservation. Work that runs longer would block the room for nothing. */
    std::chrono::milliseconds maxDuration{std::chrono::minutes(30)};
    /** After a reservation that ended unused, the gang waits this long for its next one. */
    std::chrono::milliseconds cooldown{std::chrono::minutes(1)};
};

/** A gang that wants room. */
struct GangRequest
{
    JobId job;
    Resources perTask;
    std::uint32_t tasks = 0;
    std::string service;
};

/** Room kept for a gang, and when the work that runs there now is expected to have ended. */
struct GangReservation
{
    Reservation reservation;
    /** Backfill on the reserved instances must end by this time. */
    SteadyTime expectedStart;
};

/**
 * Chooses the instances that are expected to have room for the whole gang first, by the running
 * tasks' estimated ends. Instances with work that is not known to end in time are left out.
 * Returns nothing when no set of instances gets free within the longest reservation. There is at
 * most one reservation at a time and it holds no running room, so gangs never wait for each other.
 */
std::optional<GangReservation> planGangReservation(const GangRequest &gang,
                                                   const std::vector<Instance> &instances,
                                                   const std::vector<RunningTask> &running,
                                                   SteadyTime now,
                                                   const ReservationSettings &settings);

} // namespace gooseberry
