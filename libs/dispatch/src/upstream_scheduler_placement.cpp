// Task placement of an upstream scheduler, and the requests to the adviser that precede it.

#include <dispatch/upstream_scheduler.h>

#include <algorithm>
#include <unordered_map>

#include <dispatch/advice_candidates.h>
#include <dispatch/step_urgency.h>
#include <dispatch/task_placement.h>
#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/** Assumed share of allowed workers before the adviser has answered for a queue. */
constexpr double initialAllowedShare = 0.4;
/** Weight of one answer in the running mean of that share. */
constexpr double allowedShareWeight = 0.1;
constexpr double minAllowedShare = 0.05;
/** Interval at which a step that can't be placed looks for further workers to ask about. */
constexpr std::chrono::milliseconds candidateSearchPause{50};
/** Delay before a failed request to the adviser is repeated. */
constexpr std::chrono::milliseconds adviceRetryDelay{150};

} // namespace

/** A step with tasks that could start now, and the data that determines its scheduling order. */
struct UpstreamScheduler::ReadyStep
{
    WorkflowId workflowId;
    std::uint32_t occurrence = 0;
    std::uint32_t stepNumber = 0;
    LiveWorkflow *workflow = nullptr;
    LiveStep *step = nullptr;
    const StepSpec *spec = nullptr;
    std::optional<AdviserTiming> advice;
    Resources customerLimit;
    StepUrgency urgency;
};

void UpstreamScheduler::schedulePlacement(Effects &effects)
{
    if (this->placementScheduled) {
        return;
    }
    this->placementScheduled = true;
    const SteadyTime now = this->context.clock.steadyNow();
    const Duration delay
        = std::max(this->lastPlacement + this->settings.placementInterval - now, Duration::zero());
    effects.push_back([self = this->shared_from_this(), delay]() {
        self->runLater(delay, [self](Effects &later) { self->runPlacementPass(later); });
    });
}

/** State of one placement pass. */
struct UpstreamScheduler::PlacementPass
{
    /** A worker that may get tasks, and its free capacity when the pass began. */
    struct UsableWorker
    {
        UpstreamWorker *worker = nullptr;
        Resources free;
    };

    SteadyTime now;
    /** Those with the most free CPU first. */
    std::vector<UsableWorker> usableWorkers;
    std::size_t adviceSenders = 0;
    /** From this priority on, less urgent steps may not ask the adviser in this pass. */
    std::optional<std::uint32_t> adviceExhaustedFrom;
    std::unordered_map<std::uint32_t, UpstreamWorker *> workersBySlot;
    std::vector<RunAssignment> assignments;
};

UpstreamScheduler::PlacementPass UpstreamScheduler::beginPlacementPass(SteadyTime now)
{
    PlacementPass pass;
    pass.now = now;
    for (auto &[id, worker] : this->workers) {
        if (this->isUsable(worker, now)) {
            pass.usableWorkers.push_back(
                PlacementPass::UsableWorker{.worker = &worker, .free = freeCapacity(worker)});
            pass.workersBySlot.emplace(worker.slot, &worker);
        }
    }
    std::stable_sort(
        pass.usableWorkers.begin(), pass.usableWorkers.end(),
        [](const PlacementPass::UsableWorker &left, const PlacementPass::UsableWorker &right) {
            return left.free.cpu.value > right.free.cpu.value;
        });
    pass.adviceSenders = this->context.adviser.senderCount();
    return pass;
}

void UpstreamScheduler::runPlacementPass(Effects &effects)
{
    this->placementScheduled = false;
    const SteadyTime now = this->context.clock.steadyNow();
    this->lastPlacement = now;
    if (this->config == nullptr) {
        return;
    }
    std::vector<ReadyStep> waiting = this->readySteps(now);
    if (waiting.empty()) {
        return;
    }
    PlacementPass pass = this->beginPlacementPass(now);
    for (ReadyStep &readyStep : waiting) {
        if (!readyStep.advice || !readyStep.step->allowed.empty()) {
            this->placeStep(readyStep, pass);
        }
        if (readyStep.step->waiting > 0 && readyStep.advice) {
            this->requestAdvice(readyStep, pass, effects);
        }
    }
    if (!pass.assignments.empty()) {
        this->proposeAssignments(std::move(pass.assignments), effects);
    }
}

