#include <dispatch/step_urgency.h>

namespace gooseberry {

SteadyTime latestStart(const StepUrgency &urgency)
{
    return urgency.objective - urgency.remaining;
}

bool isLate(const StepUrgency &urgency, SteadyTime now)
{
    return latestStart(urgency) < now;
}

bool hasPriorityOver(const StepUrgency &left, const StepUrgency &right, SteadyTime now)
{
    const bool leftLate = isLate(left, now);
    const bool rightLate = isLate(right, now);
    if (leftLate != rightLate) {
        return rightLate;
    }
    const bool leftUrgent = left.priority == 0;
    const bool rightUrgent = right.priority == 0;
    if (leftUrgent != rightUrgent) {
        return leftUrgent;
    }
    return latestStart(left) < latestStart(right);
}

} // namespace gooseberry
