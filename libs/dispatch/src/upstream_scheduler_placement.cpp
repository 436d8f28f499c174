// Task placement of an upstream scheduler, and the requests to the adviser that precede it.

#include <dispatch/upstream_scheduler.h>

#include <algorithm>
#include <unordered_set>

#include <dispatch/advice_candidates.h>
#include <dispatch/step_urgency.h>
#include <dispatch/task_placement.h>
#include <spdlog/spdlog.h>

#include "step_tasks.h"

namespace gooseberry {

namespace {

/** Assumed share of allowed workers before the adviser has answered for a queue. */
constexpr double initialAllowedShare = 0.4;
/** Weight of one answer in the running mean of that share. */
constexpr double allowedShareWeight = 0.1;
constexpr double minAllowedShare = 0.05;
/** Workers with a free CPU of at least the most one over this are equally good candidates. */
constexpr std::int64_t roomyShare = 2;
/** Delay before a failed request to the adviser is repeated. */
constexpr std::chrono::milliseconds adviceRetryDelay{150};

} // namespace

/** A step with tasks that could start now, and the data that determines its scheduling order. */
struct UpstreamScheduler::ReadyStep
{
    std::uint32_t occurrence = 0;
    std::uint32_t stepNumber = 0;
    LiveWorkflow *workflow = nullptr;
    LiveStep *step = nullptr;
    const StepSpec *spec = nullptr;
    const AdviserTiming *advice = nullptr;
    StepUrgency urgency;
    SchedulingRank rank;

    bool isLate() const
    {
        return this->rank.group > 0;
    }
};

void UpstreamScheduler::schedulePlacement(Effects &effects)
{
    if (this->placementScheduled) {
        return;
    }
    this->placementScheduled = true;
    const SteadyTime now = this->context.clock.steadyNow();
    this->placementDueAt = std::max(this->lastPlacement + this->settings.placementInterval, now);
    const Duration delay = this->placementDueAt - now;
    effects.push_back([self = this->shared_from_this(), delay]() {
        self->runLater(delay, [self](Effects &later) { self->runPlacementPass(later); });
    });
}

/** A worker that may get tasks, and its free capacity; without a worker if it may not. */
struct UpstreamScheduler::UsableWorker
{
    UpstreamWorker *worker = nullptr;
    Resources free;
    RoomVersion roomGained = 0;
};

/** State of one placement pass. */
struct UpstreamScheduler::PlacementPass
{
    SteadyTime now;
    /** The slots of the usable workers. */
    std::vector<std::uint32_t> usableSlots;
    /** The usable slots are sorted, those with the most free CPU first. */
    bool sorted = false;
    /** As many of the first sorted slots have much of the free CPU of the very first. */
    std::size_t roomySlots = 0;
    std::size_t adviceSenders = 0;
    /** From this priority on, less urgent steps may not ask the adviser in this pass. */
    std::optional<std::uint32_t> adviceExhaustedFrom;
    /** By slot, so that a step's many candidates cost no search. */
    std::vector<UsableWorker> workersBySlot;
    std::size_t attempts = 0;
    /** Tasks of late steps that may still be placed in this pass. */
    std::size_t lateTasksLeft = 0;
    /**
     * Tasks of late steps for which the adviser may still be asked in this pass. Tickets expire, so
     * those of steps that have to wait for their turn would have to be renewed again and again.
     */
    std::size_t lateAdviceLeft = 0;
    std::vector<RunAssignment> assignments;

