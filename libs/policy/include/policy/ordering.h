#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>

namespace gooseberry {

/** The properties of a waiting job that determine its place in the queue. */
struct WaitingJob
{
    JobId id;
    JobClass jobClass = JobClass::Batch;
    TeamId team;
    CellTime submittedAt;
};

/** Job classes by priority. A tier is exhausted before a round begins with the next one. */
enum class PriorityTier {
    Urgent, ///< Scheduled before everything else, but within the team's limit.
    Service, ///< Before batch, since a service with waiting tasks runs below its task count.
    Batch, ///< Gangs and batch jobs.
};
constexpr std::size_t priorityTierCount = 3;

PriorityTier priorityTierOf(JobClass jobClass);

/** A customer's allocation and share within one round. */
struct FairCustomer
{
    CustomerId id;
    double weight = 1.0;
    Resources allocated;
    /** Dominant share of the allocation divided by the weight; the lowest goes first. */
    double normalisedShare = 0.0;
};

/** A team's allocation and share within one round. */
struct FairTeam
{
    TeamId id;
    /** Index into FairOrder::customers. */
    std::size_t customer = 0;
    double weight = 1.0;
    Resources allocated;
    double normalisedShare = 0.0;
    Limit limit;
    /** Whether the team has schedulable tasks in the current tier; set by the caller. */
    bool hasWork = false;
    /** When the oldest job with such tasks was submitted; set by the caller. */
    CellTime oldestSubmission;
};

/**
 * Hierarchical weighted dominant-resource fairness: the next task belongs to the customer with the
 * lowest normalised share, and within it to the team with the lowest normalised share.
 */
struct FairOrder
{
    Resources capacity;
    std::vector<FairCustomer> customers;
    std::vector<FairTeam> teams;
};

/** Computes the shares of all declared teams from their running and reserved resources. */
FairOrder makeFairOrder(const CellConfig &config, const std::vector<TeamUsage> &usage,
                        const Resources &capacity);

/** Returns the index of the team to schedule next, or nothing when no team has work. */
std::optional<std::size_t> nextTeam(const FairOrder &order);

/**
 * Adds the amount to the allocations of the team and its customer. Called for each task as it is
 * chosen; otherwise a team's whole queue could be scheduled before the next team's first task.
 */
void charge(FairOrder &order, std::size_t team, const Resources &amount);

/** Reverts charge() for a task that could not be placed. */
void refund(FairOrder &order, std::size_t team, const Resources &amount);

} // namespace gooseberry
