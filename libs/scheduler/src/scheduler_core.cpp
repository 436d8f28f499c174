#include <scheduler/scheduler_core.h>

#include "fleet_view.h"
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
    , threads(std::make_unique<RoundThreads>(initialSettings.decisionThreads))
{
}

Scheduler::~Scheduler() = default;

void Scheduler::addTask(const WaitingJob &job, const std::shared_ptr<const JobSpec> &spec,
                        std::uint32_t index, Attempt nextAttempt)
{
    this->waiting->add(job, spec, index, nextAttempt);
}

void Scheduler::removeJob(const JobId &job)
{
    this->waiting->remove(job);
}

void Scheduler::clear()
{
    this->waiting->clear();
    this->running->clear();
}

std::uint32_t Scheduler::pendingTasks(const QueueId &queue) const
{
    return this->waiting->pendingTasks(queue);
}

std::vector<StartGroup> Scheduler::runRound(const RoundInput &input)
{
    const std::lock_guard lock(this->roundMutex);
    if (this->waiting->pendingTasks() == 0) {
        return {};
    }
    const std::set<FailureDomainId> none;
    const bool ignoreDomains = this->settings.faults.ignoreDomainsOut;
    FleetView view(this->fleet.snapshot(), ignoreDomains ? none : input.domainsOut, {}, {});
    SchedulingRound round(RoundParts{.fleet = this->fleet,
                                     .ledger = this->ledger,
                                     .waiting = *this->waiting,
                                     .running = *this->running,
                                     .view = view,
                                     .input = input,
                                     .settings = this->settings,
                                     .capacityVersion = this->updateCapacityVersion(input),
                                     .reservedFor = {}});
    this->threads->run([&](unsigned thread) { round.work(thread, this->threads->count()); });
    return round.takeGroups();
}

void Scheduler::settle(const StartDecision &decision)
{
    this->fleet.releaseReservation(decision.instance, decision.amount);
    this->ledger.releaseReservation(decision.team, decision.amount);
}

Reason Scheduler::whyWaiting(const JobId &job) const
{
    return this->waiting->whyWaiting(job).value_or(Reason::Accepted);
}

std::uint64_t Scheduler::updateCapacityVersion(const RoundInput &input)
{
    const std::uint64_t membership = this->fleet.membershipVersion();
    if (membership != this->seenMembership || input.domainsOut != this->seenDomainsOut) {
        this->seenMembership = membership;
        this->seenDomainsOut = input.domainsOut;
        ++this->capacityVersion;
    }
    return this->capacityVersion;
}

} // namespace gooseberry
