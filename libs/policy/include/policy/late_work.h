#pragma once

#include <cstddef>

#include <base/base.h>

namespace gooseberry {

/**
 * Returns how many tasks of late steps a placement pass may start. AnswerTime is the smoothed time
 * that workers take to answer a start, as this process sees it: it grows when the process falls
 * behind with its own work. Late steps then yield to those that can still meet their objective,
 * since each start takes processor time that delays all others. It answers the seconds after an
 * outage, when a thousand late submissions return at once while new ones arrive. At least one late
 * step may start in each pass, so that none waits for good.
 */
std::size_t lateTaskBudget(Duration answerTime);

/** Returns the smoothed answer time after one more answer. */
Duration smoothAnswerTime(Duration smoothed, Duration latest);

} // namespace gooseberry