std::vector<UpstreamScheduler::ReadyStep> UpstreamScheduler::readySteps(SteadyTime now)
{
    std::vector<ReadyStep> found;
    for (auto &[id, workflow] : this->workflows) {
        if (workflow.ended) {
            continue;
        }
        const auto knownQueue = this->queueRules.find(workflow.queue);
        const QueueRule *queue
            = knownQueue == this->queueRules.end() ? nullptr : knownQueue->second;
        const auto knownCustomer = this->customerRules.find(workflow.customer.value);
        const CustomerRule *customer
            = knownCustomer == this->customerRules.end() ? nullptr : knownCustomer->second;
        for (auto &[number, occurrence] : workflow.occurrences) {
            Duration remaining{};
            for (std::size_t step = 0; step < occurrence.size(); ++step) {
                if (occurrence[step].done < occurrence[step].tasks.size()) {
                    remaining += workflow.spec->steps[step].estimate;
                }
            }
            for (std::uint32_t step = 0; step < occurrence.size(); ++step) {
                LiveStep &live = occurrence[step];
                if (!live.ready || live.waiting == 0) {
                    continue;
                }
                ReadyStep readyStep;
                readyStep.workflowId = id;
                readyStep.occurrence = number;
                readyStep.stepNumber = step;
                readyStep.workflow = &workflow;
                readyStep.step = &live;
                readyStep.spec = &workflow.spec->steps[step];
                if (queue != nullptr) {
                    readyStep.advice = queue->advice;
                    readyStep.urgency.priority = queue->priority;
                    const std::chrono::duration<double, std::milli> slack(workflow.criticalPath);
                    readyStep.urgency.objective = workflow.acceptedAt
                        + std::chrono::duration_cast<Duration>(slack * queue->slackFactor)
                        + queue->completionTarget;
                } else {
                    readyStep.urgency.objective = now;
                }
                if (customer != nullptr) {
                    readyStep.customerLimit = customer->limit;
                }
                readyStep.urgency.remaining = remaining;
                readyStep.urgency.acceptedAt = workflow.acceptedAt;
                found.push_back(readyStep);
            }
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [now](const ReadyStep &left, const ReadyStep &right) {
                         return hasPriorityOver(left.urgency, right.urgency, now);
                     });
    return found;
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
    std::map<InstanceId, std::uint32_t> tasksOfStep;
    if (spec.maxPerWorker > 0) {
        for (const LiveTask &task : readyStep.step->tasks) {
            if (task.run) {
                ++tasksOfStep[task.run->worker];
            }
        }
    }
    std::vector<PlacementCandidate> candidates;
    const auto addCandidate = [&](const UpstreamWorker &worker) {
        if (!this->isCapable(worker, spec)) {
            return;
        }
        const auto same = tasksOfStep.find(worker.record.id);
        candidates.push_back(
            PlacementCandidate{.worker = worker.slot,
                               .free = freeCapacity(worker),
                               .tasksOfStep = same == tasksOfStep.end() ? 0 : same->second,
                               .rack = worker.record.rack,
                               .penalty = static_cast<double>(worker.failuresInRow)});
    };
    if (!readyStep.advice) {
        for (const PlacementPass::UsableWorker &usable : pass.usableWorkers) {
            addCandidate(*usable.worker);
        }
        return candidates;
    }
    for (const AllowedWorker &allowed : readyStep.step->allowed) {
        const auto worker = pass.workersBySlot.find(allowed.slot);
        if (worker != pass.workersBySlot.end()
            && allowed.validUntil >= pass.now + this->settings.ticketMargin) {
            addCandidate(*worker->second);
        }
    }
    return candidates;
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
    const std::vector<std::size_t> chosen
        = chooseWorkers(TaskPlacementRequest{.size = footprint(spec),
                                             .count = static_cast<std::uint32_t>(waiting.size()),
                                             .allOrNone = spec.gang,
                                             .preferOneRack = spec.rackSensitive,
                                             .dataRack = RackId(spec.dataRack),
                                             .maxPerWorker = spec.maxPerWorker},
                        this->placementCandidates(readyStep, pass));
    const CustomerId &customer = readyStep.workflow->customer;
    if (spec.gang && !chosen.empty()) {
        const auto gangSize = multiply(spec.size, static_cast<std::uint32_t>(waiting.size()));
        if (!gangSize
            || !this->context.ledger->tryReserve(customer, *gangSize, readyStep.customerLimit)) {
            return 0;
        }
    }
    std::size_t placed = 0;
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        if (!spec.gang
            && !this->context.ledger->tryReserve(customer, spec.size, readyStep.customerLimit)) {
            break;
        }
        UpstreamWorker &worker = *pass.workersBySlot.at(static_cast<std::uint32_t>(chosen[i]));
        LiveTask &task = step.tasks[waiting[i]];
        const TaskKey key{.workflow = readyStep.workflowId,
                          .occurrence = readyStep.occurrence,
                          .step = readyStep.stepNumber,
                          .index = waiting[i]};
        LiveRun run;
        run.number = RunNumber((spec.gang ? lastGangRun : task.lastRun).value + 1);
        run.worker = worker.record.id;
        run.since = pass.now;
        const auto allowed
            = std::find_if(step.allowed.begin(), step.allowed.end(),
                           [&](const AllowedWorker &entry) { return entry.slot == worker.slot; });
        if (allowed != step.allowed.end()) {
            run.ticket = allowed->ticket;
        }
        task.lastRun = run.number;
        pass.assignments.push_back(RunAssignment{.task = key,
                                                 .run = run.number,
                                                 .worker = run.worker,
                                                 .incarnation = worker.record.incarnation,
                                                 .checkpoint = task.checkpoint});
        this->reserve(worker, key, spec, run.number);
        task.run = std::move(run);
        --step.waiting;
        ++readyStep.workflow->activeRuns;
        ++placed;
    }
    if (placed > 0) {
        this->context.observer.stepPlaced(placed, pass.now - readyStep.urgency.acceptedAt);
        const auto slack = std::chrono::duration_cast<std::chrono::milliseconds>(
            latestStart(readyStep.urgency) - pass.now);
        spdlog::info("event=placed workflow={} occurrence={} step={} tasks={} waiting={} run={} "
                     "slack={}ms config={}",
                     readyStep.workflowId.value, readyStep.occurrence, readyStep.stepNumber, placed,
                     step.waiting, pass.assignments.back().run.value, slack.count(),
                     this->config->version.value);
    }
    return placed;
}

