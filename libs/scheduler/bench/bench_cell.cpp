#include "bench_cell.h"

#include <algorithm>
#include <array>

namespace gooseberry::bench {

namespace {

constexpr int workersPerRack = 8;
constexpr int acceleratorsPerWorker = 8;

WaitingJob waitingJob(const BenchJob &job)
{
    return WaitingJob{.id = job.id,
                      .jobClass = job.spec->jobClass,
                      .team = job.team,
                      .submittedAt = job.submittedAt};
}

} // namespace

Resources sized(std::int64_t cores, std::int64_t gigabytes, std::int64_t accelerators)
{
    return Resources{.cpu = CpuMillis(cores * 1000),
                     .memory = Bytes(gigabytes << 30),
                     .accelerators = AcceleratorCount(accelerators),
                     .slots = SlotCount(1)};
}

std::vector<InstanceSpec> generateFleet(const CellSize &size)
{
    std::vector<InstanceSpec> fleet;
    int remaining = size.accelerators;
    for (int number = 0; number < size.workers; ++number) {
        InstanceSpec spec;
        spec.id = InstanceId("worker-" + std::to_string(number));
        const int rack = number / workersPerRack;
        spec.rack = RackId("rack-" + std::to_string(rack));
        spec.domain = FailureDomainId("domain-" + std::to_string(rack % size.domains));
        spec.capacity = sized(64, 128);
        spec.capacity.slots = SlotCount(8);
        // Every fourth worker has accelerators until all are assigned.
        if (number % 4 == 0 && remaining > 0) {
            const int onWorker
                = std::min(remaining, acceleratorsPerWorker + (size.accelerators > 2800 ? 1 : 0));
            spec.capacity.accelerators = AcceleratorCount(onWorker);
            remaining -= onWorker;
        }
        fleet.push_back(spec);
    }
    return fleet;
}

CellConfig generateConfig(const CellSize &size)
{
    CellConfig config;
    config.customers.resize(static_cast<std::size_t>(size.customers));
    for (int customer = 0; customer < size.customers; ++customer) {
        Customer &entry = config.customers[static_cast<std::size_t>(customer)];
        entry.id = CustomerId("customer-" + std::to_string(customer));
        entry.share.weight = 1.0 + customer % 3;
    }
    for (int number = 0; number < size.teams; ++number) {
        Customer &customer = config.customers[static_cast<std::size_t>(number % size.customers)];
        Team team;
        team.id = TeamId(customer.id.value + "/team-" + std::to_string(number));
        team.customer = customer.id;
        team.share.weight = 1.0 + number % 4;
        team.limit.maximum = sized(10'000'000, 10'000'000, 10'000'000);
        team.limit.maximum.slots = SlotCount(10'000'000);
        customer.teams.push_back(team);
    }
    return config;
}

JobSource::JobSource(std::uint64_t seed, const CellConfig &config)
    : random(seed)
{
    for (const Customer &customer : config.customers) {
        for (const Team &team : customer.teams) {
            this->teams.push_back(team.id);
        }
    }
}

BenchJob JobSource::next(JobClass jobClass, std::uint32_t tasks, const Resources &perTask)
{
    JobSpec spec;
    spec.queue = QueueId("queue");
    spec.jobClass = jobClass;
    spec.taskCount = tasks;
    spec.perTask = perTask;
    BenchJob job;
    job.id = JobId(++this->lastJob);
    job.team = this->teams[this->pick(this->teams.size())];
    job.spec = std::make_shared<const JobSpec>(spec);
    job.submittedAt = CellTime(std::chrono::milliseconds(this->lastJob));
    return job;
}

BenchJob JobSource::nextMixed(bool withAccelerators)
{
    static const std::array<Resources, 8> plain{sized(1, 2),   sized(2, 4),   sized(4, 8),
                                                sized(8, 16),  sized(16, 24), sized(2, 16),
                                                sized(12, 20), sized(6, 8)};
    static const std::array<Resources, 4> accelerated{sized(4, 8, 1), sized(8, 16, 1),
                                                      sized(8, 16, 2), sized(16, 32, 4)};
    const auto tasks = static_cast<std::uint32_t>(1 + this->pick(16));
    const bool usesAccelerators = withAccelerators && this->pick(5) == 0;
    const Resources perTask = usesAccelerators ? accelerated.at(this->pick(accelerated.size()))
                                               : plain.at(this->pick(plain.size()));
    return this->next(this->pick(5) == 0 ? JobClass::Service : JobClass::Batch, tasks, perTask);
}

std::size_t JobSource::pick(std::size_t count)
{
    return static_cast<std::size_t>(this->random() % count);
}

double JobSource::uniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

SchedulerPlacer::SchedulerPlacer(const CellSize &size, unsigned threads)
    : config(generateConfig(size))
    , scheduler(fleet, ledger, [threads] {
        SchedulerSettings settings;
        settings.decisionThreads = threads;
        return settings;
    }())
{
    for (const InstanceSpec &spec : generateFleet(size)) {
        this->fleet.announce(spec);
    }
}

void SchedulerPlacer::submit(const BenchJob &job)
{
    this->jobs[job.id] = job;
    for (std::uint32_t index = 0; index < job.spec->taskCount; ++index) {
        this->scheduler.addTask(waitingJob(job), job.spec, index, Attempt(1));
    }
}

std::vector<Placed> SchedulerPlacer::round(SteadyTime now)
{
    RoundInput input;
    input.now = now;
    input.config = &this->config;
    const auto begin = std::chrono::steady_clock::now();
    const std::vector<StartGroup> groups = this->scheduler.runRound(input);
    this->decisionTime = std::chrono::steady_clock::now() - begin;
    std::vector<Placed> placed;
    Limit none;
    none.maximum = sized(10'000'000, 10'000'000, 10'000'000);
    none.maximum.slots = SlotCount(10'000'000);
    for (const StartGroup &group : groups) {
        const BenchJob &job = this->jobs.at(group.job);
        for (const StartDecision &start : group.starts) {
            (void)this->fleet.allocate(start.instance, start.amount);
            (void)this->ledger.addRunning(start.team, start.amount, none);
            this->scheduler.releaseStart(start);
            this->scheduler.taskStarted(RunningTask{.attempt = start.attempt,
                                                    .instance = start.instance,
                                                    .team = start.team,
                                                    .jobClass = job.spec->jobClass,
                                                    .amount = start.amount,
                                                    .repeatable = true,
                                                    .checkpointable = false,
                                                    .jobTemplate = {},
                                                    .startedAt = now,
                                                    .estimatedRunTime = {}});
            placed.push_back(Placed{.task = start.attempt.task,
                                    .attempt = start.attempt.attempt,
                                    .instance = start.instance,
                                    .team = start.team});
        }
    }
    return placed;
}

void SchedulerPlacer::end(const Placed &placed, EndCause cause, SteadyTime now)
{
    const Resources &amount = this->jobs.at(placed.task.job).spec->perTask;
    this->fleet.deallocate(placed.instance, amount);
    this->ledger.removeRunning(placed.team, amount);
    this->scheduler.taskEnded(
        TaskEnd{.attempt = AttemptId{.task = placed.task, .attempt = placed.attempt},
                .instance = placed.instance,
                .cause = cause,
                .at = now});
}

void SchedulerPlacer::retry(const BenchJob &job, const Placed &placed)
{
    this->scheduler.addTask(waitingJob(job), job.spec, placed.task.index,
                            Attempt(placed.attempt.value + 1));
}

std::vector<Instance> SchedulerPlacer::instances() const
{
    return this->fleet.snapshot();
}

std::vector<TeamUsage> SchedulerPlacer::usage() const
{
    return this->ledger.allUsage();
}

Resources SchedulerPlacer::capacity() const
{
    return this->fleet.totalCapacity();
}

std::size_t SchedulerPlacer::quarantined(SteadyTime now) const
{
    return this->scheduler.quarantined(now).size();
}

FirstFitPlacer::FirstFitPlacer(const CellSize &size)
{
    for (const InstanceSpec &spec : generateFleet(size)) {
        this->positions[spec.id] = this->fleet.size();
        Instance instance;
        instance.spec = spec;
        this->fleet.push_back(instance);
    }
}

void FirstFitPlacer::submit(const BenchJob &job)
{
    this->specs[job.id] = job.spec;
    Waiting entry{.job = job, .tasks = {}};
    for (std::uint32_t index = 0; index < job.spec->taskCount; ++index) {
        entry.tasks.emplace_back(index, Attempt(1));
    }
    this->waiting.push_back(std::move(entry));
}

std::vector<Placed> FirstFitPlacer::round(SteadyTime)
{
    const auto begin = std::chrono::steady_clock::now();
    std::vector<Placed> placed;
    // Sizes that did not fit in this round. Free capacity only shrinks within a round, so tasks
    // that are at least as large are skipped; otherwise a round over a long queue takes hours.
    std::vector<Resources> unplaceable;
    for (Waiting &entry : this->waiting) {
        const Resources &amount = entry.job.spec->perTask;
        if (std::any_of(unplaceable.begin(), unplaceable.end(), [&amount](const Resources &size) {
                return !firstShortage(size, amount);
            })) {
            continue;
        }
        if (entry.job.spec->jobClass == JobClass::Gang
            && placeable(this->fleet, amount) < entry.tasks.size()) {
            continue;
        }
        for (Instance &instance : this->fleet) {
            while (!entry.tasks.empty() && !firstShortage(amount, freeCapacity(instance))) {
                instance.allocated = add(instance.allocated, amount).value();
                placed.push_back(
                    Placed{.task = TaskId{.job = entry.job.id, .index = entry.tasks.front().first},
                           .attempt = entry.tasks.front().second,
                           .instance = instance.spec.id,
                           .team = entry.job.team});
                entry.tasks.pop_front();
            }
            if (entry.tasks.empty()) {
                break;
            }
        }
        if (!entry.tasks.empty()) {
            unplaceable.push_back(amount);
        }
    }
    std::erase_if(this->waiting, [](const Waiting &entry) { return entry.tasks.empty(); });
    this->decisionTime = std::chrono::steady_clock::now() - begin;
    return placed;
}

void FirstFitPlacer::end(const Placed &placed, EndCause, SteadyTime)
{
    Instance &instance = this->fleet[this->positions.at(placed.instance)];
    instance.allocated
        = subtract(instance.allocated, this->specs.at(placed.task.job)->perTask).value();
}

void FirstFitPlacer::retry(const BenchJob &job, const Placed &placed)
{
    Waiting entry{.job = job, .tasks = {}};
    entry.tasks.emplace_back(placed.task.index, Attempt(placed.attempt.value + 1));
    this->waiting.push_back(std::move(entry));
}

std::vector<Instance> FirstFitPlacer::instances() const
{
    return this->fleet;
}

std::uint64_t placeable(const std::vector<Instance> &instances, const Resources &perTask)
{
    std::uint64_t count = 0;
    for (const Instance &instance : instances) {
        Resources free = freeCapacity(instance);
        while (!firstShortage(perTask, free)) {
            free = subtract(free, perTask).value();
            ++count;
        }
    }
    return count;
}

} // namespace gooseberry::bench
