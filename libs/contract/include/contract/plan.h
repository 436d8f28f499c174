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
    Note, ///< Worth knowing; nobody loses anything.
    Warning, ///< Someone's work or entitlement suffers.
};

std::string toString(PlanSeverity severity);

/** Whom a change affects, and how. */
struct PlanFinding
{
    PlanSeverity severity = PlanSeverity::Note;
    /** The team, queue or dimension that it is about. */
    std::string subject;
    std::string message;

    bool operator==(const PlanFinding &other) const = default;
};

/** How many tasks of a queue wait and run. */
struct QueueLoad
{
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;

    bool operator==(const QueueLoad &other) const = default;
};

/** What the cell does at the moment, as far as it is known. */
struct CellUsage
{
    std::vector<TeamUsage> teams;
    std::map<QueueId, QueueLoad> queues;
    /** The sum of the declared sizes of all workers; all zero when it is not known. */
    Resources capacity;
};

struct Plan
{
    std::vector<PlanItem> items;
    std::vector<PlanFinding> findings;

    /** Returns whether the change would change nothing. */
    bool unchanged() const
    {
        return this->items.empty();
    }
};

/**
 * Compares two configurations and reports whom the step would hurt: teams that run more than their
 * new limit, removed teams and queues with work, and capacity that is promised twice.
 */
Plan planChange(const CellConfig &current, const CellConfig &next, const CellUsage &usage);

} // namespace gooseberry
