#include <policy/retry.h>

#include <algorithm>

namespace gooseberry {

void creditFirstAttempt(RetryBudget &budget, const RetrySettings &settings)
{
    budget.remaining
        = std::min(settings.maxBudget, budget.remaining + settings.retriesPerFirstAttempt);
}

bool takeRetry(RetryBudget &budget, SteadyTime now, const RetrySettings &settings)
{
    if (budget.remaining >= 1.0) {
        budget.remaining -= 1.0;
        return true;
    }
    if (now - budget.lastUnbudgetedRetry < settings.unbudgetedInterval) {
        return false;
    }
    budget.lastUnbudgetedRetry = now;
    return true;
}

} // namespace gooseberry
