#pragma once

#include <chrono>

#include <base/base.h>

namespace gooseberry {

/** How many retries a team may have. */
struct RetrySettings
{
    /** Retries that each first try earns. A tenth keeps retries below a tenth of the work. */
    double retriesPerFirstAttempt = 0.1;
    /** Retries that a team may save up, and has at the start. */
    double maxBudget = 20.0;
    /** A team without a retry left may try again after this, so that nothing waits for ever. */
    std::chrono::milliseconds unbudgetedInterval{std::chrono::seconds(10)};
};

/** What a team may still retry. */
struct RetryBudget
{
    double remaining = 20.0;
    SteadyTime lastUnbudgetedRetry;
};

void creditFirstAttempt(RetryBudget &budget, const RetrySettings &settings);

/** Takes one retry out of the budget; returns false when the retry has to wait. */
bool takeRetry(RetryBudget &budget, SteadyTime now, const RetrySettings &settings);

} // namespace gooseberry
