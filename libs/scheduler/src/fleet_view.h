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

/** Where FleetView::place() put a task. */
struct ViewPlacement
{
    std::size_t slice = 0;
    std::size_t index = 0;
    DomainIndex domain;
    RackIndex rack;
    InstanceId instance;
    std::optional<InstanceId> runnerUp;
};

/** An instance that is reserved for a gang; see Candidate::reservedUntil. */
struct ReservedInstance
{
    InstanceId instance;
    JobId job;
    SteadyTime until;

    bool operator==(const ReservedInstance &other) const = default;
};

/**
 * The instances that accept new tasks, with their free capacity at the start of a round, in slices
 * that each have their own lock. A placement searches one slice after the other and stops at the
 * first with enough free capacity, so its cost does not grow with the fleet; only tasks that fit
 * nowhere search all slices. Instances with accelerators are in separate slices.
 */
class FleetView
{
public:
    FleetView(const std::vector<Instance> &instances, const std::set<FailureDomainId> &domainsOut,
              const std::set<InstanceId> &excluded, const std::vector<ReservedInstance> &reserved);

    /** Updates the free capacity of instances in the view; called between rounds. */
    void refresh(const std::vector<Instance> &changed);

    /** Returns the index of the service, or one that matches no instance if none offers it. */
    ServiceIndex serviceIndex(const std::string &service) const;
    std::optional<DomainIndex> domainIndex(const InstanceId &instance) const;
    /** Adds a task that already runs on the instance to the counts. */
    void countSpread(SpreadCounts &counts, const InstanceId &instance) const;

    /**
     * Allocates capacity for the request and returns its location, or nothing when it fits nowhere.
     * The search begins at the slice at startFraction, a fraction in [0, 1) of their number.
     */
    std::optional<ViewPlacement> place(const PlacementRequest &request, double startFraction);
    /** Releases what place() allocated. */
    void release(const ViewPlacement &place, const Resources &amount);
    /** Marks an instance as full after the fleet refused a reservation that fits into the view. */
    void markFull(const ViewPlacement &place);

    /** Returns how many tasks of the request fit at the same time, counting up to enough. */
    std::uint32_t countPlaceable(const PlacementRequest &request, std::uint32_t enough);
    /** Returns why the request can't be placed. */
    Reason whyUnplaceable(const PlacementRequest &request);

private:
    struct Slice
    {
        std::mutex mutex;
        std::vector<Candidate> candidates;
        /** For each candidate, the index of its id in instanceIds. */
        std::vector<std::size_t> idIndexes;
        /** Upper bound of the candidates' free capacity in each dimension. */
        Resources maxFree;
        /** Whether maxFree is exact. After a change it is only an upper bound. */
        bool maxFreeIsExact = true;
    };
    /** Approximate size of a slice; keeps a search as cheap as in a small cell. */
    static constexpr std::size_t sliceSize = 48;

    void addSlices(const std::vector<std::pair<Candidate, std::size_t>> &group);
    std::optional<ViewPlacement> placeWithin(const PlacementRequest &request, std::size_t begin,
                                             std::size_t end, double startFraction);
    std::optional<ViewPlacement> placeInSlice(const PlacementRequest &request, std::size_t slice);
    std::uint32_t minTasksInDomain(const SpreadCounts &counts) const;

    std::vector<InstanceId> instanceIds;
    std::unordered_map<InstanceId, std::pair<DomainIndex, RackIndex>> locations;
    /** The slice of each instance and its index within the slice. */
    std::unordered_map<InstanceId, std::pair<std::size_t, std::size_t>> positions;
    std::map<std::string, ServiceIndex> services;
    std::set<DomainIndex> domains;
    std::vector<std::unique_ptr<Slice>> slices;
    /** Index of the first slice whose instances have accelerators. */
    std::size_t firstAcceleratorSlice = 0;
};

} // namespace gooseberry