    /** Returns the worker of the slot, or null if it is not usable. */
    const UsableWorker *usableWorker(std::uint32_t slot) const
    {
        return slot < this->workersBySlot.size() && this->workersBySlot[slot].worker != nullptr
            ? &this->workersBySlot[slot]
            : nullptr;
    }
};

UpstreamScheduler::PlacementPass UpstreamScheduler::beginPlacementPass(SteadyTime now)
{
    PlacementPass pass;
    pass.now = now;
    pass.usableSlots.reserve(this->workers.size());
    pass.workersBySlot.resize(this->lastSlotNumber + std::size_t{1});
    for (auto &[id, worker] : this->workers) {
        const bool usable = this->isUsable(worker, now);
        if (usable && !worker.wasUsable) {
            this->recordRoomGained(worker);
        }
        worker.wasUsable = usable;
        if (usable) {
            pass.usableSlots.push_back(worker.slot);
            pass.workersBySlot[worker.slot] = UsableWorker{
                .worker = &worker, .free = freeCapacity(worker), .roomGained = worker.roomGained};
        }
    }
    pass.adviceSenders = this->context.adviser.senderCount();
    pass.lateTasksLeft = lateTaskBudget(this->lateness);
    pass.lateAdviceLeft = pass.lateTasksLeft;
    return pass;
}

void UpstreamScheduler::runPlacementPass(Effects &effects)
{
    this->placementScheduled = false;
    const SteadyTime now = this->context.clock.steadyNow();
    this->lastPlacement = now;
    const Duration delayed = std::max(now - this->placementDueAt, Duration::zero());
    this->lateness = smoothLateness(this->lateness, delayed);
    this->activity.maxLateness = std::max(this->activity.maxLateness, delayed);
    this->context.observer.placementPassBegan(delayed);
    if (this->rules == nullptr || this->workflows.empty()) {
        return;
    }
    PlacementPass pass = this->beginPlacementPass(now);
    std::vector<ReadyStep> waiting = this->readySteps(pass);
    if (waiting.empty()) {
        return;
    }
    for (ReadyStep &readyStep : waiting) {
        // Only late steps follow a late one.
        if (readyStep.isLate() && pass.lateTasksLeft == 0 && pass.lateAdviceLeft == 0) {
            break;
        }
        this->visitStep(readyStep, pass, effects);
    }
    if (pass.lateTasksLeft == 0 || pass.lateAdviceLeft == 0) {
        // The late steps that were passed over need another pass, with or without new events.
        this->schedulePlacement(effects);
    }
    const Duration elapsed = this->context.clock.steadyNow() - now;
    this->context.observer.placementPassEnded(pass.attempts, elapsed);
    ++this->activity.passes;
    this->activity.passTime += elapsed;
    if (!pass.assignments.empty()) {
        this->proposeAssignments(std::move(pass.assignments), effects);
    }
}

void UpstreamScheduler::visitStep(ReadyStep &readyStep, PlacementPass &pass, Effects &effects)
{
    LiveStep &step = *readyStep.step;
    const bool late = readyStep.isLate();
    const RoomVersion newestRoom
        = readyStep.advice == nullptr ? this->lastRoomGain : this->newestRoom(step, pass);
    if ((readyStep.advice == nullptr || !step.allowed.empty()) && (!late || pass.lateTasksLeft > 0)
        && mayFindRoom(step.lastFailedPlacement, newestRoom)) {
        const std::size_t placed = this->placeStep(readyStep, pass);
        pass.lateTasksLeft -= late ? std::min(pass.lateTasksLeft, placed) : 0;
        this->activity.placedTasks += placed;
        this->activity.placedLateTasks += late ? placed : 0;
    }
    if (step.waiting > 0 && readyStep.advice != nullptr && (!late || pass.lateAdviceLeft > 0)
        && maySearchCandidates(step.lastEmptySearch, newestRoom, pass.now)
        && this->requestAdvice(readyStep, pass, effects)) {
        pass.lateAdviceLeft
            -= late ? std::min(pass.lateAdviceLeft, lateAdviceCost(step.waiting)) : 0;
    }
}

std::vector<UpstreamScheduler::ReadyStep> UpstreamScheduler::readySteps(const PlacementPass &pass)
{
    std::vector<ReadyStep> found;
    for (auto &[id, workflow] : this->workflows) {
        if (workflow.ended) {
            continue;
        }
        for (auto &[number, occurrence] : workflow.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.size(); ++step) {
                if (occurrence[step].ready && occurrence[step].waiting > 0) {
                    this->addReadyStep(workflow, number, step, pass, found);
                }
            }
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const ReadyStep &left, const ReadyStep &right) {
        return left.rank < right.rank;
    });
    return found;
}

