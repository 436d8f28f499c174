// What goes where: the placement pass of a board, and the questions to the adviser that precede it.

#include <dispatch/upstream_board.h>

#include <algorithm>
#include <unordered_map>

#include <dispatch/advice_choice.h>
#include <dispatch/placement_choice.h>
#include <dispatch/urgency.h>
#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/** The share of workers that an adviser is taken to allow before it has answered. */
constexpr double firstAllowedShare = 0.4;
/** The weight of one answer in the running mean of that share. */
constexpr double shareWeight = 0.1;
constexpr double lowestAllowedShare = 0.05;
/** How often a step that can't be placed looks for further workers to ask about. */
constexpr std::chrono::milliseconds askPause{50};
/** How long a question that failed waits for the next try. */
constexpr std::chrono::milliseconds askRetry{150};

} // namespace

/** A step with tasks that could start now, with what its turn depends on. */
struct UpstreamBoard::Candidate
{
    WorkflowId workflow;
    std::uint32_t occurrence = 0;
    std::uint32_t number = 0;
    LiveWorkflow *live = nullptr;
    LiveStep *step = nullptr;
    const StepSpec *spec = nullptr;
    std::optional<AdviceTerms> advice;
    Resources limit;
    StepUrgency urgency;
};

void UpstreamBoard::wantPass(Effects &effects)
{
    if (this->passScheduled) {
        return;
    }
    this->passScheduled = true;
    const SteadyTime now = this->context.clock.steadyNow();
    const Duration delay
        = std::max(this->lastPass + this->settings.passPause - now, Duration::zero());
    effects.push_back([self = this->shared_from_this(), delay]() {
        self->runLater(delay, [self](Effects &later) { self->pass(later); });
    });
}

/** What one placement pass works on. */
struct UpstreamBoard::Round
{
    /** A worker that may be given tasks, and what it had left when the pass began. */
    struct OpenWorker
    {
        UpstreamWorker *worker = nullptr;
        Resources free;
    };

    SteadyTime now;
    std::vector<OpenWorker> usable;
    std::unordered_map<std::uint32_t, UpstreamWorker *> bySlot;
    std::vector<RunAssignment> runs;
};

UpstreamBoard::Round UpstreamBoard::beginRound(SteadyTime now)
{
    Round round;
    round.now = now;
    for (auto &[id, worker] : this->workers) {
        if (this->isUsable(worker, now)) {
            round.usable.push_back(Round::OpenWorker{.worker = &worker, .free = freeOf(worker)});
            round.bySlot.emplace(worker.slot, &worker);
        }
    }
    return round;
}

void UpstreamBoard::pass(Effects &effects)
{
    this->passScheduled = false;
    const SteadyTime now = this->context.clock.steadyNow();
    this->lastPass = now;
    if (this->config == nullptr) {
        return;
    }
    std::vector<Candidate> waiting = this->candidates(now);
    if (waiting.empty()) {
        return;
    }
    Round round = this->beginRound(now);
    for (Candidate &candidate : waiting) {
        this->place(candidate, round);
        if (candidate.step->waiting > 0 && candidate.advice) {
            this->ask(candidate, round, effects);
        }
    }
    if (!round.runs.empty()) {
        this->propose(std::move(round.runs), effects);
    }
}

