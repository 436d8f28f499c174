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

/** Returns whether the instance takes new tasks of any job: what isEligible() checks per job. */
bool acceptsNewTasks(const Instance &instance, const std::set<FailureDomainId> &domainsOut);

/** Numbers that stand for names within one round, so that comparing them is cheap. */
using DomainIndex = StrongId<struct DomainIndexTag, std::uint32_t>;
using RackIndex = StrongId<struct RackIndexTag, std::uint32_t>;
/** The service that an instance offers; index 0 stands for the empty name. */
using ServiceIndex = StrongId<struct ServiceIndexTag, std::uint32_t>;

/** An instance that takes new work, as placement sees it. */
struct Candidate
{
    Resources capacity;
    Resources free;
    DomainIndex domain;
    RackIndex rack;
    ServiceIndex service;
    /**
     * Only the gang that holds the reservation, and work that ends before this time, may be placed
     * here. Nothing when no reservation covers the instance.
     */
    std::optional<SteadyTime> reservedUntil;
    JobId reservedFor;
};

/** How many tasks of one job each failure domain and rack holds already. */
struct SpreadCounts
{
    std::map<DomainIndex, std::uint32_t> perDomain;
    std::map<RackIndex, std::uint32_t> perRack;
};

/** One task that wants a place. */
struct PlacementRequest
{
    JobId job;
    Resources amount;
    ServiceIndex service;
    /** When the task ends by the corrected estimate; nothing when that is not known. */
    std::optional<SteadyTime> expectedEnd;
    /** Urgent work and services come before gangs, so a gang's reservation does not bind them. */
    bool ignoresReservations = false;
    /** Where the job's other tasks are; null to pack instead of spreading. */
    const SpreadCounts *spread = nullptr;
    /** Failure domains that hold more of the job's tasks than this are left out. */
    std::optional<std::uint32_t> maxTasksInDomain;
};

/** Indexes into the candidates that were offered. */
struct CandidateChoice
{
    std::optional<std::size_t> best;
    std::optional<std::size_t> runnerUp;
    /** False when no candidate may take the task even with room; tells the reason apart. */
    bool anyEligible = false;
};

/** Returns whether the candidate may take the task and has room for it. */
bool fits(const Candidate &candidate, const PlacementRequest &request);

/**
 * Chooses the candidate that the task fills best. Work without accelerators takes an instance with
 * free accelerators only when nothing else fits. With spread counts, the emptiest failure domain
 * and then the emptiest rack go first.
 */
CandidateChoice chooseCandidate(std::span<const Candidate> candidates,
                                const PlacementRequest &request);

} // namespace gooseberry
