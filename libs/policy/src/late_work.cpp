#include <policy/late_work.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** With passes every 12 ms, this is above the highest rate of starts that a leader can send. */
constexpr std::size_t fullBudget = 64;
/** Allows one step of usual size. */
constexpr std::size_t minBudget = 4;
/** Workers answer within a few milliseconds while the leader keeps up with its work. */
constexpr std::chrono::milliseconds calmAnswerTime{30};
/** Half of the shortest objectives beyond their running time. */
constexpr std::chrono::milliseconds overloadedAnswerTime{120};
/** Weight of one answer; some 30 answers, a few passes, replace the old value. */
constexpr int answersPerMean = 32;

} // namespace

std::size_t lateTaskBudget(Duration answerTime)
{
    const auto clamped
        = std::clamp<Duration>(answerTime, calmAnswerTime, overloadedAnswerTime) - calmAnswerTime;
    const std::chrono::duration<double> excess = clamped;
    const std::chrono::duration<double> range = overloadedAnswerTime - calmAnswerTime;
    const double share = 1.0 - excess / range;
    return minBudget
        + static_cast<std::size_t>(share * static_cast<double>(fullBudget - minBudget));
}

Duration smoothAnswerTime(Duration smoothed, Duration latest)
{
    return smoothed + (latest - smoothed) / answersPerMean;
}

} // namespace gooseberry