std::vector<UpstreamBoard::Candidate> UpstreamBoard::candidates(SteadyTime now)
{
    std::vector<Candidate> found;
    for (auto &[id, workflow] : this->workflows) {
        if (workflow.ended) {
            continue;
        }
        const QueueRule *queue = findQueueByName(*this->config, workflow.queue);
        const CustomerRule *customer = findCustomer(*this->config, workflow.customer);
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
                Candidate candidate;
                candidate.workflow = id;
                candidate.occurrence = number;
                candidate.number = step;
                candidate.live = &workflow;
                candidate.step = &live;
                candidate.spec = &workflow.spec->steps[step];
                if (queue != nullptr) {
                    candidate.advice = queue->advice;
                    candidate.urgency.priority = queue->priority;
                    const std::chrono::duration<double, std::milli> slack(workflow.chain);
                    candidate.urgency.objective = workflow.acceptedAt
                        + std::chrono::duration_cast<Duration>(slack * queue->slackFactor)
                        + queue->completionTarget;
                } else {
                    candidate.urgency.objective = now;
                }
                if (customer != nullptr) {
                    candidate.limit = customer->limit;
                }
                candidate.urgency.remaining = remaining;
                candidate.urgency.acceptedAt = workflow.acceptedAt;
                found.push_back(candidate);
            }
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [now](const Candidate &left, const Candidate &right) {
                         return goesBefore(left.urgency, right.urgency, now);
                     });
    return found;
}

bool UpstreamBoard::isUsable(const UpstreamWorker &worker, SteadyTime now) const
{
    return worker.fenceRaised && worker.clock && !worker.unanswered && !worker.record.draining
        && worker.record.upstream == this->upstream && now >= worker.avoidUntil
        && now - worker.heardAt <= this->settings.silenceLimit
        && !this->evacuated.contains(worker.record.domain);
}

bool UpstreamBoard::isCapable(const UpstreamWorker &worker, const StepSpec &spec) const
{
    return (spec.requiredLabel.empty() || worker.record.labels.contains(spec.requiredLabel))
        && !firstShortage(footprint(spec), worker.record.capacity);
}

std::vector<Seat> UpstreamBoard::seatsFor(const Candidate &candidate, const Round &round) const
{
    const StepSpec &spec = *candidate.spec;
    std::map<InstanceId, std::uint32_t> sameStep;
    if (spec.maxPerWorker > 0) {
        for (const LiveTask &task : candidate.step->tasks) {
            if (task.run) {
                ++sameStep[task.run->worker];
            }
        }
    }
    std::vector<Seat> seats;
    const auto offer = [&](const UpstreamWorker &worker) {
        if (!this->isCapable(worker, spec)) {
            return;
        }
        const auto same = sameStep.find(worker.record.id);
        seats.push_back(Seat{.worker = worker.slot,
                             .free = freeOf(worker),
                             .sameStep = same == sameStep.end() ? 0 : same->second,
                             .rack = worker.record.rack,
                             .penalty = static_cast<double>(worker.failuresInRow)});
    };
    if (!candidate.advice) {
        for (const Round::OpenWorker &open : round.usable) {
            offer(*open.worker);
        }
        return seats;
    }
    for (const AllowedWorker &allowed : candidate.step->allowed) {
        const auto worker = round.bySlot.find(allowed.slot);
        if (worker != round.bySlot.end()
            && allowed.validUntil >= round.now + this->settings.ticketMargin) {
            offer(*worker->second);
        }
    }
    return seats;
}

