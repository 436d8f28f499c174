#include <policy/placement.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** How well a task fits a candidate; lower is better, compared from top to bottom. */
struct Fit
{
    std::uint32_t inDomain = 0;
    std::uint32_t inRack = 0;
    bool strandsAccelerators = false;
    double leftover = 0.0;

    auto operator<=>(const Fit &other) const = default;
};

template<typename Index>
std::uint32_t countAt(const std::map<Index, std::uint32_t> &counts, Index index)
{
    const auto found = counts.find(index);
    return found == counts.end() ? 0 : found->second;
}

/** Weight of the imbalance between dimensions against the mean that stays free. */
constexpr double imbalanceWeight = 0.5;

/**
 * Returns the mean of the fractions that stay free plus the weighted distance between the largest
 * and the smallest. The second part keeps one dimension from running out while others are unused.
 */
double leftover(const Candidate &candidate, const Resources &wanted)
{
    double sum = 0.0;
    double least = 1.0;
    double most = 0.0;
    int dimensions = 0;
    const auto count = [&](std::int64_t free, std::int64_t amount, std::int64_t capacity) {
        if (capacity <= 0) {
            return;
        }
        const double rest = static_cast<double>(free - amount) / static_cast<double>(capacity);
        sum += rest;
        least = std::min(least, rest);
        most = std::max(most, rest);
        ++dimensions;
    };
    const Resources &free = candidate.free;
    const Resources &capacity = candidate.capacity;
    count(free.cpu.value, wanted.cpu.value, capacity.cpu.value);
    count(free.memory.value, wanted.memory.value, capacity.memory.value);
    count(free.accelerators.value, wanted.accelerators.value, capacity.accelerators.value);
    count(free.slots.value, wanted.slots.value, capacity.slots.value);
    return dimensions == 0 ? 0.0 : sum / dimensions + imbalanceWeight * (most - least);
}

/** The same as !firstShortage(), but inlined: this is the innermost loop of a decision. */
bool hasRoomFor(const Candidate &candidate, const Resources &wanted)
{
    return wanted.cpu <= candidate.free.cpu && wanted.memory <= candidate.free.memory
        && wanted.accelerators <= candidate.free.accelerators
        && wanted.slots <= candidate.free.slots;
}

bool mayTake(const Candidate &candidate, const PlacementRequest &request)
{
    if (request.service != ServiceIndex(0) && request.service != candidate.service) {
        return false;
    }
    if (request.spread != nullptr && request.domainCap
        && countAt(request.spread->perDomain, candidate.domain) > *request.domainCap) {
        return false;
    }
    if (!candidate.heldUntil || candidate.heldFor == request.job || request.ignoresReservations) {
        return true;
    }
    return request.expectedEnd && *request.expectedEnd <= *candidate.heldUntil;
}

Fit fitOf(const Candidate &candidate, const PlacementRequest &request)
{
    Fit fit;
    if (request.spread != nullptr) {
        fit.inDomain = countAt(request.spread->perDomain, candidate.domain);
        fit.inRack = countAt(request.spread->perRack, candidate.rack);
    }
    fit.strandsAccelerators
        = request.amount.accelerators.value == 0 && candidate.free.accelerators.value > 0;
    fit.leftover = leftover(candidate, request.amount);
    return fit;
}

} // namespace

bool isEligible(const Instance &instance, const JobSpec &spec,
                const std::set<FailureDomainId> &domainsOut)
{
    const bool offersService
        = spec.service.empty() || instance.spec.upstream.service == spec.service;
    return offersService && takesNewWork(instance, domainsOut);
}

bool takesNewWork(const Instance &instance, const std::set<FailureDomainId> &domainsOut)
{
    return !instance.departing && instance.reachable && !domainsOut.contains(instance.spec.domain);
}

bool fits(const Candidate &candidate, const PlacementRequest &request)
{
    return mayTake(candidate, request) && hasRoomFor(candidate, request.amount);
}

CandidateChoice chooseCandidate(std::span<const Candidate> candidates,
                                const PlacementRequest &request)
{
    CandidateChoice choice;
    Fit best;
    Fit second;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        // Room is the cheaper question and the more frequent answer is no.
        if (!hasRoomFor(candidate, request.amount)) {
            choice.anyEligible = choice.anyEligible || mayTake(candidate, request);
            continue;
        }
        if (!mayTake(candidate, request)) {
            continue;
        }
        choice.anyEligible = true;
        const Fit fit = fitOf(candidate, request);
        if (!choice.best || fit < best) {
            choice.runnerUp = choice.best;
            second = best;
            choice.best = index;
            best = fit;
        } else if (!choice.runnerUp || fit < second) {
            choice.runnerUp = index;
            second = fit;
        }
    }
    return choice;
}

} // namespace gooseberry
