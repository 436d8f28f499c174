#include <scheduler/scheduler_core.h>

#include "fleet_view.h"
#include "health_table.h"
#include "retry_queue.h"
#include "round_threads.h"
#include "running_table.h"
#include "scheduling_round.h"
#include "waiting_table.h"

namespace gooseberry {

Scheduler::Scheduler(Fleet &initialFleet, TeamLedger &initialLedger,
                     const SchedulerSettings &initialSettings)
    : fleet(initialFleet)
    , ledger(initialLedger)
    , settings(initialSettings)
    , waiting(std::make_unique<WaitingTable>())
    , running(std::make_unique<RunningTable>(initialSettings.correction))
    , health(std::make_unique<HealthTable>(initialSettings.quarantine))
    , retries(std::make_unique<RetryQueue>(initialSettings.retry))
    , threads(std::make_unique<RoundThreads>(initialSettings.decisionThreads))
{
}

Scheduler::~Scheduler() = default;

void Scheduler::addTask(const WaitingJob &job, const std::shared_ptr<const JobSpec> &spec,
                        std::uint32_t index, Attempt nextAttempt)
{
    const TaskId task{.job = job.id, .index = index};
    if (this->health->consumeFailure(task)) {
        this->retries->add(
            RetryTask{.waiting = job, .spec = spec, .index = index, .nextAttempt = nextAttempt});
        return;
    }
    if (nextAttempt <= Attempt(1)) {
        this->retries->creditFirstAttempts(job.team, 1);
    }
    this->waiting->add(job, spec, index, nextAttempt);
    if (const auto delay = this->health->delayOf(job.id)) {
        this->waiting->delay(job.id, delay->until, delay->reason);
    }
}

void Scheduler::removeJob(const JobId &job)
{
    this->waiting->remove(job);
    this->retries->removeJob(job);
    this->health->forgetJob(job);
}

void Scheduler::clear()
{
    this->waiting->clear();
    this->running->clear();
    this->health->clear();
    this->retries->clear();
    {
        const std::lock_guard lock(this->roundMutex);
        this->gangReservation.reset();
        this->gangCooldowns.clear();
        this->domainReturns.clear();
    }
    const std::lock_guard lock(this->stopMutex);
    this->stopping.clear();
    this->preemptingFor.clear();
}

std::uint32_t Scheduler::pendingTasks(const QueueId &queue) const
{
    return this->waiting->pendingTasks(queue) + this->retries->count(queue);
}

std::uint32_t Scheduler::pendingTasks() const
{
    return this->waiting->pendingTasks();
}

std::vector<StartGroup> Scheduler::runRound(const RoundInput &input)
{
    const std::lock_guard lock(this->roundMutex);
    this->trackReturnedDomains(input);
    this->expireReservation(input.now);
    this->admitRetries(input.now);
    if (this->waiting->pendingTasks() == 0) {
        return {};
    }
    this->updateView(input);
    SchedulingRound round(RoundContext{
        .fleet = this->fleet,
        .ledger = this->ledger,
        .waiting = *this->waiting,
        .running = *this->running,
        .view = *this->view,
        .input = input,
        .settings = this->settings,
        .gangCooldowns = this->gangCooldowns,
        .capacityVersion = this->capacityVersion,
        .capacity = this->viewCapacity,
        .reservedFor = this->gangReservation ? this->gangReservation->reservation.job : JobId{}});
    this->threads->run([&](unsigned thread) { round.work(thread, this->threads->count()); });
    std::vector<StartGroup> groups = round.takeGroups();
    this->updateReservation(round, groups, input);
    return groups;
}

void Scheduler::releaseStart(const StartDecision &decision)
{
    if (this->settings.faults.leakReservations) {
        return;
    }
    this->fleet.releaseReservation(decision.instance, decision.amount);
    this->ledger.releaseReservation(decision.team, decision.amount);
}

Reason Scheduler::whyWaiting(const JobId &job) const
{
    if (const auto reason = this->waiting->whyWaiting(job)) {
        return *reason;
    }
    return this->retries->contains(job) ? Reason::RetryBudgetSpent : Reason::Accepted;
}

void Scheduler::admitRetries(SteadyTime now)
{
    for (const RetryTask &task : this->retries->takeAllowed(now)) {
        this->waiting->add(task.waiting, task.spec, task.index, task.nextAttempt);
        if (const auto delay = this->health->delayOf(task.waiting.id)) {
            this->waiting->delay(task.waiting.id, delay->until, delay->reason);
        }
    }
}

void Scheduler::trackReturnedDomains(const RoundInput &input)
{
    for (const FailureDomainId &domain : this->viewDomainsOut) {
        if (!input.domainsOut.contains(domain)) {
            this->domainReturns[domain] = input.now;
        }
    }
    std::erase_if(this->domainReturns, [&](const auto &entry) {
        return input.domainsOut.contains(entry.first)
            || entry.second + this->settings.evacuation.rampUp <= input.now;
    });
}

std::set<InstanceId> Scheduler::excludedInstances(SteadyTime now) const
{
    std::set<InstanceId> excluded = this->health->quarantined(now);
    if (this->domainReturns.empty()) {
        return excluded;
    }
    for (const Instance &instance : this->fleet.snapshot()) {
        const auto found = this->domainReturns.find(instance.spec.domain);
        if (found == this->domainReturns.end()) {
            continue;
        }
        const auto since
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second);
        if (!isIncludedInRamp(instance.spec.id, rampFraction(since, this->settings.evacuation))) {
            excluded.insert(instance.spec.id);
        }
    }
    return excluded;
}

