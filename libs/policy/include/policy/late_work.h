#pragma once

#include <cstddef>

#include <base/base.h>

namespace gooseberry {

/**
 * Returns how many tasks of late steps a placement pass may start, and for how many it may ask the
 * adviser. Lateness is the smoothed time by which passes begin late: it grows when the process
 * falls behind with its own work, and not when workers or links are slow. Late steps then yield to
 * those that can still meet their objective, since each start and each request takes processor time
 * that delays all others. It answers the seconds after an outage, when a thousand late submissions
 * return at once while new ones arrive. At least one late step may start in each pass, so that none
 * waits for good.
 */
std::size_t lateTaskBudget(Duration lateness);

/** Returns what a request to the adviser takes of that budget, for a late step that waits. */
std::size_t lateAdviceCost(std::size_t waitingTasks);

/** Returns the smoothed lateness after one more pass. */
Duration smoothLateness(Duration smoothed, Duration latest);

} // namespace gooseberry
