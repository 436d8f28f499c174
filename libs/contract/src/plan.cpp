#include <contract/plan.h>

#include <sstream>

#include <contract/quantity.h>

namespace gooseberry {

namespace {

/** The comparable properties of an item: pairs of name and value as text. */
using Properties = std::vector<std::pair<std::string, std::string>>;
/** Items by kind and name. */
using Inventory = std::map<std::pair<std::string, std::string>, Properties>;

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

Properties propertiesOf(const Team &team)
{
    return {{"share", formatNumber(team.share.weight)},
            {"limit", writeResources(team.limit.maximum)},
            {"guaranteed", writeResources(team.guaranteed)}};
}

Properties propertiesOf(const Queue &queue)
{
    std::string classes;
    for (const JobClass jobClass : queue.classes) {
        classes += (classes.empty() ? "" : ", ") + toString(jobClass);
    }
    return {{"team", queue.team.value},
            {"open to all", queue.openToAll ? "yes" : "no"},
            {"classes", classes},
            {"maximum of waiting tasks", std::to_string(queue.maxPendingTasks)}};
}

Inventory inventoryOf(const CellConfig &config)
{
    Inventory inventory;
    for (const FailureDomainSpec &domain : config.domains) {
        inventory[{"domain", domain.id.value}] = {{"region", domain.region.value}};
    }
    for (const Customer &customer : config.customers) {
        inventory[{"customer", customer.id.value}]
            = {{"share", formatNumber(customer.share.weight)}};
        for (const Team &team : customer.teams) {
            inventory[{"team", team.id.value}] = propertiesOf(team);
            for (const KeyId &key : team.keys) {
                inventory[{"key", key.value}] = {{"team", team.id.value}};
            }
        }
        for (const Queue &queue : customer.queues) {
            inventory[{"queue", queue.id.value}] = propertiesOf(queue);
        }
    }
    return inventory;
}

std::string differences(const Properties &before, const Properties &after)
{
    std::string text;
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].second != after[i].second) {
            text += (text.empty() ? "" : "; ") + before[i].first + ' ' + before[i].second + " -> "
                + after[i].second;
        }
    }
    return text;
}

std::vector<PlanItem> compare(const Inventory &before, const Inventory &after)
{
    std::vector<PlanItem> items;
    for (const auto &[id, properties] : before) {
        const auto found = after.find(id);
        if (found == after.end()) {
            items.push_back(PlanItem{
                .action = PlanAction::Remove, .kind = id.first, .name = id.second, .detail = {}});
        } else if (found->second != properties) {
            items.push_back(PlanItem{.action = PlanAction::Change,
                                     .kind = id.first,
                                     .name = id.second,
                                     .detail = differences(properties, found->second)});
        }
    }
    for (const auto &[id, properties] : after) {
        if (!before.contains(id)) {
            items.push_back(PlanItem{
                .action = PlanAction::Add, .kind = id.first, .name = id.second, .detail = {}});
        }
    }
    return items;
}

void warn(Plan &plan, const std::string &subject, const std::string &message)
{
    plan.findings.push_back(
        PlanFinding{.severity = PlanSeverity::Warning, .subject = subject, .message = message});
}

void findAffectedTeams(const CellConfig &next, const CellUsage &usage, Plan &plan)
{
    for (const TeamUsage &team : usage.teams) {
        const Team *after = findTeam(next, team.team);
        if (after == nullptr) {
            if (!(team.running == Resources{})) {
                warn(plan, team.team.value,
                     "is removed and runs " + writeResources(team.running)
                         + "; running tasks continue to their end, and no others start");
            }
        } else if (const auto dimension = firstShortage(team.running, after->limit.maximum)) {
            warn(plan, team.team.value,
                 "runs " + writeResources(team.running) + ", which exceeds its new limit of "
                     + writeResources(after->limit.maximum) + " in " + toString(*dimension)
                     + "; no task is stopped, but none starts until it runs less");
        }
    }
}

