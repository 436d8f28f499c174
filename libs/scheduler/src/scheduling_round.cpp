#include "scheduling_round.h"

#include <algorithm>
#include <limits>
#include <set>

namespace gooseberry {

namespace {

/** Returns a pseudo-random fraction in [0, 1) that depends only on the arguments. */
double uniformFraction(std::uint64_t seed, const TaskId &task)
{
    // The SplitMix64 finaliser distributes consecutive task numbers over the whole range.
    std::uint64_t mixed = seed + std::hash<TaskId>{}(task);
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    mixed ^= mixed >> 31U;
    constexpr double scale = 1.0 / 18446744073709551616.0;
    return std::min(static_cast<double>(mixed) * scale, 0.999999);
}

Limit unlimited()
{
    return Limit{.maximum = Resources{
                     .cpu = CpuMillis(std::numeric_limits<std::int64_t>::max()),
                     .memory = Bytes(std::numeric_limits<std::int64_t>::max()),
                     .accelerators = AcceleratorCount(std::numeric_limits<std::int64_t>::max()),
                     .slots = SlotCount(std::numeric_limits<std::int64_t>::max())}};
}

} // namespace

SchedulingRound::SchedulingRound(const RoundContext &initialContext)
    : context(initialContext)
    , order(makeFairOrder(*initialContext.input.config, initialContext.ledger.allUsage(),
                          initialContext.capacity))
{
    this->addUndeclaredTeams();
    for (std::size_t team = 0; team < this->order.teams.size(); ++team) {
        this->context.waiting.beginRound(this->order.teams[team].id, this->blockContext(team),
                                         this->context.input.now);
        this->updateTeamWork(team);
    }
}

void SchedulingRound::work(unsigned thread, unsigned threads)
{
    const double startFraction = static_cast<double>(thread) / static_cast<double>(threads);
    for (;;) {
        std::vector<Pick> picks = this->pickNext();
        if (picks.empty()) {
            return;
        }
        for (Pick &pick : picks) {
            this->placeWork(pick, startFraction);
        }
        this->finish(std::move(picks));
    }
}

std::vector<StartGroup> SchedulingRound::takeGroups()
{
    const std::lock_guard lock(this->mutex);
    std::stable_sort(this->decided.begin(), this->decided.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<StartGroup> groups;
    std::map<JobId, std::size_t> positions;
    for (auto &[sequence, group] : this->decided) {
        const auto [position, added] = positions.emplace(group.job, groups.size());
        if (added) {
            groups.push_back(std::move(group));
            continue;
        }
        StartGroup &earlier = groups[position->second];
        std::move(group.starts.begin(), group.starts.end(), std::back_inserter(earlier.starts));
    }
    return groups;
}

const std::optional<GangRequest> &SchedulingRound::firstUnplacedGang() const
{
    return this->unplacedGang;
}

void SchedulingRound::addUndeclaredTeams()
{
    std::set<TeamId> declared;
    for (const FairTeam &team : this->order.teams) {
        declared.insert(team.id);
    }
    // A team that is no longer declared gets an empty limit, so that its tasks wait and that is the
    // reason which whyWaiting() returns.
    for (const TeamId &team : this->context.waiting.teams()) {
        if (!declared.contains(team)) {
            FairTeam entry;
            entry.id = team;
            entry.customer = this->order.customers.size();
            this->order.customers.emplace_back();
            this->order.teams.push_back(std::move(entry));
        }
    }
}

BlockContext SchedulingRound::blockContext(std::size_t team) const
{
    const FairTeam &entry = this->order.teams[team];
    return BlockContext{.capacityVersion = this->context.capacityVersion,
                        .allocated = entry.allocated,
                        .limit = entry.limit};
}

void SchedulingRound::updateTeamWork(std::size_t team)
{
    FairTeam &entry = this->order.teams[team];
    const auto oldest = this->context.waiting.oldestSubmission(entry.id, this->tier);
    entry.hasWork = oldest.has_value();
    entry.oldestSubmission = oldest.value_or(CellTime{});
}

std::vector<SchedulingRound::Pick> SchedulingRound::pickNext()
{
    std::vector<Pick> picks;
    const std::lock_guard lock(this->mutex);
    while (picks.size() < picksPerBatch) {
        const auto team = nextTeam(this->order);
        if (!team) {
            // The next tier begins only after the current picks are finished, so that it sees their
            // results.
            if (!picks.empty() || this->tier == PriorityTier::Batch) {
                break;
            }
            this->tier
                = this->tier == PriorityTier::Urgent ? PriorityTier::Service : PriorityTier::Batch;
            for (std::size_t index = 0; index < this->order.teams.size(); ++index) {
                this->updateTeamWork(index);
            }
            continue;
        }
        auto work
            = this->context.waiting.take(this->order.teams[*team].id, this->tier, this->failures,
                                         this->context.reservedFor, this->blockContext(*team));
        this->updateTeamWork(*team);
        if (!work) {
            continue;
        }
        Pick pick;
        pick.sequence = this->nextSequence++;
        pick.team = *team;
        pick.total = multiply(work->spec->perTask, static_cast<std::uint32_t>(work->tasks.size()))
                         .value_or(work->spec->perTask);
        pick.work = std::move(*work);
        charge(this->order, *team, pick.total);
        picks.push_back(std::move(pick));
    }
    return picks;
}

void SchedulingRound::finish(std::vector<Pick> picks)
{
    const std::lock_guard lock(this->mutex);
    for (Pick &pick : picks) {
        if (pick.reason == Reason::BestFit) {
            StartGroup group;
            group.job = pick.work.waiting.id;
            group.allOrNone = pick.work.spec->jobClass == JobClass::Gang;
            for (auto &[decision, place] : pick.starts) {
                group.starts.push_back(std::move(decision));
            }
            this->decided.emplace_back(pick.sequence, std::move(group));
            if (!this->context.settings.faults.requeueStartedTasks) {
                this->context.waiting.removePlaced(pick.work);
                continue;
            }
        }
        refund(this->order, pick.team, pick.total);
        this->context.waiting.requeue(pick.work, pick.reason, this->blockContext(pick.team));
        this->updateTeamWork(pick.team);
        if (pick.reason == Reason::TeamAtLimit) {
            continue;
        }
        if (this->context.gangCooldowns.contains(pick.work.waiting.id)) {
            // The shape is not recorded as failed, since another gang of the same shape may still
            // get the reservation.
            continue;
        }
        this->failures.emplace(shapeOf(*pick.work.spec), pick.reason);
        const bool waitsForRoom
            = pick.reason == Reason::NoCapacity || pick.reason == Reason::RoomReserved;
        const bool first = !this->unplacedGang || pick.sequence < this->unplacedSequence;
        if (pick.work.spec->jobClass == JobClass::Gang && waitsForRoom && first) {
            this->unplacedSequence = pick.sequence;
            this->unplacedGang = GangRequest{
                .job = pick.work.waiting.id,
                .perTask = pick.work.spec->perTask,
                .tasks = static_cast<std::uint32_t>(pick.work.tasks.size()),
                .service = pick.work.spec->service,
            };
        }
    }
}

PlacementRequest SchedulingRound::requestFor(const TakenWork &work) const
{
    PlacementRequest request;
    request.job = work.waiting.id;
    request.amount = work.spec->perTask;
    request.ignoresReservations = priorityTierOf(work.spec->jobClass) != PriorityTier::Batch;
    request.service = this->context.view.serviceIndex(work.spec->service);
    const auto runTime = correctedRunTime(
        *work.spec, this->context.running.estimate(work.waiting.team, work.spec->jobTemplate),
        this->context.settings.correction);
    if (runTime) {
        request.expectedEnd = this->context.input.now + *runTime;
    }
    return request;
}

void SchedulingRound::placeWork(Pick &pick, double startFraction)
{
    const JobSpec &spec = *pick.work.spec;
    const bool gang = spec.jobClass == JobClass::Gang;
    const FairTeam &team = this->order.teams[pick.team];
    // The injected fault exceeds the limit but still reserves, so that it breaks this one rule
    // only.
    const Limit limit = this->context.settings.faults.ignoreTeamLimit ? unlimited() : team.limit;
    if (!ok(this->context.ledger.reserve(team.id, pick.total, limit))) {
        pick.reason = Reason::TeamAtLimit;
        return;
    }
    const std::unique_lock gangLock
        = gang ? std::unique_lock(this->gangMutex) : std::unique_lock<std::mutex>();
    PlacementRequest request = this->requestFor(pick.work);
    const auto count = static_cast<std::uint32_t>(pick.work.tasks.size());
    bool whole = !gang || this->context.view.countPlaceable(request, count) >= count;
    const bool splits = gang && this->context.settings.faults.splitGangs;
    for (std::size_t task = 0; (whole || splits) && task < count; ++task) {
        whole = this->placeTask(pick, task, request, startFraction);
    }
    if (whole || (splits && !pick.starts.empty())) {
        return;
    }
    this->undo(pick);
    this->context.ledger.releaseReservation(team.id, pick.total);
    pick.reason = this->context.view.whyUnplaceable(request);
}

bool SchedulingRound::placeTask(Pick &pick, std::size_t task, const PlacementRequest &request,
                                double startFraction)
{
    const auto &[index, attempt] = pick.work.tasks[task];
    const TaskId taskId{.job = pick.work.waiting.id, .index = index};
    PlacementRequest next = request;
    SpreadCounts counts;
    if (pick.work.spec->jobClass == JobClass::Service) {
        counts = this->spreadOf(pick.work.waiting.id);
        next.spread = &counts;
        startFraction = uniformFraction(this->context.settings.seed, taskId);
    }
    auto place = this->context.view.place(next, startFraction);
    while (place && !this->reserveOnFleet(*place, next.amount)) {
        // The instance has changed since the view was updated.
        this->context.view.markFull(*place);
        place = this->context.view.place(next, startFraction);
    }
    if (!place) {
        return false;
    }
    if (next.spread != nullptr) {
        this->countSpread(pick.work.waiting.id, *place);
    }
    StartDecision decision;
    decision.attempt = AttemptId{.task = taskId, .attempt = attempt};
    decision.instance = place->instance;
    decision.team = pick.work.waiting.team;
    decision.amount = next.amount;
    decision.choice = PlacementChoice{
        .instance = place->instance, .runnerUp = place->runnerUp, .reason = Reason::BestFit};
    pick.starts.emplace_back(std::move(decision), std::move(*place));
    return true;
}

bool SchedulingRound::reserveOnFleet(const ViewPlacement &place, const Resources &amount)
{
    return this->context.settings.faults.ignoreInstanceSize
        || ok(this->context.fleet.reserve(place.instance, amount));
}

void SchedulingRound::undo(Pick &pick)
{
    for (const auto &[decision, place] : pick.starts) {
        this->context.fleet.releaseReservation(decision.instance, decision.amount);
        this->context.view.release(place, decision.amount);
    }
    pick.starts.clear();
}

SpreadCounts SchedulingRound::spreadOf(const JobId &job)
{
    const std::lock_guard lock(this->spreadMutex);
    const auto [entry, added] = this->spreads.try_emplace(job);
    if (added) {
        for (const InstanceId &instance : this->context.running.instancesOf(job)) {
            this->context.view.countSpread(entry->second, instance);
        }
    }
    return entry->second;
}

void SchedulingRound::countSpread(const JobId &job, const ViewPlacement &place)
{
    const std::lock_guard lock(this->spreadMutex);
    SpreadCounts &counts = this->spreads[job];
    ++counts.perDomain[place.domain];
    ++counts.perRack[place.rack];
}

} // namespace gooseberry
