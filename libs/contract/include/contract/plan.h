#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <base/base.h>
#include <contract/cell_config.h>
#include <contract/team_ledger.h>

namespace gooseberry {

enum class PlanAction {
    Add,
    Change,
    Remove,
};

std::string toString(PlanAction action);

/** One difference between two configurations. */
struct PlanItem
{
    PlanAction action = PlanAction::Add;
    /** "domain", "customer", "team", "queue" or "key". */
    std::string kind;
    std::string name;
    /** For a change, what differs: "share 1 -> 2". */
    std::string detail;

    bool operator==(const PlanItem &other) const = default;
};

enum class PlanSeverity {
    Note, ///< Informational; no work or entitlement is affected.
    Warning, ///< Work or an entitlement of a team is affected.
};

std::string toString(PlanSeverity severity);

/** An effect of a change on a team, a queue or the cell. */
struct PlanFinding
{
    PlanSeverity severity = PlanSeverity::Note;
    /** The id of the team or queue, or "guarantees" or "limits" for the whole cell. */
    std::string subject;
    std::string message;

    bool operator==(const PlanFinding &other) const = default;
};

/** The number of waiting and running tasks of a queue. */
struct QueueLoad
{
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;

    bool operator==(const QueueLoad &other) const = default;
};

/** The current usage of the cell, as far as it is known. */
struct CellUsage
{
    std::vector<TeamUsage> teams;
    std::map<QueueId, QueueLoad> queues;
    /** The sum of the declared capacities of all workers; all zero if unknown. */
    Resources capacity;
};

struct Plan
{
    std::vector<PlanItem> items;
    std::vector<PlanFinding> findings;

    /** Returns whether the configurations are equal. */
    bool unchanged() const
    {
        return this->items.empty();
    }
};

/**
 * Compares two configurations and reports negative effects of the change: teams that use more than
 * their new limit, removed teams and queues with work, queues with more waiting tasks than their
 * new maximum, and guarantees and limits that exceed the capacity of the cell.
 */
Plan planChange(const CellConfig &current, const CellConfig &next, const CellUsage &usage);

} // namespace gooseberry
