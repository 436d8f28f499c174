#include <scheduler/scheduler_core.h>

#include <algorithm>

namespace gooseberry {

namespace {

void adjustReserved(std::vector<Instance> &instances, const StartDecision &decision, bool take)
{
    const auto found
        = std::find_if(instances.begin(), instances.end(), [&decision](const Instance &instance) {
              return instance.spec.id == decision.instance;
          });
    if (found != instances.end()) {
        const auto next = take ? add(found->reserved, decision.amount)
                               : subtract(found->reserved, decision.amount);
        found->reserved = next.value_or(found->reserved);
    }
}

} // namespace

Scheduler::Scheduler(Fleet &initialFleet, TeamLedger &initialLedger)
    : fleet(initialFleet)
    , ledger(initialLedger)
{
}

void Scheduler::addTask(const WaitingJob &job, const std::shared_ptr<const JobSpec> &spec,
                        std::uint32_t index, Attempt nextAttempt)
{
    const std::lock_guard lock(this->mutex);
    PendingJob &entry = this->pending[job.id];
    entry.waiting = job;
    entry.spec = spec;
    entry.tasks[index] = nextAttempt;
}

void Scheduler::removeJob(const JobId &job)
{
    const std::lock_guard lock(this->mutex);
    this->pending.erase(job);
    this->reasons.erase(job);
}

void Scheduler::clear()
{
    const std::lock_guard lock(this->mutex);
    this->pending.clear();
    this->reasons.clear();
}

std::uint32_t Scheduler::pendingTasks(const QueueId &queue) const
{
    const std::lock_guard lock(this->mutex);
    std::uint32_t count = 0;
    for (const auto &[id, job] : this->pending) {
        if (job.spec->queue == queue) {
            count += static_cast<std::uint32_t>(job.tasks.size());
        }
    }
    return count;
}

std::vector<StartGroup> Scheduler::runRound(const RoundInput &input)
{
    const std::lock_guard lock(this->mutex);
    std::vector<StartGroup> groups;
    if (this->pending.empty()) {
        return groups;
    }
    std::vector<Instance> instances = this->fleet.snapshot();
    for (const WaitingJob &next : this->ordered(input)) {
        PendingJob &job = this->pending.at(next.id);
        const Team *team = findTeam(*input.config, next.team);
        const Limit limit = team != nullptr ? team->limit : Limit{};
        StartGroup group = this->placeJob(job, input, limit, instances);
        if (!group.starts.empty()) {
            groups.push_back(std::move(group));
        }
        if (job.tasks.empty()) {
            this->pending.erase(next.id);
            this->reasons.erase(next.id);
        }
    }
    return groups;
}

void Scheduler::settle(const StartDecision &decision)
{
    this->fleet.releaseReservation(decision.instance, decision.amount);
    this->ledger.releaseReservation(decision.team, decision.amount);
}

Reason Scheduler::whyWaiting(const JobId &job) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->reasons.find(job);
    return found == this->reasons.end() ? Reason::Accepted : found->second;
}

std::vector<WaitingJob> Scheduler::ordered(const RoundInput &input) const
{
    std::vector<WaitingJob> jobs;
    jobs.reserve(this->pending.size());
    for (const auto &[id, job] : this->pending) {
        jobs.push_back(job.waiting);
    }
    const Resources capacity = this->fleet.totalCapacity();
    std::vector<TeamStanding> standings;
    for (const Customer &customer : input.config->customers) {
        for (const Team &team : customer.teams) {
            const TeamUsage usage = this->ledger.usage(team.id);
            const Resources held = add(usage.running, usage.reserved).value_or(usage.running);
            standings.push_back(TeamStanding{.team = team.id,
                                             .share = team.share,
                                             .dominantShare = dominantShare(held, capacity)});
        }
    }
    return orderJobs(std::move(jobs), standings);
}

StartGroup Scheduler::placeJob(PendingJob &job, const RoundInput &input, const Limit &limit,
                               std::vector<Instance> &instances)
{
    StartGroup group;
    group.job = job.waiting.id;
    group.allOrNone = job.spec->jobClass == JobClass::Gang;
    for (const auto &[index, attempt] : job.tasks) {
        if (!this->placeTask(job, index, input, limit, instances, group)) {
            break;
        }
    }
    if (group.allOrNone && group.starts.size() < job.tasks.size()) {
        this->undo(group, instances);
    }
    for (const StartDecision &decision : group.starts) {
        job.tasks.erase(decision.attempt.task.index);
    }
    return group;
}

bool Scheduler::placeTask(const PendingJob &job, std::uint32_t index, const RoundInput &input,
                          const Limit &limit, std::vector<Instance> &instances, StartGroup &group)
{
    StartDecision decision;
    decision.attempt = AttemptId{.task = TaskId{.job = job.waiting.id, .index = index},
                                 .attempt = job.tasks.at(index)};
    decision.team = job.waiting.team;
    decision.amount = job.spec->perTask;
    decision.choice = choosePlacement(*job.spec, instances, input.domainsOut);
    if (!decision.choice.instance) {
        this->reasons[job.waiting.id] = decision.choice.reason;
        return false;
    }
    decision.instance = *decision.choice.instance;
    if (!ok(this->ledger.reserve(decision.team, decision.amount, limit))) {
        this->reasons[job.waiting.id] = Reason::TeamAtLimit;
        return false;
    }
    if (!ok(this->fleet.reserve(decision.instance, decision.amount))) {
        this->ledger.releaseReservation(decision.team, decision.amount);
        this->reasons[job.waiting.id] = Reason::NoCapacity;
        return false;
    }
    adjustReserved(instances, decision, true);
    group.starts.push_back(std::move(decision));
    return true;
}

void Scheduler::undo(StartGroup &group, std::vector<Instance> &instances)
{
    for (const StartDecision &decision : group.starts) {
        this->settle(decision);
        adjustReserved(instances, decision, false);
    }
    group.starts.clear();
}

} // namespace gooseberry