void Scheduler::updateView(const RoundInput &input)
{
    // Both are read before the snapshot, so that a change in between is detected in the next round.
    const std::uint64_t membership = this->fleet.membershipVersion();
    const std::vector<Instance> changed = this->fleet.takeChanged();
    std::set<InstanceId> excluded = this->excludedInstances(input.now);
    const JobId reservedFor
        = this->gangReservation ? this->gangReservation->reservation.job : JobId{};
    const bool sameInstances = this->view && membership == this->viewMembershipVersion
        && input.domainsOut == this->viewDomainsOut && excluded == this->viewExcluded;
    if (sameInstances && reservedFor == this->viewReservedFor) {
        this->view->refresh(changed);
        return;
    }
    this->capacityVersion += sameInstances ? 0 : 1;
    this->viewMembershipVersion = membership;
    this->viewDomainsOut = input.domainsOut;
    this->viewExcluded = std::move(excluded);
    this->viewReservedFor = reservedFor;
    std::vector<ReservedInstance> reserved;
    if (this->gangReservation) {
        for (const InstanceId &instance : this->gangReservation->reservation.instances) {
            reserved.push_back(ReservedInstance{.instance = instance,
                                                .job = reservedFor,
                                                .until = this->gangReservation->expectedStart});
        }
    }
    const std::vector<Instance> instances = this->fleet.snapshot();
    this->viewCapacity = Resources{};
    for (const Instance &instance : instances) {
        this->viewCapacity
            = add(this->viewCapacity, instance.spec.capacity).value_or(this->viewCapacity);
    }
    const std::set<FailureDomainId> none;
    this->view = std::make_unique<FleetView>(
        instances, this->settings.faults.ignoreDomainsOut ? none : input.domainsOut,
        this->viewExcluded, reserved);
}

void Scheduler::expireReservation(SteadyTime now)
{
    std::erase_if(this->gangCooldowns, [now](const auto &entry) { return entry.second <= now; });
    if (!this->gangReservation) {
        return;
    }
    const JobId job = this->gangReservation->reservation.job;
    if (!this->waiting->contains(job)) {
        this->gangReservation.reset();
    } else if (this->gangReservation->reservation.end <= now) {
        this->gangCooldowns[job] = now + this->settings.reservation.cooldown;
        this->gangReservation.reset();
    }
}

void Scheduler::updateReservation(const SchedulingRound &round,
                                  const std::vector<StartGroup> &groups, const RoundInput &input)
{
    for (const StartGroup &group : groups) {
        if (this->gangReservation && group.job == this->gangReservation->reservation.job) {
            this->gangReservation.reset();
        }
    }
    const auto &gang = round.firstUnplacedGang();
    if (this->gangReservation || !gang) {
        return;
    }
    std::vector<Instance> usable;
    for (const Instance &instance : this->fleet.snapshot()) {
        if (acceptsNewTasks(instance, input.domainsOut)
            && !this->viewExcluded.contains(instance.spec.id)) {
            usable.push_back(instance);
        }
    }
    this->gangReservation = planGangReservation(*gang, usable, this->running->all(), input.now,
                                                this->settings.reservation);
    if (!this->gangReservation) {
        // No set of instances becomes free in time; repeating the search each round is too costly.
        this->gangCooldowns[gang->job] = input.now + this->settings.reservation.cooldown;
    }
}

std::set<InstanceId> Scheduler::quarantined(SteadyTime now) const
{
    return this->health->quarantined(now);
}

std::optional<Reservation> Scheduler::reservation() const
{
    const std::lock_guard lock(this->roundMutex);
    return this->gangReservation ? std::optional(this->gangReservation->reservation) : std::nullopt;
}

} // namespace gooseberry
