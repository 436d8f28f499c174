#include <policy/policy.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

Resources cores(std::int64_t count)
{
    return Resources{
        .cpu = CpuMillis(count * 1000), .memory = Bytes(count), .accelerators = {}, .slots = {}};
}

Team team(const std::string &id, double weight)
{
    Team result;
    result.id = TeamId(id);
    result.share = Share{.weight = weight};
    result.limit = Limit{.maximum = cores(1000)};
    return result;
}

Customer customer(const std::string &id, double weight, std::vector<Team> teams)
{
    Customer result;
    result.id = CustomerId(id);
    result.share = Share{.weight = weight};
    result.teams = std::move(teams);
    return result;
}

/** Schedules count tasks and returns the number for each team. */
std::vector<int> allocateTasks(FairOrder &order, const std::vector<Resources> &perTeam, int count)
{
    std::vector<int> allocatedTasks(order.teams.size(), 0);
    for (FairTeam &entry : order.teams) {
        entry.hasWork = true;
    }
    for (int task = 0; task < count; ++task) {
        const std::size_t next = nextTeam(order).value();
        charge(order, next, perTeam[next]);
        ++allocatedTasks[next];
    }
    return allocatedTasks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OrderingTest)

// Guards against a customer that gets a larger share by splitting its work over many teams.
BOOST_AUTO_TEST_CASE(SharesByCustomerBeforeTeam)
{
    CellConfig config;
    config.customers = {customer("a", 1.0, {team("a/1", 1.0), team("a/2", 1.0), team("a/3", 1.0)}),
                        customer("b", 1.0, {team("b/1", 1.0)})};
    FairOrder order = makeFairOrder(config, {}, cores(120));
    const std::vector<int> allocatedTasks
        = allocateTasks(order, std::vector<Resources>(4, cores(1)), 120);
    BOOST_TEST(allocatedTasks == (std::vector<int>{20, 20, 20, 60}),
               boost::test_tools::per_element());
}

// Guards against weights that order teams but don't scale their shares.
BOOST_AUTO_TEST_CASE(SharesInProportionToWeights)
{
    CellConfig config;
    config.customers = {customer("a", 3.0, {team("a/1", 1.0)}),
                        customer("b", 1.0, {team("b/1", 1.0), team("b/2", 4.0)})};
    FairOrder order = makeFairOrder(config, {}, cores(100));
    const std::vector<int> allocatedTasks
        = allocateTasks(order, std::vector<Resources>(3, cores(1)), 100);
    BOOST_TEST(allocatedTasks == (std::vector<int>{75, 5, 20}), boost::test_tools::per_element());
}

// Guards against counting only processors, which gives memory-heavy teams too much.
BOOST_AUTO_TEST_CASE(ComparesTheDominantResource)
{
    CellConfig config;
    config.customers
        = {customer("a", 1.0, {team("a/cpu", 1.0)}), customer("b", 1.0, {team("b/memory", 1.0)})};
    FairOrder order = makeFairOrder(
        config, {},
        Resources{.cpu = CpuMillis(90'000), .memory = Bytes(180), .accelerators = {}, .slots = {}});
    // The example from the dominant-resource fairness paper: tasks of 1 core and 4 units of memory
    // against tasks of 3 cores and 1 unit.
    const std::vector<Resources> perTask{
        Resources{.cpu = CpuMillis(10'000), .memory = Bytes(40), .accelerators = {}, .slots = {}},
        Resources{.cpu = CpuMillis(30'000), .memory = Bytes(10), .accelerators = {}, .slots = {}}};
    const std::vector<int> allocatedTasks = allocateTasks(order, perTask, 5);
    BOOST_TEST(allocatedTasks == (std::vector<int>{3, 2}), boost::test_tools::per_element());
}

// Guards against scheduling one team's whole queue before another team's first task.
BOOST_AUTO_TEST_CASE(ChargesEachPlacementImmediately)
{
    CellConfig config;
    config.customers = {customer("a", 1.0, {team("a/1", 1.0), team("a/2", 1.0)})};
    FairOrder order = makeFairOrder(config, {}, cores(100));
    order.teams[0].hasWork = true;
    order.teams[1].hasWork = true;
    for (int pair = 0; pair < 10; ++pair) {
        const std::size_t first = nextTeam(order).value();
        charge(order, first, cores(1));
        const std::size_t second = nextTeam(order).value();
        charge(order, second, cores(1));
        BOOST_TEST(first != second);
    }
}

// Guards against a team that stays charged for a task that could not be placed.
BOOST_AUTO_TEST_CASE(RefundRestoresShares)
{
    CellConfig config;
    config.customers = {customer("a", 1.0, {team("a/1", 1.0)})};
    FairOrder order = makeFairOrder(config, {}, cores(10));
    charge(order, 0, cores(3));
    refund(order, 0, cores(3));
    BOOST_TEST(order.teams[0].normalisedShare == 0.0);
    BOOST_TEST(order.customers[0].normalisedShare == 0.0);
}

// Guards against scheduling newer jobs before older ones of a team with the same share.
BOOST_AUTO_TEST_CASE(AgeBreaksTies)
{
    CellConfig config;
    config.customers = {customer("a", 1.0, {team("a/1", 1.0), team("a/2", 1.0)})};
    FairOrder order = makeFairOrder(config, {}, cores(10));
    order.teams[0].hasWork = true;
    order.teams[0].oldestSubmission = CellTime(std::chrono::seconds(9));
    order.teams[1].hasWork = true;
    order.teams[1].oldestSubmission = CellTime(std::chrono::seconds(3));
    BOOST_TEST(nextTeam(order).value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
