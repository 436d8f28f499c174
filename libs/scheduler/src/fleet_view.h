#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/base.h>
#include <fleet/fleet.h>
#include <policy/policy.h>

namespace gooseberry {

/** Where a task was placed in the view. */
struct ViewPlacement
{
    std::size_t slice = 0;
    std::size_t index = 0;
    DomainIndex domain;
    RackIndex rack;
    InstanceId instance;
    std::optional<InstanceId> runnerUp;
};

/** Room that is kept for a gang: see Candidate::reservedUntil. */
struct ReservedInstance
{
    InstanceId instance;
    JobId job;
    SteadyTime until;

    bool operator==(const ReservedInstance &other) const = default;
};

/**
 * The instances that take new work, with what was free at the start of a round, in slices that each
 * have their own lock. A placement looks at one slice after the other and stops at the first that
 * has room, so its cost does not grow with the fleet; only work that finds no room looks at all
 * slices. Instances with accelerators are in slices of their own.
 */
class FleetView
{
public:
    FleetView(const std::vector<Instance> &instances, const std::set<FailureDomainId> &domainsOut,
              const std::set<InstanceId> &excluded, const std::vector<ReservedInstance> &reserved);

    /** Takes over what is free now on instances that the view knows; called between rounds. */
    void refresh(const std::vector<Instance> &changed);

    ServiceIndex serviceIndex(const std::string &service) const;
    std::optional<DomainIndex> domainIndex(const InstanceId &instance) const;
    /** Counts a task of a job that runs already, so that the next ones go elsewhere. */
    void countSpread(SpreadCounts &counts, const InstanceId &instance) const;

    /**
     * Takes room for the request and returns where, or nothing when no instance has room. Slices
     * are visited from startFraction on, a fraction between 0 and 1 of their number.
     */
    std::optional<ViewPlacement> place(const PlacementRequest &request, double startFraction);
    /** Gives back what place() took. */
    void release(const ViewPlacement &place, const Resources &amount);
    /** Marks an instance as full when the fleet refused what the view had room for. */
    void markFull(const ViewPlacement &place);

    /** Returns how many tasks of the request would fit at once, counting at most enough. */
    std::uint32_t countPlaceable(const PlacementRequest &request, std::uint32_t enough);
    /** Returns why the request finds no room, looking at sizes instead of at what is free. */
    Reason whyUnplaceable(const PlacementRequest &request);

private:
    struct Slice
    {
        std::mutex mutex;
        std::vector<Candidate> candidates;
        /** Positions in names, one for each candidate. */
        std::vector<std::size_t> idIndexes;
        /** At least the largest free amount in each dimension; never too small. */
        Resources maxFree;
        /** Whether maxFree is exact; a placement makes it a mere bound. */
        bool maxFreeIsExact = true;
    };
    /** Slices of about this size keep a decision as cheap as in a small cell. */
    static constexpr std::size_t sliceSize = 48;

    void addSlices(const std::vector<std::pair<Candidate, std::size_t>> &group);
    std::optional<ViewPlacement> placeWithin(const PlacementRequest &request, std::size_t begin,
                                             std::size_t end, double startFraction);
    std::optional<ViewPlacement> placeInSlice(const PlacementRequest &request, std::size_t slice);
    std::uint32_t minTasksInDomain(const SpreadCounts &counts) const;

    std::vector<InstanceId> instanceIds;
    std::unordered_map<InstanceId, std::pair<DomainIndex, RackIndex>> locations;
    /** The slice of each instance and its index there. */
    std::unordered_map<InstanceId, std::pair<std::size_t, std::size_t>> positions;
    std::map<std::string, ServiceIndex> services;
    std::set<DomainIndex> domains;
    std::vector<std::unique_ptr<Slice>> slices;
    /** Slices before this one hold no accelerators. */
    std::size_t firstAcceleratorSlice = 0;
};

} // namespace gooseberry
