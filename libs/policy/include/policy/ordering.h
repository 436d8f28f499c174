#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>

namespace gooseberry {

/** What ordering needs to know of one waiting job. */
struct WaitingJob
{
    JobId id;
    JobClass jobClass = JobClass::Batch;
    TeamId team;
    CellTime submittedAt;
};

/** The steps in which classes are offered room. A step is exhausted before the next one begins. */
enum class PriorityTier {
    Urgent, ///< Within its team's limit, before everything else.
    Service, ///< A service that waits is below its strength.
    Batch, ///< Gangs and batch work, by fairness.
};
constexpr std::size_t priorityTierCount = 3;

PriorityTier priorityTierOf(JobClass jobClass);

/** A customer's standing within one round. */
struct FairCustomer
{
    CustomerId id;
    double weight = 1.0;
    Resources allocated;
    /** The dominant share of what is held over the weight; lower goes first. */
    double normalisedShare = 0.0;
};

/** A team's standing within one round. */
struct FairTeam
{
    TeamId id;
    /** Index into FairOrder::customers. */
    std::size_t customer = 0;
    double weight = 1.0;
    Resources allocated;
    double normalisedShare = 0.0;
    Limit limit;
    /** Whether the team has work to offer in the current step; set by the caller. */
    bool hasWork = false;
    /** When the oldest of that work was submitted; set by the caller. */
    CellTime oldestSubmission;
};

/**
 * Hierarchical weighted dominant-resource fairness: room goes to the customer that holds least for
 * its weight, and within it to the team that holds least for its weight.
 */
struct FairOrder
{
    Resources capacity;
    std::vector<FairCustomer> customers;
    std::vector<FairTeam> teams;
};

/** Builds the standing of all declared teams from what they have running and reserved. */
FairOrder makeFairOrder(const CellConfig &config, const std::vector<TeamUsage> &usage,
                        const Resources &capacity);

/** Returns the index of the wanting team that is next, or nothing when no team wants. */
std::optional<std::size_t> nextTeam(const FairOrder &order);

/**
 * Counts an amount for a team and its customer. Called for each task as it is chosen, so that a
 * team's whole queue can't pass in one go.
 */
void charge(FairOrder &order, std::size_t team, const Resources &amount);

/** Takes back what was charged for a task that found no place. */
void refund(FairOrder &order, std::size_t team, const Resources &amount);

} // namespace gooseberry
