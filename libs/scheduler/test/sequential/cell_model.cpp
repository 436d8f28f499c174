#include "cell_model.h"

#include <algorithm>

namespace gooseberry::test {

namespace {

/** Number of operations between two full comparisons of model and scheduler state. */
constexpr int accountingInterval = 250;

Resources plus(const Resources &left, const Resources &right)
{
    return add(left, right).value();
}

Resources minus(const Resources &left, const Resources &right)
{
    return subtract(left, right).value();
}

Resources sized(std::int64_t cores, std::int64_t gigabytes, std::int64_t accelerators,
                std::int64_t slots)
{
    return Resources{.cpu = CpuMillis(cores * 1000),
                     .memory = Bytes(gigabytes << 30),
                     .accelerators = AcceleratorCount(accelerators),
                     .slots = SlotCount(slots)};
}

SchedulerSettings settingsFor(const ModelSetup &setup)
{
    SchedulerSettings settings;
    settings.seed = setup.seed;
    settings.faults = setup.faults;
    settings.evacuation.maxConcurrentMoves = 4;
    return settings;
}

} // namespace

CellModel::CellModel(const ModelSetup &initialSetup)
    : setup(initialSetup)
    , random(initialSetup.seed)
    , scheduler(fleet, ledger, settingsFor(initialSetup))
{
    this->input.config = &this->config;
    this->input.now = SteadyTime(std::chrono::hours(1));
    for (int domain = 0; domain < 3; ++domain) {
        this->config.domains.push_back(
            FailureDomainSpec{.id = FailureDomainId("d" + std::to_string(domain)), .region = {}});
    }
    for (int customer = 0; customer < 2; ++customer) {
        Customer entry;
        entry.id = CustomerId("c" + std::to_string(customer));
        for (int number = customer; number < this->setup.teams; number += 2) {
            Team added;
            added.id = TeamId(entry.id.value + "/" + std::to_string(number));
            added.share.weight = 1.0 + number % 3;
            added.limit.maximum = sized(24, 120, 4, 30);
            entry.teams.push_back(added);
            this->teamIds.push_back(added.id);
        }
        this->config.customers.push_back(entry);
    }
    for (int number = 0; number < this->setup.instances; ++number) {
        this->announce();
    }
}

std::optional<std::string> CellModel::run()
{
    for (int operation = 0; operation < this->setup.operations && !this->brokenRule; ++operation) {
        this->step();
        if (operation % accountingInterval == 0) {
            this->checkAccounting();
        }
    }
    if (!this->brokenRule) {
        this->checkAccounting();
    }
    return this->brokenRule;
}

std::uint64_t CellModel::startsCommitted() const
{
    return this->committed;
}

void CellModel::step()
{
    this->input.now += std::chrono::milliseconds(this->pick(400));
    this->input.cellNow += std::chrono::milliseconds(200);
    const std::size_t kind = this->pick(1000);
    if (kind < 220) {
        this->submit();
    } else if (kind < 300) {
        this->runRound();
    } else if (kind < 550) {
        this->commitOldest();
    } else if (kind < 790) {
        this->endTask(EndCause::Succeeded);
    } else if (kind < 880) {
        this->endTask(EndCause::Failed);
    } else if (kind < 920) {
        this->cancel();
    } else if (kind < 935) {
        this->disconnectWorker();
    } else if (kind < 945) {
        this->changeDomain();
    } else if (kind < 960) {
        this->changeLimit();
    } else if (kind < 980) {
        this->announce();
    } else {
        this->applyStopDecisions();
    }
}

JobSpec CellModel::randomSpec()
{
    JobSpec spec;
    spec.queue = QueueId("q");
    spec.jobClass = static_cast<JobClass>(this->pick(4));
    spec.taskCount = static_cast<std::uint32_t>(1 + this->pick(4));
    spec.perTask = sized(static_cast<std::int64_t>(1 + this->pick(4)),
                         static_cast<std::int64_t>(1 + this->pick(8)), this->chance(15) ? 1 : 0, 1);
    spec.expectedRunTime = std::chrono::milliseconds(this->pick(60'000));
    spec.repeatable = this->chance(80);
    spec.jobTemplate = "t" + std::to_string(this->pick(3));
    if (this->chance(3)) {
        spec.perTask.cpu = CpuMillis(1'000'000);
    }
    return spec;
}

void CellModel::submit()
{
    ModelJob job;
    job.spec = std::make_shared<const JobSpec>(this->randomSpec());
    const TeamId owner = this->teamIds[this->pick(this->teamIds.size())];
    Queue queue;
    queue.team = owner;
    queue.classes = {JobClass::Batch, JobClass::Gang, JobClass::Urgent};
    if (this->chance(80)) {
        queue.classes.insert(JobClass::Service);
    }
    // A short queue keeps rounds cheap, so that a run can have many.
    queue.maxPendingTasks = 30;
    const AdmissionInput admission{.queue = &queue,
                                   .limit = this->team(owner).limit,
                                   .caller = this->chance(90) ? std::optional(owner) : std::nullopt,
                                   .pendingTasks = this->pendingTasks,
                                   // Admits shapes that fit nowhere; they must be handled, too.
                                   .couldEverFit = true};
    job.refused = !ok(checkAdmission(*job.spec, admission));
    job.waiting = WaitingJob{.id = JobId(++this->lastJob),
                             .jobClass = job.spec->jobClass,
                             .team = owner,
                             .submittedAt = this->input.cellNow};
    job.tasks.resize(job.spec->taskCount);
    const bool enqueued = !job.refused || this->setup.submitRefused;
    for (std::uint32_t index = 0; enqueued && index < job.spec->taskCount; ++index) {
        this->scheduler.addTask(job.waiting, job.spec, index, Attempt(1));
    }
    this->pendingTasks += enqueued ? job.spec->taskCount : 0;
    this->jobs.emplace(job.waiting.id, std::move(job));
}

void CellModel::runRound()
{
    for (StartGroup &group : this->scheduler.runRound(this->input)) {
        this->checkGroup(group);
        this->decided.push_back(std::move(group));
    }
    // Ended jobs are not needed by any check.
    if (this->jobs.size() > 400) {
        std::erase_if(this->jobs, [](const auto &entry) {
            const ModelJob &job = entry.second;
            return std::all_of(job.tasks.begin(), job.tasks.end(),
                               [](const ModelTask &task) { return task.state == State::Ended; });
        });
    }
}

void CellModel::checkGroup(const StartGroup &group)
{
    for (const StartDecision &start : group.starts) {
        this->checkStart(start);
    }
    if (this->brokenRule) {
        return;
    }
    ModelJob &job = this->jobs.at(group.job);
    if (job.spec->jobClass == JobClass::Gang && !job.hasStarted
        && group.starts.size() != job.spec->taskCount) {
        this->fail("gang is not whole");
    }
}

void CellModel::checkStart(const StartDecision &start)
{
    const auto job = this->jobs.find(start.attempt.task.job);
    if (job == this->jobs.end() || job->second.refused || job->second.cancelled) {
        this->fail("start of a refused, cancelled or ended job");
        return;
    }
    ModelTask &entry = this->task(start.attempt.task);
    if (entry.state != State::Pending || entry.attempt.value + 1 != start.attempt.attempt.value) {
        this->fail("task started twice");
        return;
    }
    ModelInstance &instance = this->instances.at(start.instance);
    if (this->input.domainsOut.contains(instance.spec.domain)) {
        this->fail("start in a failure domain taken out");
    }
    if (instance.departing || !instance.reachable) {
        this->fail("start on an instance that takes no new work");
    }
    instance.decided = plus(instance.decided, start.amount);
    if (firstShortage(plus(instance.running, instance.decided), instance.spec.capacity)) {
        this->fail("instance overcommitted");
    }
    ModelTeam &usage = this->teams[start.team];
    usage.decided = plus(usage.decided, start.amount);
    if (firstShortage(plus(usage.running, usage.decided), this->team(start.team).limit.maximum)) {
        this->fail("team above its limit");
    }
    entry.state = State::Decided;
    --this->pendingTasks;
}

void CellModel::commitOldest()
{
    if (this->decided.empty()) {
        return;
    }
    const StartGroup group = std::move(this->decided.front());
    this->decided.pop_front();
    // Tasks of one gang on one instance must fit there together.
    bool whole = true;
    std::map<InstanceId, Resources> together;
    for (const StartDecision &start : group.starts) {
        Resources &sum = together[start.instance];
        sum = plus(sum, start.amount);
        whole = whole && this->canCommit(start, sum);
    }
    for (const StartDecision &start : group.starts) {
        ModelInstance &instance = this->instances.at(start.instance);
        instance.decided = minus(instance.decided, start.amount);
        ModelTeam &usage = this->teams[start.team];
        usage.decided = minus(usage.decided, start.amount);
        this->scheduler.releaseStart(start);
        if (group.allOrNone ? whole : this->canCommit(start, start.amount)) {
            this->commitStart(start);
        } else {
            this->requeue(start);
        }
    }
}

bool CellModel::canCommit(const StartDecision &start, const Resources &amount) const
{
    const ModelInstance &instance = this->instances.at(start.instance);
    return !this->jobs.at(start.attempt.task.job).cancelled && !instance.departing
        && !this->input.domainsOut.contains(instance.spec.domain)
        && !firstShortage(plus(instance.running, amount), instance.spec.capacity);
}

void CellModel::commitStart(const StartDecision &start)
{
    ModelJob &job = this->jobs.at(start.attempt.task.job);
    ModelTask &entry = this->task(start.attempt.task);
    if (entry.state != State::Decided) {
        this->fail("task started twice");
        return;
    }
    ModelInstance &instance = this->instances.at(start.instance);
    entry = ModelTask{
        .state = State::Running, .attempt = start.attempt.attempt, .instance = start.instance};
    job.hasStarted = true;
    instance.running = plus(instance.running, start.amount);
    this->teams[start.team].running = plus(this->teams[start.team].running, start.amount);
    const Limit none{.maximum = sized(10'000, 10'000, 10'000, 10'000)};
    if (!ok(this->fleet.allocate(start.instance, start.amount))
        || !ok(this->ledger.addRunning(start.team, start.amount, none))) {
        this->fail("fleet or ledger refuses what the model allows");
        return;
    }
    this->scheduler.taskStarted(RunningTask{.attempt = start.attempt,
                                            .instance = start.instance,
                                            .team = start.team,
                                            .jobClass = job.spec->jobClass,
                                            .amount = start.amount,
                                            .repeatable = job.spec->repeatable,
                                            .checkpointable = start.attempt.task.index % 2 == 0,
                                            .jobTemplate = job.spec->jobTemplate,
                                            .startedAt = this->input.now,
                                            .estimatedRunTime = job.spec->expectedRunTime});
    this->runningTasks.push_back(start.attempt.task);
    ++this->committed;
    if (this->setup.commitTwice) {
        this->commitStart(start);
    }
}

void CellModel::requeue(const StartDecision &start)
{
    ModelJob &job = this->jobs.at(start.attempt.task.job);
    ModelTask &entry = this->task(start.attempt.task);
    entry.state = job.cancelled ? State::Ended : State::Pending;
    if (!job.cancelled) {
        this->scheduler.addTask(job.waiting, job.spec, start.attempt.task.index,
                                start.attempt.attempt);
        ++this->pendingTasks;
    }
}

void CellModel::endTask(EndCause cause)
{
    if (!this->runningTasks.empty()) {
        const TaskId id = this->runningTasks[this->pick(this->runningTasks.size())];
        this->finishRunning(id, cause, cause == EndCause::Failed && this->chance(70));
    }
}

void CellModel::finishRunning(const TaskId &id, EndCause cause, bool again)
{
    ModelJob &job = this->jobs.at(id.job);
    ModelTask &entry = this->task(id);
    const Resources &amount = job.spec->perTask;
    ModelInstance &instance = this->instances.at(entry.instance);
    instance.running = minus(instance.running, amount);
    ModelTeam &usage = this->teams[job.waiting.team];
    usage.running = minus(usage.running, amount);
    this->fleet.deallocate(entry.instance, amount);
    this->ledger.removeRunning(job.waiting.team, amount);
    this->scheduler.taskEnded(TaskEnd{.attempt = AttemptId{.task = id, .attempt = entry.attempt},
                                      .instance = entry.instance,
                                      .cause = cause,
                                      .at = this->input.now});
    std::erase(this->runningTasks, id);
    again = again && !job.cancelled;
    entry.state = again ? State::Pending : State::Ended;
    if (again) {
        this->scheduler.addTask(job.waiting, job.spec, id.index, Attempt(entry.attempt.value + 1));
        ++this->pendingTasks;
    }
}

void CellModel::cancel()
{
    if (this->lastJob == 0) {
        return;
    }
    const auto found = this->jobs.find(JobId(1 + this->pick(this->lastJob)));
    if (found == this->jobs.end() || found->second.cancelled || found->second.refused) {
        return;
    }
    ModelJob &job = found->second;
    job.cancelled = true;
    this->scheduler.removeJob(job.waiting.id);
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const TaskId id{.job = job.waiting.id, .index = index};
        if (job.tasks[index].state == State::Pending) {
            job.tasks[index].state = State::Ended;
            --this->pendingTasks;
        } else if (job.tasks[index].state == State::Running) {
            this->finishRunning(id, EndCause::Stopped, false);
        }
    }
}

void CellModel::disconnectWorker()
{
    if (this->instances.empty()) {
        return;
    }
    auto it = this->instances.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(this->pick(this->instances.size())));
    it->second.reachable = false;
    this->fleet.setReachable(it->first, false);
    for (const TaskId &id : std::vector<TaskId>(this->runningTasks)) {
        if (this->task(id).instance == it->first) {
            this->finishRunning(id, EndCause::Stopped, this->jobs.at(id.job).spec->repeatable);
        }
    }
}

void CellModel::changeDomain()
{
    const FailureDomainId domain = this->config.domains[this->pick(3)].id;
    if (!this->input.domainsOut.erase(domain)) {
        this->input.domainsOut.insert(domain);
    }
}

void CellModel::changeLimit()
{
    this->team(this->teamIds[this->pick(this->teamIds.size())]).limit.maximum = sized(
        static_cast<std::int64_t>(4 + this->pick(30)),
        static_cast<std::int64_t>(20 + this->pick(120)), static_cast<std::int64_t>(this->pick(5)),
        static_cast<std::int64_t>(2 + this->pick(30)));
}

void CellModel::announce()
{
    InstanceSpec spec;
    const std::size_t number = this->pick(static_cast<std::size_t>(this->setup.instances));
    spec.id = InstanceId("w" + std::to_string(number));
    spec.domain = FailureDomainId("d" + std::to_string(number % 3));
    spec.rack = RackId("r" + std::to_string(number % 4));
    // The new capacity may be smaller than before and smaller than what is in use.
    spec.capacity = sized(static_cast<std::int64_t>(2 + this->pick(14)),
                          static_cast<std::int64_t>(8 + this->pick(56)),
                          number % 3 == 0 ? static_cast<std::int64_t>(this->pick(5)) : 0, 8);
    ModelInstance &instance = this->instances[spec.id];
    instance.spec = spec;
    instance.departing = false;
    instance.reachable = true;
    this->fleet.announce(spec);
    if (this->chance(10)) {
        instance.departing = true;
        this->fleet.depart(spec.id);
    }
}

void CellModel::applyStopDecisions()
{
    for (const PreemptionDecision &decision : this->scheduler.preemptions(this->input)) {
        for (const Victim &victim : decision.victims) {
            const ModelTask &entry = this->task(victim.attempt.task);
            const JobSpec &spec = *this->jobs.at(victim.attempt.task.job).spec;
            if (entry.state != State::Running || entry.attempt != victim.attempt.attempt
                || spec.jobClass == JobClass::Urgent || !spec.repeatable) {
                this->fail("victim must not be stopped");
                return;
            }
            this->finishRunning(victim.attempt.task, EndCause::Stopped, true);
        }
    }
    const std::vector<MoveDecision> moves = this->scheduler.evacuations(this->input);
    if (moves.size() > 4) {
        this->fail("more moves at once than allowed");
    }
    for (const MoveDecision &move : moves) {
        if (!this->jobs.at(move.attempt.task.job).spec->repeatable) {
            this->fail("move of a task that must not be repeated");
            return;
        }
        this->finishRunning(move.attempt.task, EndCause::Stopped, true);
    }
}

void CellModel::checkAccounting()
{
    Resources capacity;
    for (const auto &[id, instance] : this->instances) {
        capacity = plus(capacity, instance.spec.capacity);
        const auto actual = this->fleet.find(id);
        if (!actual || !(actual->allocated == instance.running)
            || !(actual->reserved == instance.decided)) {
            this->fail("fleet and model differ on " + id.value);
        }
    }
    if (!(this->fleet.totalCapacity() == capacity)
        || this->fleet.snapshot().size() != this->instances.size()) {
        this->fail("fleet totals differ from the model");
    }
    Resources running;
    for (const auto &[id, usage] : this->teams) {
        const TeamUsage actual = this->ledger.usage(id);
        running = plus(running, usage.running);
        if (!(actual.running == usage.running) || !(actual.reserved == usage.decided)) {
            this->fail("ledger and model differ on " + id.value);
        }
    }
    Resources allocated;
    for (const Instance &instance : this->fleet.snapshot()) {
        allocated = plus(allocated, instance.allocated);
    }
    if (!(allocated == running)) {
        this->fail("sums of fleet and ledger differ");
    }
    if (this->scheduler.pendingTasks(QueueId("q")) != this->pendingTasks) {
        this->fail("waiting tasks: expected " + std::to_string(this->pendingTasks) + ", found "
                   + std::to_string(this->scheduler.pendingTasks(QueueId("q"))));
    }
}

void CellModel::fail(const std::string &rule)
{
    if (!this->brokenRule) {
        this->brokenRule = rule;
    }
}

Team &CellModel::team(const TeamId &id)
{
    for (Customer &customer : this->config.customers) {
        for (Team &entry : customer.teams) {
            if (entry.id == id) {
                return entry;
            }
        }
    }
    return this->config.customers.front().teams.front();
}

CellModel::ModelTask &CellModel::task(const TaskId &id)
{
    return this->jobs.at(id.job).tasks.at(id.index);
}

std::size_t CellModel::pick(std::size_t count)
{
    return static_cast<std::size_t>(this->random() % count);
}

bool CellModel::chance(int percent)
{
    return this->pick(100) < static_cast<std::size_t>(percent);
}

} // namespace gooseberry::test
