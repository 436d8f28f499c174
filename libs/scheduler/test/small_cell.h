#pragma once

#include <memory>
#include <string>
#include <vector>

#include <scheduler/scheduler.h>

namespace gooseberry::test {

inline Resources amount(std::int64_t cores, std::int64_t gigabytes, std::int64_t accelerators = 0)
{
    return Resources{.cpu = CpuMillis(cores * 1000),
                     .memory = Bytes(gigabytes << 30),
                     .accelerators = AcceleratorCount(accelerators),
                     .slots = SlotCount(1)};
}

/** Test fixture: a fleet, a ledger and a scheduler with helpers to fill them. */
struct SmallCell
{
    explicit SmallCell(const SchedulerSettings &settings = {})
        : scheduler(fleet, ledger, settings)
    {
        this->input.config = &this->config;
        this->input.now = SteadyTime(std::chrono::hours(1));
    }

    void addInstance(const std::string &name, const Resources &capacity,
                     const std::string &domain = "heredia", const std::string &rack = "r1")
    {
        InstanceSpec spec;
        spec.id = InstanceId(name);
        spec.domain = FailureDomainId(domain);
        spec.rack = RackId(rack);
        spec.capacity = capacity;
        spec.capacity.slots = SlotCount(8);
        this->fleet.announce(spec);
    }

    void addTeam(const std::string &customer, const std::string &team, double weight = 1.0,
                 const Resources &maximum = amount(100'000, 100'000, 10'000))
    {
        Team entry;
        entry.id = TeamId(customer + "/" + team);
        entry.customer = CustomerId(customer);
        entry.share = Share{.weight = weight};
        entry.limit = Limit{.maximum = maximum};
        entry.limit.maximum.slots
            = SlotCount(maximum.slots.value == 1 ? 100'000 : maximum.slots.value);
        for (Customer &existing : this->config.customers) {
            if (existing.id == entry.customer) {
                existing.teams.push_back(entry);
                return;
            }
        }
        Customer added;
        added.id = entry.customer;
        added.teams.push_back(entry);
        this->config.customers.push_back(added);
    }

    JobSpec spec(JobClass jobClass, std::uint32_t tasks, const Resources &perTask) const
    {
        JobSpec result;
        result.queue = QueueId("q");
        result.jobClass = jobClass;
        result.taskCount = tasks;
        result.perTask = perTask;
        return result;
    }

    JobId submit(const std::string &team, const JobSpec &jobSpec)
    {
        const JobId id(++this->lastJob);
        const auto shared = std::make_shared<const JobSpec>(jobSpec);
        const WaitingJob job{.id = id,
                             .jobClass = jobSpec.jobClass,
                             .team = TeamId(team),
                             .submittedAt = CellTime(std::chrono::milliseconds(this->lastJob))};
        for (std::uint32_t index = 0; index < jobSpec.taskCount; ++index) {
            this->scheduler.addTask(job, shared, index, Attempt(1));
        }
        return id;
    }

    /** Runs a round and returns all start decisions; their resources stay reserved. */
    std::vector<StartDecision> decide()
    {
        std::vector<StartDecision> all;
        for (const StartGroup &group : this->scheduler.runRound(this->input)) {
            all.insert(all.end(), group.starts.begin(), group.starts.end());
        }
        return all;
    }

    /** Applies a committed start to the fleet and the ledger, as the cell does. */
    void commit(const StartDecision &start)
    {
        (void)this->fleet.allocate(start.instance, start.amount);
        const Limit none{.maximum = amount(1'000'000, 1'000'000, 100'000)};
        (void)this->ledger.addRunning(start.team, start.amount,
                                      Limit{.maximum = add(none.maximum,
                                                           Resources{.cpu = {},
                                                                     .memory = {},
                                                                     .accelerators = {},
                                                                     .slots = SlotCount(1'000'000)})
                                                           .value()});
        this->scheduler.releaseStart(start);
    }

    void end(const StartDecision &start)
    {
        this->fleet.deallocate(start.instance, start.amount);
        this->ledger.removeRunning(start.team, start.amount);
    }

    Fleet fleet;
    TeamLedger ledger;
    CellConfig config;
    Scheduler scheduler;
    RoundInput input;
    std::uint64_t lastJob = 0;
};

} // namespace gooseberry::test