std::size_t UpstreamBoard::place(Candidate &candidate, Round &round)
{
    const StepSpec &spec = *candidate.spec;
    LiveStep &step = *candidate.step;
    std::vector<std::uint32_t> waiting;
    // A gang's members share one number, which is new to all of them.
    RunNumber gangRun;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const LiveTask &task = step.tasks[index];
        gangRun = std::max(gangRun, task.lastRun);
        if (!task.run && !task.done && task.notBefore <= round.now) {
            waiting.push_back(index);
        }
    }
    // A gang starts as a whole, so it waits until the last run of its members has ended.
    if (waiting.empty() || (spec.gang && waiting.size() < step.tasks.size())) {
        return 0;
    }
    const std::vector<std::size_t> places
        = choosePlaces(SeatRequest{.size = footprint(spec),
                                   .count = static_cast<std::uint32_t>(waiting.size()),
                                   .together = spec.gang,
                                   .oneRack = spec.rackSensitive,
                                   .dataRack = RackId(spec.dataRack),
                                   .maxPerWorker = spec.maxPerWorker},
                       this->seatsFor(candidate, round));
    const CustomerId &customer = candidate.live->customer;
    if (spec.gang && !places.empty()) {
        const auto whole = multiply(spec.size, static_cast<std::uint32_t>(waiting.size()));
        if (!whole || !this->context.ledger->tryReserve(customer, *whole, candidate.limit)) {
            return 0;
        }
    }
    std::size_t placed = 0;
    for (std::size_t i = 0; i < places.size(); ++i) {
        if (!spec.gang && !this->context.ledger->tryReserve(customer, spec.size, candidate.limit)) {
            break;
        }
        UpstreamWorker &worker = *round.bySlot.at(static_cast<std::uint32_t>(places[i]));
        LiveTask &task = step.tasks[waiting[i]];
        const TaskKey key{.workflow = candidate.workflow,
                          .occurrence = candidate.occurrence,
                          .step = candidate.number,
                          .index = waiting[i]};
        LiveRun run;
        run.number = RunNumber((spec.gang ? gangRun : task.lastRun).value + 1);
        run.worker = worker.record.id;
        run.since = round.now;
        const auto allowed
            = std::find_if(step.allowed.begin(), step.allowed.end(),
                           [&](const AllowedWorker &entry) { return entry.slot == worker.slot; });
        if (allowed != step.allowed.end()) {
            run.ticket = allowed->ticket;
        }
        task.lastRun = run.number;
        round.runs.push_back(RunAssignment{.task = key,
                                           .run = run.number,
                                           .worker = run.worker,
                                           .life = worker.record.life,
                                           .checkpoint = task.checkpoint});
        this->reserve(worker, key, spec, run.number);
        task.run = std::move(run);
        --step.waiting;
        ++candidate.live->activeRuns;
        ++placed;
    }
    if (placed > 0) {
        this->context.observer.stepPlaced(placed, round.now - candidate.urgency.acceptedAt);
        const auto slack = std::chrono::duration_cast<std::chrono::milliseconds>(
            latestStart(candidate.urgency) - round.now);
        spdlog::info("event=placed workflow={} occurrence={} step={} tasks={} waiting={} run={} "
                     "slack={}ms config={}",
                     candidate.workflow.value, candidate.occurrence, candidate.number, placed,
                     step.waiting, round.runs.back().run.value, slack.count(),
                     this->config->version.value);
    }
    return placed;
}

std::vector<std::size_t> UpstreamBoard::workersToAsk(const Candidate &candidate,
                                                     const Round &round) const
{
    const LiveStep &step = *candidate.step;
    const StepSpec &spec = *candidate.spec;
    const SeatRequest one{.size = footprint(spec),
                          .count = spec.count,
                          .together = spec.gang,
                          .oneRack = false,
                          .dataRack = {},
                          .maxPerWorker = spec.maxPerWorker};
    std::uint64_t seatsHeld = 0;
    std::uint64_t seatsAllowed = 0;
    std::vector<SeatsOfWorker> expired;
    for (const AllowedWorker &allowed : step.allowed) {
        const auto worker = round.bySlot.find(allowed.slot);
        const std::uint64_t seats
            = worker == round.bySlot.end() ? 0 : tasksThatFit(freeOf(*worker->second), one);
        seatsAllowed += seats;
        if (allowed.validUntil >= round.now + this->settings.ticketMargin) {
            seatsHeld += seats;
        } else if (seats > 0) {
            expired.push_back(SeatsOfWorker{.worker = allowed.slot, .seats = seats});
        }
    }
    const std::uint64_t wanted = spec.gang ? spec.count : step.waiting;
    if (seatsHeld < wanted && !expired.empty() && (!spec.gang || seatsAllowed >= wanted)) {
        // Enough room on workers that are known to be allowed: only their tickets are renewed.
        return workersForSeats(std::move(expired), wanted - seatsHeld, 1.0);
    }
    if (seatsAllowed >= wanted) {
        return {};
    }
    std::vector<SeatsOfWorker> unknown;
    unknown.reserve(round.usable.size());
    for (const Round::OpenWorker &open : round.usable) {
        if (!step.asked.contains(open.worker->slot) && this->isCapable(*open.worker, spec)) {
            unknown.push_back(
                SeatsOfWorker{.worker = open.worker->slot, .seats = tasksThatFit(open.free, one)});
        }
    }
    const auto share = this->allowedShare.find(candidate.live->queue);
    return workersForSeats(std::move(unknown), wanted - seatsAllowed,
                           share == this->allowedShare.end() ? firstAllowedShare : share->second);
}

