#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>

#include <base/base.h>
#include <contract/contract.h>
#include <fleet/fleet.h>
#include <policy/reason.h>

namespace gooseberry {

/** The chosen instance and the reason, with the second best instance for the decision log. */
struct PlacementChoice
{
    std::optional<InstanceId> instance;
    std::optional<InstanceId> runnerUp;
    Reason reason = Reason::NoCapacity;
};

/** Returns whether the instance may run the job's tasks, regardless of its free capacity. */
bool isEligible(const Instance &instance, const JobSpec &spec,
                const std::set<FailureDomainId> &domainsOut);

/** Returns whether the instance is reachable, not departing and not in a domain taken out. */
bool acceptsNewTasks(const Instance &instance, const std::set<FailureDomainId> &domainsOut);

/** Indexes that replace names within one round, since integers are cheap to compare. */
using DomainIndex = StrongId<struct DomainIndexTag, std::uint32_t>;
using RackIndex = StrongId<struct RackIndexTag, std::uint32_t>;
/** Index of the service that an instance offers; 0 means none. */
using ServiceIndex = StrongId<struct ServiceIndexTag, std::uint32_t>;

/** An instance that accepts new tasks, reduced to what placement needs. */
struct Candidate
{
    Resources capacity;
    Resources free;
    DomainIndex domain;
    RackIndex rack;
    ServiceIndex service;
    /**
     * While set, the instance is reserved: only the gang in reservedFor, tasks that end by this
     * time and tasks that ignore reservations may be placed here.
     */
    std::optional<SteadyTime> reservedUntil;
    JobId reservedFor;
};

/** Number of a job's tasks in each failure domain and rack. */
struct SpreadCounts
{
    std::map<DomainIndex, std::uint32_t> perDomain;
    std::map<RackIndex, std::uint32_t> perRack;
};

/** A task to place. */
struct PlacementRequest
{
    JobId job;
    Resources amount;
    ServiceIndex service;
    /** When the task ends according to the corrected estimate; empty when unknown. */
    std::optional<SteadyTime> expectedEnd;
    /** Set for urgent tasks and services: they precede gangs, so gang reservations don't apply. */
    bool ignoresReservations = false;
    /** Where the job's other tasks run; null to pack tasks instead of spreading them. */
    const SpreadCounts *spread = nullptr;
    /** Failure domains that already have more of the job's tasks than this are skipped. */
    std::optional<std::uint32_t> maxTasksInDomain;
};

/** The best candidates, as indexes into the span that was passed. */
struct CandidateChoice
{
    std::optional<std::size_t> best;
    std::optional<std::size_t> runnerUp;
    /** Whether any candidate meets the constraints, regardless of its free capacity. */
    bool anyEligible = false;
};

/** Returns whether the candidate meets the constraints and has enough free capacity. */
bool fits(const Candidate &candidate, const PlacementRequest &request);

/**
 * Chooses the best fit: the candidate whose free capacity is smallest and most balanced between
 * the dimensions after the placement. Tasks without accelerators use an instance with free
 * accelerators only when no other fits. With spread counts, the failure domain and then the rack
 * with the fewest of the job's tasks take precedence.
 */
CandidateChoice chooseCandidate(std::span<const Candidate> candidates,
                                const PlacementRequest &request);

} // namespace gooseberry