std::vector<std::size_t> UpstreamScheduler::workersToQuery(const ReadyStep &readyStep,
                                                           const PlacementPass &pass) const
{
    const LiveStep &step = *readyStep.step;
    const StepSpec &spec = *readyStep.spec;
    const TaskPlacementRequest request{.size = footprint(spec),
                                       .count = spec.count,
                                       .allOrNone = spec.gang,
                                       .preferOneRack = false,
                                       .dataRack = {},
                                       .maxPerWorker = spec.maxPerWorker};
    std::uint64_t validCapacity = 0;
    std::uint64_t allowedCapacity = 0;
    std::vector<AdviceCandidate> expired;
    for (const AllowedWorker &allowed : step.allowed) {
        const auto worker = pass.workersBySlot.find(allowed.slot);
        const std::uint64_t taskCapacity = worker == pass.workersBySlot.end()
            ? 0
            : tasksThatFit(freeCapacity(*worker->second), request);
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
    std::vector<AdviceCandidate> notQueried;
    for (const PlacementPass::UsableWorker &usable : pass.usableWorkers) {
        if (notQueried.size() >= maxAdviceCandidates) {
            break;
        }
        if (!step.queriedSlots.contains(usable.worker->slot)
            && this->isCapable(*usable.worker, spec)) {
            notQueried.push_back(AdviceCandidate{
                .worker = usable.worker->slot, .taskCapacity = tasksThatFit(usable.free, request)});
        }
    }
    const auto share = this->allowedShare.find(readyStep.workflow->queue);
    return chooseAdviceCandidates(std::move(notQueried), wanted - allowedCapacity,
                                  share == this->allowedShare.end() ? initialAllowedShare
                                                                    : share->second);
}

void UpstreamScheduler::requestAdvice(ReadyStep &readyStep, PlacementPass &pass, Effects &effects)
{
    LiveStep &step = *readyStep.step;
    const std::uint32_t priority = advicePriority(readyStep.urgency, pass.now);
    if (step.adviceRequested || pass.now < step.nextAdviceRequestAt
        || (pass.adviceExhaustedFrom && priority >= *pass.adviceExhaustedFrom)) {
        return;
    }
    if (!mayRequestAdvice(this->adviceBacklogUpTo(priority), pass.adviceSenders)) {
        pass.adviceExhaustedFrom = priority;
        return;
    }
    AdviceRequest request{.workflow = readyStep.workflowId,
                          .occurrence = readyStep.occurrence,
                          .step = readyStep.stepNumber,
                          .workers = {},
                          .priority = priority};
    for (const std::size_t slot : this->workersToQuery(readyStep, pass)) {
        request.workers.push_back(
            pass.workersBySlot.at(static_cast<std::uint32_t>(slot))->record.id);
    }
    if (request.workers.empty()) {
        step.nextAdviceRequestAt = pass.now + candidateSearchPause;
        return;
    }
    step.adviceRequested = true;
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
    for (const InstanceId &id : request.workers) {
        const auto worker = this->workers.find(id);
        if (worker == this->workers.end()) {
            continue;
        }
        const std::uint32_t slot = worker->second.slot;
        step->queriedSlots.insert(slot);
        std::erase_if(step->allowed,
                      [slot](const AllowedWorker &known) { return known.slot == slot; });
    }
    this->updateAllowedShare(first.workflow, request.workers.size(), reply.tickets.size());
    for (const AdviceTicket &ticket : reply.tickets) {
        const auto worker = this->workers.find(ticket.worker);
        if (worker != this->workers.end()) {
            step->allowed.push_back(AllowedWorker{.slot = worker->second.slot,
                                                  .ticket = ticket.ticket,
                                                  .validUntil = now + reply.validity});
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
