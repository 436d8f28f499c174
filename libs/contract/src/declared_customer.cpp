#include "declared_customer.h"

#include <algorithm>
#include <map>
#include <set>

namespace gooseberry {

namespace {

constexpr double smallestShare = 0.001;
constexpr double largestShare = 1'000'000;
constexpr std::int64_t defaultMaxPending = 10'000;
constexpr std::int64_t highestMaxPending = 1'000'000;

/** Adds a problem for each name that a list contains more than once. */
class DuplicateNameCheck
{
public:
    DuplicateNameCheck(std::string initialKind, Problems &initialProblems)
        : kind(std::move(initialKind))
        , problems(initialProblems)
    {
    }

    void add(const std::string &name, const Position &position)
    {
        const auto [entry, added] = this->firstPositions.try_emplace(name, position);
        if (!added && !name.empty()) {
            this->problems.add(position,
                               this->kind + ' ' + quoteForMessage(name)
                                   + " is listed twice, first at " + toString(entry->second));
        }
    }

private:
    std::string kind;
    Problems &problems;
    std::map<std::string, Position> firstPositions;
};

Share readShare(MapReader &reader, Problems &problems)
{
    Share share;
    if (const DocumentNode *node = reader.find("share")) {
        share.weight
            = readNumber(*node, "'share'", smallestShare, largestShare, problems).value_or(1.0);
    }
    return share;
}

void readKeys(MapReader &reader, Team &team, Problems &problems)
{
    DuplicateNameCheck names("key", problems);
    for (const DocumentNode &node : reader.list("keys")) {
        if (const auto name = readName(node, "a key", problems)) {
            names.add(*name, node.position);
            // Prefixed with the team, so that keys of different teams have different ids.
            std::string id = team.id.value + '.' + *name;
            std::replace(id.begin(), id.end(), '/', '.');
            team.keys.emplace_back(id);
        }
    }
}

Team readTeam(const DocumentNode &node, const CustomerId &customer, Problems &problems)
{
    MapReader reader(node, "a team", problems);
    Team team;
    team.id = TeamId(customer.value + '/' + reader.requiredName("name"));
    team.customer = customer;
    team.share = readShare(reader, problems);
    if (const DocumentNode *limit = reader.require("limit")) {
        team.limit.maximum = readResources(*limit, "'limit'", true, problems);
    }
    if (const DocumentNode *guaranteed = reader.find("guaranteed")) {
        team.guaranteed = readResources(*guaranteed, "'guaranteed'", false, problems);
        if (const auto dimension = firstShortage(team.guaranteed, team.limit.maximum)) {
            problems.add(guaranteed->position,
                         "'guaranteed' exceeds 'limit' in " + toString(*dimension));
        }
    }
    readKeys(reader, team, problems);
    reader.reportUnknownKeys();
    return team;
}

void readClasses(MapReader &reader, Queue &queue, Problems &problems)
{
    const DocumentNode *list = reader.require("classes");
    if (list == nullptr) {
        return;
    }
    for (const DocumentNode &node : reader.list("classes")) {
        const Result<JobClass> jobClass = parseJobClass(node.text);
        if (!ok(jobClass)) {
            problems.add(node.position,
                         "a class must be one of service, batch, gang, urgent, not "
                             + quoteForMessage(node.text));
        } else if (!queue.classes.insert(valueOf(jobClass)).second) {
            problems.add(node.position, "class '" + node.text + "' is listed twice");
        }
    }
    if (list->kind == DocumentNode::Kind::List && list->children.empty()) {
        problems.add(list->position,
                     "'classes' must name at least one of service, batch, gang, urgent");
    }
}

Queue readQueue(const DocumentNode &node, const Customer &customer, Problems &problems)
{
    MapReader reader(node, "a queue", problems);
    Queue queue;
    queue.id = QueueId(customer.id.value + '/' + reader.requiredName("name"));
    if (const DocumentNode *team = reader.require("team")) {
        queue.team = TeamId(customer.id.value + '/' + team->text);
        std::string known;
        bool found = false;
        for (const Team &candidate : customer.teams) {
            found = found || candidate.id == queue.team;
            known += (known.empty() ? "" : ", ")
                + candidate.id.value.substr(customer.id.value.size() + 1);
        }
        if (!found) {
            problems.add(team->position,
                         "customer '" + customer.id.value + "' has no team "
                             + quoteForMessage(team->text) + "; it has "
                             + (known.empty() ? "none" : known));
        }
    }
    queue.openToAll = reader.boolean("openToAll", false);
    readClasses(reader, queue, problems);
    queue.maxPendingTasks = static_cast<std::uint32_t>(
        reader.integer("maxPendingTasks", defaultMaxPending, 1, highestMaxPending));
    reader.reportUnknownKeys();
    return queue;
}

/** Returns the position of the item's name, or of the item if it has none. */
Position namePosition(const DocumentNode &node)
{
    const DocumentNode *name = node.find("name");
    return name != nullptr ? name->position : node.position;
}

} // namespace

Customer readCustomer(const DocumentNode &node, const CustomerId &id, Problems &problems)
{
    MapReader reader(node, "customer '" + id.value + '\'', problems);
    reader.find("name");
    Customer customer;
    customer.id = id;
    customer.share = readShare(reader, problems);
    DuplicateNameCheck teams("team", problems);
    for (const DocumentNode &team : reader.list("teams")) {
        customer.teams.push_back(readTeam(team, id, problems));
        const DocumentNode *name = team.find("name");
        teams.add(name != nullptr ? name->text : std::string(), namePosition(team));
    }
    DuplicateNameCheck queues("queue", problems);
    for (const DocumentNode &queue : reader.list("queues")) {
        customer.queues.push_back(readQueue(queue, customer, problems));
        const DocumentNode *name = queue.find("name");
        queues.add(name != nullptr ? name->text : std::string(), namePosition(queue));
    }
    if (customer.teams.empty() && node.kind == DocumentNode::Kind::Map) {
        problems.add(node.position, "customer '" + id.value + "' needs at least one team");
    }
    reader.reportUnknownKeys();
    return customer;
}

} // namespace gooseberry