void UpstreamScheduler::addReadyStep(LiveWorkflow &workflow, std::uint32_t occurrence,
                                     std::uint32_t stepNumber, const PlacementPass &pass,
                                     std::vector<ReadyStep> &steps) const
{
    LiveOccurrence &liveSteps = workflow.occurrences.at(occurrence);
    LiveStep &step = liveSteps[stepNumber];
    const QueueRule *queue = workflow.queueRule;
    ReadyStep readyStep;
    readyStep.advice = queue != nullptr && queue->advice ? &*queue->advice : nullptr;
    const bool mayAsk = !step.adviceRequested && pass.now >= step.nextAdviceRequestAt;
    if (readyStep.advice != nullptr && step.allowed.empty() && !mayAsk) {
        return;
    }
    readyStep.occurrence = occurrence;
    readyStep.stepNumber = stepNumber;
    readyStep.workflow = &workflow;
    readyStep.step = &step;
    readyStep.spec = &workflow.spec->steps[stepNumber];
    readyStep.urgency.objective = pass.now;
    if (queue != nullptr) {
        readyStep.urgency.priority = queue->priority;
        const std::chrono::duration<double, std::milli> slack(workflow.criticalPath);
        readyStep.urgency.objective = workflow.acceptedAt
            + std::chrono::duration_cast<Duration>(slack * queue->slackFactor)
            + queue->completionTarget;
    }
    for (std::size_t number = 0; number < liveSteps.size(); ++number) {
        if (liveSteps[number].done < liveSteps[number].tasks.size()) {
            readyStep.urgency.remaining += workflow.spec->steps[number].estimate;
        }
    }
    readyStep.urgency.acceptedAt = workflow.acceptedAt;
    readyStep.rank = schedulingRank(readyStep.urgency, pass.now);
    steps.push_back(readyStep);
}

RoomVersion UpstreamScheduler::newestRoom(const LiveStep &step, const PlacementPass &pass) const
{
    RoomVersion newest = 0;
    for (const AllowedWorker &allowed : step.allowed) {
        if (const auto *usable = pass.usableWorker(allowed.slot)) {
            newest = std::max(newest, usable->roomGained);
        }
    }
    return newest;
}

bool UpstreamScheduler::isUsable(const UpstreamWorker &worker, SteadyTime now) const
{
    return worker.fenceConfirmed && worker.clock && !worker.lastRenewalFailed
        && !worker.record.draining && worker.record.upstream == this->upstream
        && now >= worker.avoidUntil && now - worker.lastContact <= this->settings.heartbeatTimeout
        && !this->evacuatedDomains.contains(worker.record.domain);
}

bool UpstreamScheduler::isCapable(const UpstreamWorker &worker, const StepSpec &spec) const
{
    return (spec.requiredLabel.empty() || worker.record.labels.contains(spec.requiredLabel))
        && !firstShortage(footprint(spec), worker.record.capacity);
}

std::vector<PlacementCandidate>
UpstreamScheduler::placementCandidates(const ReadyStep &readyStep, const PlacementPass &pass) const
{
    const StepSpec &spec = *readyStep.spec;
    const StepTasks tasksOfStep(*readyStep.step, spec);
    std::vector<PlacementCandidate> candidates;
    this->visitPlaces(readyStep, pass, [&](std::uint32_t slot, const Resources &free) {
        const UpstreamWorker &worker = *pass.workersBySlot[slot].worker;
        if (this->isCapable(worker, spec)) {
            candidates.push_back(
                PlacementCandidate{.worker = slot,
                                   .free = free,
                                   .tasksOfStep = tasksOfStep.on(worker),
                                   .rack = worker.record.rack,
                                   .penalty = static_cast<double>(worker.failuresInRow)});
        }
        return true;
    });
    return candidates;
}

