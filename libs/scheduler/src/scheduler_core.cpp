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
    if (this->health->takeFailed(task)) {
        this->retries->add(
            RetryTask{.waiting = job, .spec = spec, .index = index, .nextAttempt = nextAttempt});
        return;
    }
    if (nextAttempt <= Attempt(1)) {
        this->retries->countFirstTries(job.team, 1);
    }
    this->waiting->add(job, spec, index, nextAttempt);
    if (const auto hold = this->health->hold(job.id)) {
        this->waiting->delay(job.id, hold->until, hold->reason);
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
        this->room.reset();
        this->pausedGangs.clear();
        this->returned.clear();
    }
    const std::lock_guard lock(this->stopMutex);
    this->stopping.clear();
    this->makingRoom.clear();
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
    this->noteDomains(input);
    this->expireReservation(input.now);
    this->admitRetries(input.now);
    if (this->waiting->pendingTasks() == 0) {
        return {};
    }
    this->updateView(input);
    SchedulingRound round(
        RoundParts{.fleet = this->fleet,
                   .ledger = this->ledger,
                   .waiting = *this->waiting,
                   .running = *this->running,
                   .view = *this->view,
                   .input = input,
                   .settings = this->settings,
                   .pausedGangs = this->pausedGangs,
                   .capacityVersion = this->capacityVersion,
                   .capacity = this->seenCapacity,
                   .reservedFor = this->room ? this->room->reservation.job : JobId{}});
    this->threads->run([&](unsigned thread) { round.work(thread, this->threads->count()); });
    std::vector<StartGroup> groups = round.takeGroups();
    this->updateReservation(round, groups, input);
    return groups;
}

void Scheduler::settle(const StartDecision &decision)
{
    if (this->settings.faults.loseReservations) {
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
        if (const auto hold = this->health->hold(task.waiting.id)) {
            this->waiting->delay(task.waiting.id, hold->until, hold->reason);
        }
    }
}

void Scheduler::noteDomains(const RoundInput &input)
{
    for (const FailureDomainId &domain : this->seenDomainsOut) {
        if (!input.domainsOut.contains(domain)) {
            this->returned[domain] = input.now;
        }
    }
    std::erase_if(this->returned, [&](const auto &entry) {
        return input.domainsOut.contains(entry.first)
            || entry.second + this->settings.evacuation.ramp <= input.now;
    });
}

std::set<InstanceId> Scheduler::avoidedInstances(SteadyTime now) const
{
    std::set<InstanceId> avoided = this->health->quarantined(now);
    if (this->returned.empty()) {
        return avoided;
    }
    for (const Instance &instance : this->fleet.snapshot()) {
        const auto found = this->returned.find(instance.spec.domain);
        if (found == this->returned.end()) {
            continue;
        }
        const auto since
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second);
        if (!isWithinRamp(instance.spec.id, rampFraction(since, this->settings.evacuation))) {
            avoided.insert(instance.spec.id);
        }
    }
    return avoided;
}

void Scheduler::updateView(const RoundInput &input)
{
    // Both are read before the instances, so that a change in between is seen in the next round.
    const std::uint64_t membership = this->fleet.membershipVersion();
    const std::vector<Instance> changed = this->fleet.takeChanged();
    std::set<InstanceId> avoided = this->avoidedInstances(input.now);
    const JobId heldFor = this->room ? this->room->reservation.job : JobId{};
    const bool sameInstances = this->view && membership == this->seenMembership
        && input.domainsOut == this->seenDomainsOut && avoided == this->seenAvoided;
    if (sameInstances && heldFor == this->seenHeldFor) {
        this->view->refresh(changed);
        return;
    }
    this->capacityVersion += sameInstances ? 0 : 1;
    this->seenMembership = membership;
    this->seenDomainsOut = input.domainsOut;
    this->seenAvoided = std::move(avoided);
    this->seenHeldFor = heldFor;
    std::vector<HeldInstance> held;
    if (this->room) {
        for (const InstanceId &instance : this->room->reservation.instances) {
            held.push_back(HeldInstance{
                .instance = instance, .job = heldFor, .until = this->room->expectedStart});
        }
    }
    const std::vector<Instance> instances = this->fleet.snapshot();
    this->seenCapacity = Resources{};
    for (const Instance &instance : instances) {
        this->seenCapacity
            = add(this->seenCapacity, instance.spec.capacity).value_or(this->seenCapacity);
    }
    const std::set<FailureDomainId> none;
    this->view = std::make_unique<FleetView>(
        instances, this->settings.faults.ignoreDomainsOut ? none : input.domainsOut,
        this->seenAvoided, held);
}

void Scheduler::expireReservation(SteadyTime now)
{
    std::erase_if(this->pausedGangs, [now](const auto &entry) { return entry.second <= now; });
    if (!this->room) {
        return;
    }
    const JobId job = this->room->reservation.job;
    if (!this->waiting->contains(job)) {
        this->room.reset();
    } else if (this->room->reservation.end <= now) {
        this->pausedGangs[job] = now + this->settings.reservation.pause;
        this->room.reset();
    }
}

void Scheduler::updateReservation(const SchedulingRound &round,
                                  const std::vector<StartGroup> &groups, const RoundInput &input)
{
    for (const StartGroup &group : groups) {
        if (this->room && group.job == this->room->reservation.job) {
            this->room.reset();
        }
    }
    const auto &gang = round.firstUnplacedGang();
    if (this->room || !gang) {
        return;
    }
    std::vector<Instance> usable;
    for (const Instance &instance : this->fleet.snapshot()) {
        if (takesNewWork(instance, input.domainsOut)
            && !this->seenAvoided.contains(instance.spec.id)) {
            usable.push_back(instance);
        }
    }
    this->room
        = reserveRoom(*gang, usable, this->running->all(), input.now, this->settings.reservation);
    if (!this->room) {
        // No set of instances gets free in time; looking again each round would only cost.
        this->pausedGangs[gang->job] = input.now + this->settings.reservation.pause;
    }
}

std::set<InstanceId> Scheduler::quarantined(SteadyTime now) const
{
    return this->health->quarantined(now);
}

std::optional<Reservation> Scheduler::reservation() const
{
    const std::lock_guard lock(this->roundMutex);
    return this->room ? std::optional(this->room->reservation) : std::nullopt;
}

} // namespace gooseberry