void UpstreamBoard::ask(Candidate &candidate, const Round &round, Effects &effects)
{
    LiveStep &step = *candidate.step;
    if (step.asking || round.now < step.askAgainAt) {
        return;
    }
    AdviceRequest request{.workflow = candidate.workflow,
                          .occurrence = candidate.occurrence,
                          .step = candidate.number,
                          .workers = {},
                          .priority = candidate.urgency.priority};
    for (const std::size_t slot : this->workersToAsk(candidate, round)) {
        request.workers.push_back(round.bySlot.at(static_cast<std::uint32_t>(slot))->record.id);
    }
    if (request.workers.empty()) {
        step.askAgainAt = round.now + askPause;
        return;
    }
    step.asking = true;
    ++this->openQuestions;
    const std::chrono::microseconds cost = candidate.advice->decision
        + candidate.advice->perWorker * static_cast<std::int64_t>(request.workers.size());
    effects.push_back([self = this->shared_from_this(), request, cost, asked = round.now]() {
        self->context.adviser.advise(
            request, cost, [self, request, asked](const Result<AdviceReply> &result) {
                self->context.observer.adviceAnswered(ok(result),
                                                      self->context.clock.steadyNow() - asked);
                self->enter([&](Effects &later) { self->onAdvice(request, result, later); });
            });
    });
}

void UpstreamBoard::onAdvice(const AdviceRequest &request, const Result<AdviceReply> &result,
                             Effects &effects)
{
    this->openQuestions -= std::min<std::size_t>(this->openQuestions, 1);
    LiveStep *step = nullptr;
    const TaskKey first{.workflow = request.workflow,
                        .occurrence = request.occurrence,
                        .step = request.step,
                        .index = 0};
    if (this->findTask(first, nullptr, &step) == nullptr) {
        return;
    }
    step->asking = false;
    const SteadyTime now = this->context.clock.steadyNow();
    if (!ok(result)) {
        spdlog::info("event=advice-failed workflow={} step={} {}", request.workflow.value,
                     request.step, describe(errorOf(result)));
        step->askAgainAt = now + askRetry;
        return;
    }
    const AdviceReply &reply = valueOf(result);
    for (const InstanceId &id : request.workers) {
        const auto worker = this->workers.find(id);
        if (worker == this->workers.end()) {
            continue;
        }
        const std::uint32_t slot = worker->second.slot;
        step->asked.insert(slot);
        std::erase_if(step->allowed,
                      [slot](const AllowedWorker &known) { return known.slot == slot; });
    }
    this->noteAllowedShare(first.workflow, request.workers.size(), reply.tickets.size());
    for (const AdviceTicket &ticket : reply.tickets) {
        const auto worker = this->workers.find(ticket.worker);
        if (worker != this->workers.end()) {
            step->allowed.push_back(AllowedWorker{.slot = worker->second.slot,
                                                  .ticket = ticket.ticket,
                                                  .validUntil = now + reply.validity});
        }
    }
    this->wantPass(effects);
}

void UpstreamBoard::noteAllowedShare(const WorkflowId &id, std::size_t asked, std::size_t allowed)
{
    const auto workflow = this->workflows.find(id);
    if (workflow == this->workflows.end() || asked == 0) {
        return;
    }
    const double seen = static_cast<double>(allowed) / static_cast<double>(asked);
    double &share
        = this->allowedShare.try_emplace(workflow->second.queue, firstAllowedShare).first->second;
    share = std::max(lowestAllowedShare, share + shareWeight * (seen - share));
}

} // namespace gooseberry
