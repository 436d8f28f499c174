#pragma once

#include <chrono>

#include <base/base.h>

namespace gooseberry {

/** Limits on the retries of a team. */
struct RetrySettings
{
    /** Retries credited for each first attempt; 0.1 limits retries to a tenth of first attempts. */
    double retriesPerFirstAttempt = 0.1;
    /** Upper bound of a team's budget, which is also its initial value. */
    double maxBudget = 20.0;
    /** An exhausted budget still allows one retry per interval, so that no task waits forever. */
    std::chrono::milliseconds unbudgetedInterval{std::chrono::seconds(10)};
};

/** The retries that a team has left. */
struct RetryBudget
{
    double remaining = 20.0;
    SteadyTime lastUnbudgetedRetry;
};

/** Adds the credit for a first attempt to the budget. */
void creditFirstAttempt(RetryBudget &budget, const RetrySettings &settings);

/** Takes one retry from the budget; returns false when the retry has to wait. */
bool takeRetry(RetryBudget &budget, SteadyTime now, const RetrySettings &settings);

} // namespace gooseberry
