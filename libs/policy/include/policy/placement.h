#pragma once

#include <optional>
#include <set>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <fleet/fleet.h>
#include <policy/reason.h>

namespace gooseberry {

/** Where a task goes and why, with the next best place for the decision log. */
struct PlacementChoice
{
    std::optional<InstanceId> instance;
    std::optional<InstanceId> runnerUp;
    Reason reason = Reason::NoCapacity;
};

/** Returns whether the instance may take a new task of the job at all, room aside. */
bool isEligible(const Instance &instance, const JobSpec &spec,
                const std::set<FailureDomainId> &domainsOut);

/** Chooses the instance that the task fills best among those where it fits. */
PlacementChoice choosePlacement(const JobSpec &spec, const std::vector<Instance> &instances,
                                const std::set<FailureDomainId> &domainsOut);

} // namespace gooseberry