template<typename Visitor>
void UpstreamScheduler::visitPlaces(const ReadyStep &readyStep, const PlacementPass &pass,
                                    const Visitor &visit) const
{
    if (readyStep.advice == nullptr) {
        for (const std::uint32_t slot : pass.usableSlots) {
            if (!visit(slot, pass.workersBySlot[slot].free)) {
                return;
            }
        }
        return;
    }
    for (const AllowedWorker &allowed : readyStep.step->allowed) {
        const auto *usable = pass.usableWorker(allowed.slot);
        if (usable != nullptr && allowed.validUntil >= pass.now + this->settings.ticketMargin
            && !visit(allowed.slot, usable->free)) {
            return;
        }
    }
}

bool UpstreamScheduler::hasRoom(const ReadyStep &readyStep, std::uint32_t count,
                                const PlacementPass &pass) const
{
    const StepSpec &spec = *readyStep.spec;
    const TaskPlacementRequest request{.size = footprint(spec),
                                       .count = count,
                                       .allOrNone = spec.gang,
                                       .preferOneRack = false,
                                       .dataRack = {},
                                       .maxPerWorker = spec.maxPerWorker};
    const StepTasks tasksOfStep(*readyStep.step, spec);
    std::uint64_t missing = spec.gang ? count : 1;
    this->visitPlaces(readyStep, pass, [&](std::uint32_t slot, const Resources &free) {
        const UpstreamWorker &worker = *pass.workersBySlot[slot].worker;
        missing -= std::min<std::uint64_t>(missing, tasksOfStep.thatFit(worker, free, request));
        return missing > 0;
    });
    return missing == 0;
}

std::size_t UpstreamScheduler::placeStep(ReadyStep &readyStep, PlacementPass &pass)
{
    const StepSpec &spec = *readyStep.spec;
    LiveStep &step = *readyStep.step;
    std::vector<std::uint32_t> waiting;
    // All members of a gang share one run number, which must be new to each of them.
    RunNumber lastGangRun;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const LiveTask &task = step.tasks[index];
        lastGangRun = std::max(lastGangRun, task.lastRun);
        if (!task.run && !task.done && task.notBefore <= pass.now) {
            waiting.push_back(index);
        }
    }
    // All members of a gang start together, so the gang waits until the last run of each has ended.
    if (waiting.empty() || (spec.gang && waiting.size() < step.tasks.size())) {
        return 0;
    }
    const auto count = static_cast<std::uint32_t>(waiting.size());
    const CustomerId &customer = readyStep.workflow->customer;
    const Resources limit = readyStep.workflow->customerRule == nullptr
        ? Resources{}
        : readyStep.workflow->customerRule->limit;
    const std::optional<Resources> least = spec.gang ? multiply(spec.size, count) : spec.size;
    if (!least || !this->context.ledger->fits(customer, *least, limit)) {
        return 0;
    }
    if (!this->hasRoom(readyStep, count, pass)) {
        // Tasks whose retry is not due yet need another attempt then, with or without new room.
        if (step.waiting == count) {
            step.lastFailedPlacement = this->lastRoomGain;
        }
        return 0;
    }
    ++pass.attempts;
    const std::vector<std::size_t> chosen
        = chooseWorkers(TaskPlacementRequest{.size = footprint(spec),
                                             .count = count,
                                             .allOrNone = spec.gang,
                                             .preferOneRack = spec.rackSensitive,
                                             .dataRack = RackId(spec.dataRack),
                                             .maxPerWorker = spec.maxPerWorker},
                        this->placementCandidates(readyStep, pass));
    if (spec.gang && !chosen.empty()
        && !this->context.ledger->tryReserve(customer, *least, limit)) {
        return 0;
    }
    std::size_t placed = 0;
    for (; placed < chosen.size(); ++placed) {
        if (!spec.gang && !this->context.ledger->tryReserve(customer, spec.size, limit)) {
            break;
        }
        const std::uint32_t index = waiting[placed];
        const RunNumber last = spec.gang ? lastGangRun : step.tasks[index].lastRun;
        this->assignTask(readyStep, index, RunNumber(last.value + 1),
                         pass.workersBySlot.at(chosen[placed]), pass);
    }
    if (placed == chosen.size() && placed < count && step.waiting == count - placed) {
        step.lastFailedPlacement = this->lastRoomGain;
    }
    if (placed > 0) {
        this->logPlacement(readyStep, placed, pass.assignments.back().run, pass.now);
    }
    return placed;
}

