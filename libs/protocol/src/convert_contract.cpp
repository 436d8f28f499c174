#include <algorithm>
#include <array>
#include <limits>

#include "convert.h"

namespace gooseberry {

namespace {

// Keeps the overloads in this namespace from hiding those declared in convert.h.
using gooseberry::fromWire;
using gooseberry::toWire;

constexpr std::array<std::pair<JobClass, wire::JobClass::type>, 4> jobClasses{{
    {JobClass::Service, wire::JobClass::SERVICE},
    {JobClass::Batch, wire::JobClass::BATCH},
    {JobClass::Gang, wire::JobClass::GANG},
    {JobClass::Urgent, wire::JobClass::URGENT},
}};

wire::Team toWire(const Team &team)
{
    wire::Team out;
    out.id = team.id.value;
    out.customer = team.customer.value;
    out.weight = team.share.weight;
    out.maximum = toWire(team.limit.maximum);
    out.guaranteed = toWire(team.guaranteed);
    for (const KeyId &key : team.keys) {
        out.keys.push_back(key.value);
    }
    return out;
}

Team fromWire(wire::Team &&in)
{
    Team team;
    team.id = TeamId(std::move(in.id));
    team.customer = CustomerId(std::move(in.customer));
    team.share.weight = in.weight;
    team.limit.maximum = fromWire(in.maximum);
    team.guaranteed = fromWire(in.guaranteed);
    for (std::string &key : in.keys) {
        team.keys.emplace_back(std::move(key));
    }
    return team;
}

wire::Queue toWire(const Queue &queue)
{
    wire::Queue out;
    out.id = queue.id.value;
    out.team = queue.team.value;
    out.openToAll = queue.openToAll;
    for (const JobClass jobClass : queue.classes) {
        out.classes.insert(enumToWire(jobClasses, jobClass));
    }
    out.maxPendingTasks = toWire32(queue.maxPendingTasks);
    return out;
}

Queue fromWire(wire::Queue &&in)
{
    Queue queue;
    queue.id = QueueId(std::move(in.id));
    queue.team = TeamId(std::move(in.team));
    queue.openToAll = in.openToAll;
    for (const std::int32_t jobClass : in.classes) {
        queue.classes.insert(enumFromWire(jobClasses, jobClass));
    }
    queue.maxPendingTasks = fromWire32(in.maxPendingTasks);
    return queue;
}

wire::Customer toWire(const Customer &customer)
{
    wire::Customer out;
    out.id = customer.id.value;
    out.weight = customer.share.weight;
    for (const Team &team : customer.teams) {
        out.teams.push_back(toWire(team));
    }
    for (const Queue &queue : customer.queues) {
        out.queues.push_back(toWire(queue));
    }
    return out;
}

Customer fromWire(wire::Customer &&in)
{
    Customer customer;
    customer.id = CustomerId(std::move(in.id));
    customer.share.weight = in.weight;
    for (wire::Team &team : in.teams) {
        customer.teams.push_back(fromWire(std::move(team)));
    }
    for (wire::Queue &queue : in.queues) {
        customer.queues.push_back(fromWire(std::move(queue)));
    }
    return customer;
}

} // namespace

void requireExactlyOne(const char *unionName, std::initializer_list<bool> members)
{
    if (std::count(members.begin(), members.end(), true) != 1) {
        throw CorruptMessage(std::string(unionName) + " must have exactly one known member set");
    }
}

wire::Resources toWire(const Resources &amount)
{
    wire::Resources out;
    out.cpuMillis = amount.cpu.value;
    out.memoryBytes = amount.memory.value;
    out.accelerators = amount.accelerators.value;
    out.slots = amount.slots.value;
    return out;
}

Resources fromWire(const wire::Resources &in)
{
    return Resources{.cpu = CpuMillis(in.cpuMillis),
                     .memory = Bytes(in.memoryBytes),
                     .accelerators = AcceleratorCount(in.accelerators),
                     .slots = SlotCount(in.slots)};
}

wire::CellConfig toWire(const CellConfig &config)
{
    wire::CellConfig out;
    for (const FailureDomainSpec &domain : config.domains) {
        wire::FailureDomainSpec spec;
        spec.id = domain.id.value;
        spec.region = domain.region.value;
        out.domains.push_back(std::move(spec));
    }
    for (const Customer &customer : config.customers) {
        out.customers.push_back(toWire(customer));
    }
    out.source = config.source;
    return out;
}

CellConfig fromWire(wire::CellConfig &&in)
{
    CellConfig config;
    for (wire::FailureDomainSpec &domain : in.domains) {
        config.domains.push_back({.id = FailureDomainId(std::move(domain.id)),
                                  .region = RegionId(std::move(domain.region))});
    }
    for (wire::Customer &customer : in.customers) {
        config.customers.push_back(fromWire(std::move(customer)));
    }
    config.source = std::move(in.source);
    return config;
}

wire::Key toWire(const Key &key)
{
    wire::Key out;
    out.id = key.id.value;
    out.team = key.team.value;
    out.salt = key.salt;
    out.hash = key.hash;
    return out;
}

Key fromWire(wire::Key &&in)
{
    return Key{.id = KeyId(std::move(in.id)),
               .team = TeamId(std::move(in.team)),
               .salt = std::move(in.salt),
               .hash = std::move(in.hash)};
}

wire::JobSpec toWire(const JobSpec &spec)
{
    wire::JobSpec out;
    out.queue = spec.queue.value;
    out.jobClass = enumToWire(jobClasses, spec.jobClass);
    out.taskCount = toWire32(spec.taskCount);
    out.perTask = toWire(spec.perTask);
    out.expectedRunTime = spec.expectedRunTime.count();
    out.repeatable = spec.repeatable;
    out.maxAttempts = toWire32(spec.maxAttempts);
    out.jobTemplate = spec.jobTemplate;
    out.serviceName = spec.service;
    out.payload = spec.payload;
    return out;
}

JobSpec fromWire(wire::JobSpec &&in)
{
    JobSpec spec;
    spec.queue = QueueId(std::move(in.queue));
    spec.jobClass = enumFromWire(jobClasses, in.jobClass);
    spec.taskCount = fromWire32(in.taskCount);
    spec.perTask = fromWire(in.perTask);
    spec.expectedRunTime = std::chrono::milliseconds(in.expectedRunTime);
    spec.repeatable = in.repeatable;
    spec.maxAttempts = fromWire32(in.maxAttempts);
    spec.jobTemplate = std::move(in.jobTemplate);
    spec.service = std::move(in.serviceName);
    spec.payload = std::move(in.payload);
    return spec;
}

wire::InstanceSpec toWire(const InstanceSpec &spec)
{
    wire::InstanceSpec out;
    out.id = spec.id.value;
    out.rack = spec.rack.value;
    out.domain = spec.domain.value;
    out.capacity = toWire(spec.capacity);
    out.serviceName = spec.upstream.service;
    out.host = spec.upstream.address.host;
    out.port = spec.upstream.address.port;
    out.incarnation = spec.upstream.incarnation;
    return out;
}

InstanceSpec fromWire(wire::InstanceSpec &&in)
{
    if (in.port < 0 || in.port > std::numeric_limits<std::uint16_t>::max()) {
        throw CorruptMessage("port " + std::to_string(in.port) + " is out of range");
    }
    InstanceSpec spec;
    spec.id = InstanceId(std::move(in.id));
    spec.rack = RackId(std::move(in.rack));
    spec.domain = FailureDomainId(std::move(in.domain));
    spec.capacity = fromWire(in.capacity);
    spec.upstream.service = std::move(in.serviceName);
    spec.upstream.address.host = std::move(in.host);
    spec.upstream.address.port = static_cast<std::uint16_t>(in.port);
    spec.upstream.incarnation = std::move(in.incarnation);
    return spec;
}

} // namespace gooseberry
