#include <contract/declaration.h>

#include <yaml-cpp/yaml.h>

namespace gooseberry {

namespace {

Resources readResources(const YAML::Node &node)
{
    constexpr std::int64_t millisPerCore = 1000;
    constexpr std::int64_t bytesPerMebibyte = 1024LL * 1024;
    Resources amount;
    amount.cpu = CpuMillis(node["cores"].as<std::int64_t>(0) * millisPerCore);
    amount.memory = Bytes(node["memoryMiB"].as<std::int64_t>(0) * bytesPerMebibyte);
    amount.accelerators = AcceleratorCount(node["accelerators"].as<std::int64_t>(0));
    amount.slots = SlotCount(node["slots"].as<std::int64_t>(0));
    return amount;
}

Team readTeam(const YAML::Node &node, const CustomerId &customer)
{
    Team team;
    team.id = TeamId(customer.value + '/' + node["name"].as<std::string>());
    team.customer = customer;
    team.share.weight = node["share"].as<double>(1.0);
    team.limit.maximum = readResources(node["limit"]);
    return team;
}

Queue readQueue(const YAML::Node &node, const CustomerId &customer)
{
    constexpr std::uint32_t defaultMaxPending = 10'000;
    Queue queue;
    queue.id = QueueId(customer.value + '/' + node["name"].as<std::string>());
    queue.team = TeamId(customer.value + '/' + node["team"].as<std::string>());
    queue.openToAll = node["openToAll"].as<bool>(false);
    queue.maxPendingTasks = node["maxPendingTasks"].as<std::uint32_t>(defaultMaxPending);
    for (const YAML::Node &name : node["classes"]) {
        if (auto parsed = parseJobClass(name.as<std::string>()); ok(parsed)) {
            queue.classes.insert(valueOf(parsed));
        }
    }
    return queue;
}

Customer readCustomer(const YAML::Node &node)
{
    Customer customer;
    customer.id = CustomerId(node["name"].as<std::string>());
    customer.share.weight = node["share"].as<double>(1.0);
    for (const YAML::Node &team : node["teams"]) {
        customer.teams.push_back(readTeam(team, customer.id));
    }
    for (const YAML::Node &queue : node["queues"]) {
        customer.queues.push_back(readQueue(queue, customer.id));
    }
    return customer;
}

} // namespace

Result<CellConfig> applyDeclaration(const CellConfig &current, const std::string &text,
                                    const std::string &fileName)
{
    try {
        const YAML::Node root = YAML::Load(text);
        CellConfig config = current;
        config.source = text;
        for (const YAML::Node &domain : root["domains"]) {
            config.domains.push_back(
                FailureDomainSpec{.id = FailureDomainId(domain["name"].as<std::string>()),
                                  .region = RegionId(domain["region"].as<std::string>())});
        }
        for (const YAML::Node &customer : root["customers"]) {
            config.customers.push_back(readCustomer(customer));
        }
        return config;
    } catch (const YAML::Exception &error) {
        return Error{.code = ErrorCode::InvalidArgument,
                     .step = Step::Parse,
                     .peer = fileName,
                     .message = error.what(),
                     .outcome = Outcome::NotRun};
    }
}

} // namespace gooseberry