void UpstreamScheduler::assignTask(ReadyStep &readyStep, std::uint32_t index, RunNumber run,
                                   UsableWorker &usable, PlacementPass &pass)
{
    UpstreamWorker &worker = *usable.worker;
    LiveStep &step = *readyStep.step;
    LiveTask &task = step.tasks[index];
    const TaskKey key{.workflow = readyStep.workflow->id,
                      .occurrence = readyStep.occurrence,
                      .step = readyStep.stepNumber,
                      .index = index};
    LiveRun live;
    live.number = run;
    live.worker = worker.record.id;
    live.incarnation = worker.record.incarnation;
    live.since = pass.now;
    const auto allowed
        = std::find_if(step.allowed.begin(), step.allowed.end(),
                       [&](const AllowedWorker &entry) { return entry.slot == worker.slot; });
    if (allowed != step.allowed.end()) {
        live.ticket = allowed->ticket;
        live.ticketExpiresBy = allowed->expiresBy;
        live.ticketUsableUntil = allowed->validUntil - this->settings.ticketMargin;
    }
    task.lastRun = run;
    pass.assignments.push_back(RunAssignment{.task = key,
                                             .run = run,
                                             .worker = live.worker,
                                             .incarnation = worker.record.incarnation,
                                             .checkpoint = task.checkpoint});
    this->reserve(worker, key, *readyStep.spec, run);
    usable.free = freeCapacity(worker);
    task.run = std::move(live);
    --step.waiting;
    ++readyStep.workflow->activeRuns;
}

void UpstreamScheduler::logPlacement(const ReadyStep &readyStep, std::size_t placed, RunNumber run,
                                     SteadyTime now) const
{
    this->context.observer.stepPlaced(placed, now - readyStep.urgency.acceptedAt);
    const auto slack = std::chrono::duration_cast<std::chrono::milliseconds>(
        latestStart(readyStep.urgency) - now);
    spdlog::info("event=placed workflow={} occurrence={} step={} tasks={} waiting={} run={} "
                 "slack={}ms config={}",
                 readyStep.workflow->id.value, readyStep.occurrence, readyStep.stepNumber, placed,
                 readyStep.step->waiting, run.value, slack.count(),
                 this->rules->config->version.value);
}

void UpstreamScheduler::sortByFreeCpu(PlacementPass &pass)
{
    if (pass.sorted) {
        return;
    }
    std::stable_sort(pass.usableSlots.begin(), pass.usableSlots.end(),
                     [&pass](std::uint32_t left, std::uint32_t right) {
                         return pass.workersBySlot[left].free.cpu.value
                             > pass.workersBySlot[right].free.cpu.value;
                     });
    const std::int64_t most = pass.usableSlots.empty()
        ? 0
        : pass.workersBySlot[pass.usableSlots.front()].free.cpu.value;
    const auto firstFuller = std::partition_point(
        pass.usableSlots.begin(), pass.usableSlots.end(), [&pass, most](std::uint32_t slot) {
            return pass.workersBySlot[slot].free.cpu.value * roomyShare >= most;
        });
    pass.roomySlots = static_cast<std::size_t>(firstFuller - pass.usableSlots.begin());
    pass.sorted = true;
}

