#include <policy/placement.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** Ranks a candidate for a task; members are compared in order and lower is better. */
struct PlacementScore
{
    std::uint32_t inDomain = 0;
    std::uint32_t inRack = 0;
    bool strandsAccelerators = false;
    double unusedCapacityScore = 0.0;

    auto operator<=>(const PlacementScore &other) const = default;
};

template<typename Index>
std::uint32_t countOf(const std::map<Index, std::uint32_t> &counts, Index index)
{
    const auto found = counts.find(index);
    return found == counts.end() ? 0 : found->second;
}

/** Weight of the imbalance between dimensions relative to the mean free fraction. */
constexpr double imbalanceWeight = 0.5;

/**
 * Returns the mean over all dimensions of the fraction that stays free, plus the weighted distance
 * between the largest and the smallest fraction. The second term keeps one dimension from running
 * out while others are unused.
 */
double unusedCapacityScore(const Candidate &candidate, const Resources &wanted)
{
    double sum = 0.0;
    double minimum = 1.0;
    double maximum = 0.0;
    int dimensions = 0;
    const auto addDimension = [&](std::int64_t free, std::int64_t amount, std::int64_t capacity) {
        if (capacity <= 0) {
            return;
        }
        const double rest = static_cast<double>(free - amount) / static_cast<double>(capacity);
        sum += rest;
        minimum = std::min(minimum, rest);
        maximum = std::max(maximum, rest);
        ++dimensions;
    };
    const Resources &free = candidate.free;
    const Resources &capacity = candidate.capacity;
    addDimension(free.cpu.value, wanted.cpu.value, capacity.cpu.value);
    addDimension(free.memory.value, wanted.memory.value, capacity.memory.value);
    addDimension(free.accelerators.value, wanted.accelerators.value, capacity.accelerators.value);
    addDimension(free.slots.value, wanted.slots.value, capacity.slots.value);
    return dimensions == 0 ? 0.0 : sum / dimensions + imbalanceWeight * (maximum - minimum);
}

/** The same as !firstShortage(), but inlined, since it runs in the innermost placement loop. */
bool hasFreeCapacity(const Candidate &candidate, const Resources &wanted)
{
    return wanted.cpu <= candidate.free.cpu && wanted.memory <= candidate.free.memory
        && wanted.accelerators <= candidate.free.accelerators
        && wanted.slots <= candidate.free.slots;
}

/** Checks service, domain and reservation constraints, but not the free capacity. */
bool meetsConstraints(const Candidate &candidate, const PlacementRequest &request)
{
    if (request.service != ServiceIndex(0) && request.service != candidate.service) {
        return false;
    }
    if (request.spread != nullptr && request.maxTasksInDomain
        && countOf(request.spread->perDomain, candidate.domain) > *request.maxTasksInDomain) {
        return false;
    }
    if (!candidate.reservedUntil || candidate.reservedFor == request.job
        || request.ignoresReservations) {
        return true;
    }
    return request.expectedEnd && *request.expectedEnd <= *candidate.reservedUntil;
}

PlacementScore scoreOf(const Candidate &candidate, const PlacementRequest &request)
{
    PlacementScore score;
    if (request.spread != nullptr) {
        score.inDomain = countOf(request.spread->perDomain, candidate.domain);
        score.inRack = countOf(request.spread->perRack, candidate.rack);
    }
    score.strandsAccelerators
        = request.amount.accelerators.value == 0 && candidate.free.accelerators.value > 0;
    score.unusedCapacityScore = unusedCapacityScore(candidate, request.amount);
    return score;
}

} // namespace

bool isEligible(const Instance &instance, const JobSpec &spec,
                const std::set<FailureDomainId> &domainsOut)
{
    const bool offersService
        = spec.service.empty() || instance.spec.upstream.service == spec.service;
    return offersService && acceptsNewTasks(instance, domainsOut);
}

bool acceptsNewTasks(const Instance &instance, const std::set<FailureDomainId> &domainsOut)
{
    return !instance.departing && instance.reachable && !domainsOut.contains(instance.spec.domain);
}

bool fits(const Candidate &candidate, const PlacementRequest &request)
{
    return meetsConstraints(candidate, request) && hasFreeCapacity(candidate, request.amount);
}

CandidateChoice chooseCandidate(std::span<const Candidate> candidates,
                                const PlacementRequest &request)
{
    CandidateChoice choice;
    PlacementScore best;
    PlacementScore second;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        // Checked first because it is cheaper and fails more often.
        if (!hasFreeCapacity(candidate, request.amount)) {
            choice.anyEligible = choice.anyEligible || meetsConstraints(candidate, request);
            continue;
        }
        if (!meetsConstraints(candidate, request)) {
            continue;
        }
        choice.anyEligible = true;
        const PlacementScore score = scoreOf(candidate, request);
        if (!choice.best || score < best) {
            choice.runnerUp = choice.best;
            second = best;
            choice.best = index;
            best = score;
        } else if (!choice.runnerUp || score < second) {
            choice.runnerUp = index;
            second = score;
        }
    }
    return choice;
}

} // namespace gooseberry
