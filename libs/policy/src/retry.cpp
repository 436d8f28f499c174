#include <policy/retry.h>

#include <algorithm>

namespace gooseberry {

void countFirstTry(RetryBudget &budget, const RetrySettings &settings)
{
    budget.left = std::min(settings.most, budget.left + settings.earnedPerFirstTry);
}

bool takeRetry(RetryBudget &budget, SteadyTime now, const RetrySettings &settings)
{
    if (budget.left >= 1.0) {
        budget.left -= 1.0;
        return true;
    }
    if (now - budget.lastTrickle < settings.trickle) {
        return false;
    }
    budget.lastTrickle = now;
    return true;
}

} // namespace gooseberry
