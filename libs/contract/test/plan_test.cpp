#include <contract/contract.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

std::string customer(const std::string &cores, const std::string &extra = {})
{
    return "customers:\n  - name: asada\n    teams:\n      - name: main\n        limit: {cores: "
        + cores + ", memory: 8GiB, slots: 8}\n" + extra
        + "    queues: [{name: work, team: main, classes: [batch], maxPendingTasks: 10}]\n";
}

CellConfig applied(const CellConfig &current, const std::string &text)
{
    const Result<CellConfig> next = applyDeclaration(current, text, "f.yaml");
    BOOST_REQUIRE_MESSAGE(ok(next), (ok(next) ? "" : errorOf(next).message));
    return valueOf(next);
}

Resources resources(std::int64_t cores, std::int64_t gibibytes)
{
    return Resources{.cpu = CpuMillis(cores * 1000),
                     .memory = Bytes(gibibytes << 30),
                     .accelerators = {},
                     .slots = SlotCount(8)};
}

CellUsage usage(std::int64_t runningCores, std::uint32_t waiting)
{
    CellUsage usage;
    usage.teams = {TeamUsage{
        .team = TeamId("asada/main"), .running = resources(runningCores, 1), .reserved = {}}};
    usage.queues[QueueId("asada/work")] = QueueLoad{.waiting = waiting, .running = 1};
    return usage;
}

bool hasFinding(const Plan &plan, PlanSeverity severity, const std::string &subject,
                const std::string &text)
{
    for (const PlanFinding &finding : plan.findings) {
        if (finding.severity == severity && finding.subject == subject
            && finding.message.find(text) != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlanTest)

// Guards against a plan that omits a difference or lists one that does not exist.
BOOST_AUTO_TEST_CASE(ListsAddedChangedAndRemoved)
{
    const CellConfig before = applied({}, customer("4"));
    BOOST_TEST(planChange(before, before, {}).unchanged());
    const Plan added = planChange({}, before, {});
    BOOST_TEST(added.items.size() == 3U);
    const Plan changed = planChange(before, applied(before, customer("6")), {});
    BOOST_REQUIRE(changed.items.size() == 1U);
    BOOST_TEST(toString(changed.items[0].action) == "change");
    BOOST_TEST(changed.items[0].name == "asada/main");
    BOOST_TEST(changed.items[0].detail == "limit 4 cores, 8GiB, 8 slots -> 6 cores, 8GiB, 8 slots");
    const Plan removed = planChange(before, applied(before, "remove: {customers: [asada]}\n"), {});
    BOOST_TEST(removed.items.size() == 3U);
    BOOST_TEST(toString(removed.items[0].action) == "remove");
}

// Guards against a lowered limit that blocks a team without a warning.
BOOST_AUTO_TEST_CASE(WarnsAboutTeamsAboveTheirNewLimit)
{
    const CellConfig before = applied({}, customer("4"));
    const CellConfig after = applied(before, customer("2"));
    BOOST_TEST(hasFinding(planChange(before, after, usage(3, 0)), PlanSeverity::Warning,
                          "asada/main", "exceeds its new limit of 2 cores, 8GiB, 8 slots in cpu"));
    BOOST_TEST(planChange(before, after, usage(2, 0)).findings.empty());
}

// Guards against a removal that affects waiting or running tasks without a warning.
BOOST_AUTO_TEST_CASE(WarnsAboutRemovedTeamsAndQueuesWithWork)
{
    const CellConfig before = applied({}, customer("4"));
    const CellConfig after = applied(before, "remove: {customers: [asada]}\n");
    const Plan plan = planChange(before, after, usage(3, 7));
    BOOST_TEST(
        hasFinding(plan, PlanSeverity::Warning, "asada/main", "is removed and runs 3 cores"));
    BOOST_TEST(hasFinding(plan, PlanSeverity::Warning, "asada/work",
                          "is removed with 7 waiting and 1 running tasks"));
    BOOST_TEST(hasFinding(planChange(before, before, usage(3, 11)), PlanSeverity::Warning,
                          "asada/work", "holds 11 waiting tasks"));
}

// Guards against limits and guarantees that exceed the capacity without a finding.
BOOST_AUTO_TEST_CASE(ReportsOvercommittedCapacity)
{
    CellUsage cell;
    cell.capacity = resources(6, 64);
    const std::string guarantee = "        guaranteed: {cores: 4}\n";
    CellConfig config = applied({}, customer("4", guarantee));
    BOOST_TEST(planChange(config, config, cell).findings.empty());
    std::string second = customer("4", guarantee);
    second.replace(second.find("asada"), 5, "otros");
    config = applied(config, second);
    const Plan plan = planChange(config, config, cell);
    BOOST_TEST(hasFinding(plan, PlanSeverity::Note, "limits", "8 of 6 cores"));
    BOOST_TEST(hasFinding(plan, PlanSeverity::Warning, "guarantees", "8 of 6 cores"));
    BOOST_TEST(
        hasFinding(plan, PlanSeverity::Warning, "asada/main", "its share entitles it to 0.5"));
}

BOOST_AUTO_TEST_SUITE_END()