std::vector<std::size_t> UpstreamScheduler::workersToQuery(const ReadyStep &readyStep,
                                                           PlacementPass &pass)
{
    const LiveStep &step = *readyStep.step;
    const StepSpec &spec = *readyStep.spec;
    const TaskPlacementRequest request{.size = footprint(spec),
                                       .count = spec.count,
                                       .allOrNone = spec.gang,
                                       .preferOneRack = false,
                                       .dataRack = {},
                                       .maxPerWorker = spec.maxPerWorker};
    const StepTasks tasksOfStep(step, spec);
    std::uint64_t validCapacity = 0;
    std::uint64_t allowedCapacity = 0;
    std::vector<AdviceCandidate> expired;
    for (const AllowedWorker &allowed : step.allowed) {
        const auto *usable = pass.usableWorker(allowed.slot);
        const std::uint64_t taskCapacity
            = usable == nullptr ? 0 : tasksOfStep.thatFit(*usable->worker, usable->free, request);
        allowedCapacity += taskCapacity;
        if (allowed.validUntil >= pass.now + this->settings.ticketMargin) {
            validCapacity += taskCapacity;
        } else if (taskCapacity > 0) {
            expired.push_back(
                AdviceCandidate{.worker = allowed.slot, .taskCapacity = taskCapacity});
        }
    }
    const std::uint64_t wanted = spec.gang ? spec.count : step.waiting;
    if (validCapacity < wanted && !expired.empty() && (!spec.gang || allowedCapacity >= wanted)) {
        // Allowed workers have free capacity but their tickets have expired, so only these are
        // renewed.
        return chooseAdviceCandidates(std::move(expired), wanted - validCapacity, 1.0);
    }
    if (allowedCapacity >= wanted) {
        return {};
    }
    this->sortByFreeCpu(pass);
    std::vector<AdviceCandidate> notQueried;
    for (std::size_t number = 0;
         number < pass.usableSlots.size() && notQueried.size() < maxAdviceCandidates; ++number) {
        // Steps that ask at the same time begin at different workers, since they would find the
        // room of the same few ones taken by each other and ask again.
        const std::size_t position
            = number < pass.roomySlots ? (this->firstCandidate + number) % pass.roomySlots : number;
        const std::uint32_t slot = pass.usableSlots[position];
        const UsableWorker &usable = pass.workersBySlot[slot];
        if (!step.queriedSlots.contains(slot) && this->isCapable(*usable.worker, spec)) {
            notQueried.push_back(AdviceCandidate{
                .worker = slot,
                .taskCapacity = tasksOfStep.thatFit(*usable.worker, usable.free, request)});
        }
    }
    const auto share = this->allowedShare.find(readyStep.workflow->queue);
    std::vector<std::size_t> chosen = chooseAdviceCandidates(
        std::move(notQueried), wanted - allowedCapacity,
        share == this->allowedShare.end() ? initialAllowedShare : share->second);
    this->firstCandidate += chosen.size();
    return chosen;
}

bool UpstreamScheduler::requestAdvice(ReadyStep &readyStep, PlacementPass &pass, Effects &effects)
{
    LiveStep &step = *readyStep.step;
    const std::uint32_t priority = advicePriority(readyStep.urgency, pass.now);
    if (step.adviceRequested || pass.now < step.nextAdviceRequestAt
        || (pass.adviceExhaustedFrom && priority >= *pass.adviceExhaustedFrom)) {
        return false;
    }
    if (!mayRequestAdvice(this->adviceBacklogUpTo(priority), pass.adviceSenders)) {
        pass.adviceExhaustedFrom = priority;
        return false;
    }
    AdviceRequest request{.workflow = readyStep.workflow->id,
                          .occurrence = readyStep.occurrence,
                          .step = readyStep.stepNumber,
                          .workers = {},
                          .priority = priority};
    for (const std::size_t slot : this->workersToQuery(readyStep, pass)) {
        request.workers.push_back(pass.workersBySlot.at(slot).worker->record.id);
    }
    if (request.workers.empty()) {
        step.lastEmptySearch = CandidateSearch{.at = pass.now, .room = this->lastRoomGain};
        return false;
    }
    step.lastEmptySearch.reset();
    step.adviceRequested = true;
    ++this->activity.adviceRequests;
    const std::chrono::microseconds cost = readyStep.advice->decision
        + readyStep.advice->timePerWorker * static_cast<std::int64_t>(request.workers.size());
    AdviceBacklog &backlog = this->adviceBacklog[priority];
    ++backlog.requests;
    backlog.cost += cost;
    effects.push_back([self = this->shared_from_this(), request, cost, sentAt = pass.now]() {
        self->context.adviser.advise(
            request, cost, [self, request, cost, sentAt](const Result<AdviceReply> &result) {
                self->context.observer.adviceAnswered(ok(result),
                                                      self->context.clock.steadyNow() - sentAt);
                self->runLocked(
                    [&](Effects &later) { self->onAdviceReply(request, cost, result, later); });
            });
    });
    return true;
}

