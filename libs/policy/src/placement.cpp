#include <policy/placement.h>

#include <limits>

namespace gooseberry {

namespace {

/** Returns the share of the instance that stays unused in the dimension that is used most. */
double leftover(const Instance &instance, const Resources &wanted)
{
    const auto rest = subtract(freeCapacity(instance), wanted);
    return rest ? dominantShare(*rest, instance.spec.capacity)
                : std::numeric_limits<double>::infinity();
}

} // namespace

bool isEligible(const Instance &instance, const JobSpec &spec,
                const std::set<FailureDomainId> &domainsOut)
{
    const bool offersService
        = spec.service.empty() || instance.spec.upstream.service == spec.service;
    return offersService && !instance.departing && instance.reachable
        && !domainsOut.contains(instance.spec.domain);
}

PlacementChoice choosePlacement(const JobSpec &spec, const std::vector<Instance> &instances,
                                const std::set<FailureDomainId> &domainsOut)
{
    PlacementChoice choice;
    choice.reason = Reason::NoInstanceForService;
    double best = std::numeric_limits<double>::infinity();
    for (const Instance &instance : instances) {
        if (!isEligible(instance, spec, domainsOut)) {
            continue;
        }
        if (!choice.instance) {
            choice.reason = Reason::NoCapacity;
        }
        const double rest = leftover(instance, spec.perTask);
        if (rest < best) {
            best = rest;
            choice.runnerUp = choice.instance;
            choice.instance = instance.spec.id;
            choice.reason = Reason::BestFit;
        }
    }
    return choice;
}

} // namespace gooseberry
