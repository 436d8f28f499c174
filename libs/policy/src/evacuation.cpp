#include <policy/evacuation.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace gooseberry {

namespace {

/** Returns the order in which classes are moved; lower values go first. */
int movePriority(JobClass jobClass)
{
    switch (jobClass) {
    case JobClass::Urgent:
        return 0;
    case JobClass::Service:
        return 1;
    case JobClass::Gang:
        return 2;
    case JobClass::Batch:
        return 3;
    }
    return 3;
}

std::uint64_t stableHash(const InstanceId &instance)
{
    // FNV-1a gives the same value on every control instance; std::hash does not guarantee that.
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char character : instance.value) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001B3ULL;
    }
    return hash ^ (hash >> 32U);
}

} // namespace

std::vector<MoveDecision> chooseMoves(const std::vector<RunningTask> &running,
                                      const std::vector<Instance> &instances,
                                      const std::set<FailureDomainId> &domainsOut,
                                      std::size_t movesInProgress,
                                      const EvacuationSettings &settings)
{
    std::map<InstanceId, Reason> leaving;
    for (const Instance &instance : instances) {
        if (domainsOut.contains(instance.spec.domain)) {
            leaving[instance.spec.id] = Reason::DomainOutOfService;
        } else if (instance.departing) {
            leaving[instance.spec.id] = Reason::InstanceDeparting;
        }
    }
    std::vector<const RunningTask *> candidates;
    for (const RunningTask &task : running) {
        if (task.repeatable && leaving.contains(task.instance)) {
            candidates.push_back(&task);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const RunningTask *a, const RunningTask *b) {
        const auto rank = [](const RunningTask *task) {
            return std::tuple(movePriority(task->jobClass), task->startedAt, task->attempt);
        };
        return rank(a) < rank(b);
    });
    const std::size_t allowed
        = settings.maxConcurrentMoves - std::min(movesInProgress, settings.maxConcurrentMoves);
    std::vector<MoveDecision> moves;
    for (const RunningTask *task : candidates) {
        if (moves.size() >= allowed) {
            break;
        }
        moves.push_back(MoveDecision{.attempt = task->attempt,
                                     .from = task->instance,
                                     .checkpoint = task->checkpointable,
                                     .reason = leaving.at(task->instance)});
    }
    return moves;
}

double rampFraction(std::chrono::milliseconds sinceReturn, const EvacuationSettings &settings)
{
    if (settings.rampUp <= std::chrono::milliseconds::zero()) {
        return 1.0;
    }
    const double elapsed
        = static_cast<double>(sinceReturn.count()) / static_cast<double>(settings.rampUp.count());
    const double fraction = settings.initialFraction + (1.0 - settings.initialFraction) * elapsed;
    return std::clamp(fraction, settings.initialFraction, 1.0);
}

bool isIncludedInRamp(const InstanceId &instance, double fraction)
{
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>(stableHash(instance) % steps)
        < fraction * static_cast<double>(steps);
}

} // namespace gooseberry