void findAffectedQueues(const CellConfig &current, const CellConfig &next, const CellUsage &usage,
                        Plan &plan)
{
    for (const auto &[id, load] : usage.queues) {
        const Queue *before = findQueue(current, id);
        const Queue *after = findQueue(next, id);
        const bool hasWork = load.waiting > 0 || load.running > 0;
        if (before != nullptr && after == nullptr && hasWork) {
            warn(plan, id.value,
                 "is removed with " + std::to_string(load.waiting) + " waiting and "
                     + std::to_string(load.running)
                     + " running tasks; the waiting ones never start");
        } else if (after != nullptr && load.waiting > after->maxPendingTasks) {
            warn(plan, id.value,
                 "holds " + std::to_string(load.waiting)
                     + " waiting tasks, more than its new maximum of "
                     + std::to_string(after->maxPendingTasks)
                     + "; it refuses new jobs until fewer wait");
        }
    }
}

/** Describes the dimensions in which the sum exceeds the capacity; empty if there are none. */
std::string describeExcess(const Resources &sum, const Resources &capacity)
{
    std::string text;
    const auto check = [&text](std::int64_t capacityValue, std::int64_t requiredValue,
                               const std::string &required, const std::string &available) {
        if (requiredValue > capacityValue) {
            text += (text.empty() ? "" : ", ") + required + " of " + available;
        }
    };
    check(capacity.cpu.value, sum.cpu.value, writeCores(sum.cpu),
          writeCores(capacity.cpu) + " cores");
    check(capacity.memory.value, sum.memory.value, writeMemory(sum.memory),
          writeMemory(capacity.memory) + " memory");
    check(capacity.accelerators.value, sum.accelerators.value,
          std::to_string(sum.accelerators.value),
          std::to_string(capacity.accelerators.value) + " accelerators");
    check(capacity.slots.value, sum.slots.value, std::to_string(sum.slots.value),
          std::to_string(capacity.slots.value) + " slots");
    return text;
}

/** Returns the fraction of the cell to which the weights of customer and team entitle it. */
double entitledFraction(const CellConfig &config, const Customer &customer, const Team &team)
{
    double customers = 0;
    for (const Customer &other : config.customers) {
        customers += other.share.weight;
    }
    double teams = 0;
    for (const Team &other : customer.teams) {
        teams += other.share.weight;
    }
    return customer.share.weight / customers * team.share.weight / teams;
}

void findOvercommitment(const CellConfig &next, const Resources &capacity, Plan &plan)
{
    if (capacity == Resources{}) {
        return;
    }
    Resources limits;
    Resources guarantees;
    for (const Customer &customer : next.customers) {
        for (const Team &team : customer.teams) {
            limits = add(limits, team.limit.maximum).value_or(limits);
            guarantees = add(guarantees, team.guaranteed).value_or(guarantees);
            const double guaranteed = dominantShare(team.guaranteed, capacity);
            const double entitled = entitledFraction(next, customer, team);
            if (guaranteed > entitled) {
                warn(plan, team.id.value,
                     "is guaranteed " + formatNumber(guaranteed)
                         + " of the cell, but its share entitles it " + "to "
                         + formatNumber(entitled) + " while the cell is full");
            }
        }
    }
    if (const std::string text = describeExcess(guarantees, capacity); !text.empty()) {
        warn(plan, "guarantees", "exceed the capacity of the cell together: " + text);
    }
    if (const std::string text = describeExcess(limits, capacity); !text.empty()) {
        plan.findings.push_back(PlanFinding{.severity = PlanSeverity::Note,
                                            .subject = "limits",
                                            .message = "exceed the capacity of the cell together: "
                                                + text + "; shares apply while it is full"});
    }
}

} // namespace

std::string toString(PlanAction action)
{
    switch (action) {
    case PlanAction::Add:
        return "add";
    case PlanAction::Change:
        return "change";
    case PlanAction::Remove:
        return "remove";
    }
    return "unknown";
}

std::string toString(PlanSeverity severity)
{
    return severity == PlanSeverity::Note ? "note" : "warning";
}

Plan planChange(const CellConfig &current, const CellConfig &next, const CellUsage &usage)
{
    Plan plan;
    plan.items = compare(inventoryOf(current), inventoryOf(next));
    if (plan.items.empty() && current.source != next.source) {
        plan.items.push_back(PlanItem{.action = PlanAction::Change,
                                      .kind = "text",
                                      .name = "declarations",
                                      .detail = "no effect on what is in force"});
    }
    findAffectedTeams(next, usage, plan);
    findAffectedQueues(current, next, usage, plan);
    findOvercommitment(next, usage.capacity, plan);
    return plan;
}

} // namespace gooseberry