AdviceBacklog UpstreamScheduler::adviceBacklogUpTo(std::uint32_t priority) const
{
    AdviceBacklog sum;
    for (const auto &[number, backlog] : this->adviceBacklog) {
        if (number <= priority) {
            sum.requests += backlog.requests;
            sum.cost += backlog.cost;
        }
    }
    return sum;
}

void UpstreamScheduler::onAdviceReply(const AdviceRequest &request, std::chrono::microseconds cost,
                                      const Result<AdviceReply> &result, Effects &effects)
{
    AdviceBacklog &backlog = this->adviceBacklog[request.priority];
    backlog.requests -= std::min<std::size_t>(backlog.requests, 1);
    backlog.cost -= std::min(backlog.cost, cost);
    LiveStep *step = nullptr;
    const TaskKey first{.workflow = request.workflow,
                        .occurrence = request.occurrence,
                        .step = request.step,
                        .index = 0};
    if (this->findTask(first, nullptr, &step) == nullptr) {
        return;
    }
    step->adviceRequested = false;
    const SteadyTime now = this->context.clock.steadyNow();
    if (!ok(result)) {
        spdlog::info("event=advice-failed workflow={} step={} {}", request.workflow.value,
                     request.step, describe(errorOf(result)));
        step->nextAdviceRequestAt = now + adviceRetryDelay;
        return;
    }
    const AdviceReply &reply = valueOf(result);
    step->lastFailedPlacement.reset();
    std::unordered_set<std::uint32_t> answered;
    for (const InstanceId &id : request.workers) {
        const auto worker = this->workers.find(id);
        if (worker != this->workers.end()) {
            answered.insert(worker->second.slot);
        }
    }
    step->queriedSlots.insert(answered.begin(), answered.end());
    std::erase_if(step->allowed,
                  [&](const AllowedWorker &known) { return answered.contains(known.slot); });
    this->updateAllowedShare(first.workflow, request.workers.size(), reply.tickets.size());
    for (const AdviceTicket &ticket : reply.tickets) {
        const auto worker = this->workers.find(ticket.worker);
        if (worker != this->workers.end()) {
            step->allowed.push_back(
                AllowedWorker{.slot = worker->second.slot,
                              .ticket = ticket.ticket,
                              .validUntil = now + reply.validity,
                              .expiresBy = latestExpiryOf(reply.validity, now)});
        }
    }
    this->schedulePlacement(effects);
}

void UpstreamScheduler::updateAllowedShare(const WorkflowId &id, std::size_t queried,
                                           std::size_t allowed)
{
    const auto workflow = this->workflows.find(id);
    if (workflow == this->workflows.end() || queried == 0) {
        return;
    }
    const double observed = static_cast<double>(allowed) / static_cast<double>(queried);
    double &share
        = this->allowedShare.try_emplace(workflow->second.queue, initialAllowedShare).first->second;
    share = std::max(minAllowedShare, share + allowedShareWeight * (observed - share));
}

} // namespace gooseberry
