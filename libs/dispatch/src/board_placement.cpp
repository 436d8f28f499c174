// What goes where: the placement pass of a board, and the questions to the adviser that precede it.

#include <dispatch/upstream_board.h>

#include <algorithm>

#include <dispatch/placement_choice.h>
#include <dispatch/urgency.h>
#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/** The most workers that one question may name. */
constexpr std::size_t maxAskedWorkers = 100;
/** Workers that are asked about for each task of a step that does not start together. */
constexpr std::size_t askedPerTask = 4;
constexpr std::size_t minAskedWorkers = 10;
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

void UpstreamBoard::pass(Effects &effects)
{
    this->passScheduled = false;
    const SteadyTime now = this->context.clock.steadyNow();
    this->lastPass = now;
    if (this->config == nullptr) {
        return;
    }
    std::vector<RunAssignment> runs;
    for (Candidate &candidate : this->candidates(now)) {
        this->place(candidate, runs, now);
        if (candidate.step->waiting > 0 && candidate.advice) {
            this->ask(candidate, now, effects);
        }
    }
    if (!runs.empty()) {
        this->propose(std::move(runs), effects);
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
        const auto chain = longestChain(*workflow.spec);
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
                    const std::chrono::duration<double, std::milli> slack(chain);
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
    return worker.fenceRaised && worker.clock && !worker.record.draining
        && worker.record.upstream == this->upstream && now >= worker.avoidUntil
        && now - worker.heardAt <= this->settings.silenceLimit
        && !this->evacuated.contains(worker.record.domain);
}

bool UpstreamBoard::isCapable(const UpstreamWorker &worker, const StepSpec &spec) const
{
    return (spec.requiredLabel.empty() || worker.record.labels.contains(spec.requiredLabel))
        && !firstShortage(footprint(spec), worker.record.capacity);
}

std::size_t UpstreamBoard::place(Candidate &candidate, std::vector<RunAssignment> &runs,
                                 SteadyTime now)
{
    const StepSpec &spec = *candidate.spec;
    LiveStep &step = *candidate.step;
    std::vector<std::uint32_t> waiting;
    std::map<InstanceId, std::uint32_t> perWorker;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const LiveTask &task = step.tasks[index];
        if (task.run) {
            ++perWorker[task.run->worker];
        } else if (!task.done && task.notBefore <= now) {
            waiting.push_back(index);
        }
    }
    // A gang starts as a whole, so it waits until the last run of its members has ended.
    if (waiting.empty() || (spec.gang && waiting.size() < step.tasks.size())) {
        return 0;
    }
    std::vector<Seat> seats;
    std::vector<UpstreamWorker *> seated;
    for (auto &[id, worker] : this->workers) {
        if (!this->isUsable(worker, now) || !this->isCapable(worker, spec)) {
            continue;
        }
        if (candidate.advice) {
            const auto advised = step.eligibility.find(id);
            if (advised == step.eligibility.end() || !advised->second.allowed
                || advised->second.life != worker.record.life
                || advised->second.validUntil < now + this->settings.ticketMargin) {
                continue;
            }
        }
        seats.push_back(Seat{.worker = seated.size(),
                             .free = freeOf(worker),
                             .sameStep = perWorker[id],
                             .rack = worker.record.rack,
                             .penalty = static_cast<double>(worker.failuresInRow)});
        seated.push_back(&worker);
    }
    const std::vector<std::size_t> places
        = choosePlaces(SeatRequest{.size = footprint(spec),
                                   .count = static_cast<std::uint32_t>(waiting.size()),
                                   .together = spec.gang,
                                   .oneRack = spec.rackSensitive,
                                   .dataRack = RackId(spec.dataRack),
                                   .maxPerWorker = spec.maxPerWorker},
                       std::move(seats));
    // A gang's members share one number, which is new to all of them.
    RunNumber gangRun;
    for (const LiveTask &task : step.tasks) {
        gangRun = std::max(gangRun, task.lastRun);
    }
    if (spec.gang && !places.empty()) {
        const auto whole = multiply(spec.size, static_cast<std::uint32_t>(waiting.size()));
        if (!whole
            || !this->context.ledger->tryReserve(candidate.live->customer, *whole,
                                                 candidate.limit)) {
            return 0;
        }
    }
    std::size_t placed = 0;
    for (std::size_t i = 0; i < places.size(); ++i) {
        if (!spec.gang
            && !this->context.ledger->tryReserve(candidate.live->customer, spec.size,
                                                 candidate.limit)) {
            break;
        }
        UpstreamWorker &worker = *seated[places[i]];
        LiveTask &task = step.tasks[waiting[i]];
        const TaskKey key{.workflow = candidate.workflow,
                          .occurrence = candidate.occurrence,
                          .step = candidate.number,
                          .index = waiting[i]};
        LiveRun run;
        run.number = RunNumber((spec.gang ? gangRun : task.lastRun).value + 1);
        run.worker = worker.record.id;
        run.since = now;
        if (candidate.advice) {
            run.ticket = step.eligibility.at(worker.record.id).ticket;
        }
        task.lastRun = run.number;
        runs.push_back(RunAssignment{.task = key,
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
    return placed;
}

void UpstreamBoard::ask(Candidate &candidate, SteadyTime now, Effects &effects)
{
    LiveStep &step = *candidate.step;
    const StepSpec &spec = *candidate.spec;
    if (step.asking || now < step.askAgainAt) {
        return;
    }
    const SeatRequest one{.size = footprint(spec),
                          .count = spec.count,
                          .together = spec.gang,
                          .oneRack = false,
                          .dataRack = {},
                          .maxPerWorker = spec.maxPerWorker};
    std::vector<std::pair<std::int64_t, InstanceId>> unknown;
    std::vector<std::pair<std::int64_t, InstanceId>> expired;
    std::uint64_t seatsHeld = 0;
    std::uint64_t seatsAllowed = 0;
    for (const auto &[id, worker] : this->workers) {
        if (!this->isUsable(worker, now) || !this->isCapable(worker, spec)) {
            continue;
        }
        const Resources free = freeOf(worker);
        const std::uint32_t fit = tasksThatFit(
            Seat{.worker = 0, .free = free, .sameStep = 0, .rack = {}, .penalty = 0.0}, one);
        const auto advised = step.eligibility.find(id);
        const bool known
            = advised != step.eligibility.end() && advised->second.life == worker.record.life;
        if (!known) {
            unknown.emplace_back(-free.cpu.value, id);
        } else if (advised->second.allowed && fit > 0) {
            seatsAllowed += fit;
            if (advised->second.validUntil < now + this->settings.ticketMargin) {
                expired.emplace_back(-free.cpu.value, id);
            } else {
                seatsHeld += fit;
            }
        }
    }
    const std::uint64_t wanted = spec.gang ? spec.count : step.waiting;
    std::vector<std::pair<std::int64_t, InstanceId>> chosen;
    if (!expired.empty() && seatsHeld < wanted && (!spec.gang || seatsAllowed >= wanted)) {
        // Enough room on workers that are known to be allowed: only their tickets are renewed.
        chosen = std::move(expired);
    } else if (!unknown.empty() && seatsAllowed < wanted) {
        std::sort(unknown.begin(), unknown.end());
        const std::size_t most = spec.gang
            ? maxAskedWorkers
            : std::min(maxAskedWorkers, std::max(minAskedWorkers, askedPerTask * step.waiting));
        unknown.resize(std::min(unknown.size(), most));
        chosen = std::move(unknown);
    }
    if (chosen.empty()) {
        return;
    }
    AdviceRequest request{.workflow = candidate.workflow,
                          .occurrence = candidate.occurrence,
                          .step = candidate.number,
                          .workers = {}};
    for (auto &[order, id] : chosen) {
        request.workers.push_back(id);
    }
    if (request.workers.size() > maxAskedWorkers) {
        request.workers.resize(maxAskedWorkers);
    }
    step.asking = true;
    const std::chrono::microseconds cost = candidate.advice->decision
        + candidate.advice->perWorker * static_cast<std::int64_t>(request.workers.size());
    effects.push_back([self = this->shared_from_this(), request, cost]() {
        self->context.adviser.advise(
            request, cost, [self, request](const Result<AdviceReply> &result) {
                self->enter([&](Effects &later) { self->onAdvice(request, result, later); });
            });
    });
}

void UpstreamBoard::onAdvice(const AdviceRequest &request, const Result<AdviceReply> &result,
                             Effects &effects)
{
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
        if (worker != this->workers.end()) {
            step->eligibility[id] = Eligibility{.allowed = false,
                                                .life = worker->second.record.life,
                                                .ticket = {},
                                                .validUntil = {}};
        }
    }
    for (const AdviceTicket &ticket : reply.tickets) {
        const auto known = step->eligibility.find(ticket.worker);
        if (known != step->eligibility.end()) {
            known->second.allowed = true;
            known->second.ticket = ticket.ticket;
            known->second.validUntil = now + reply.validity;
        }
    }
    this->wantPass(effects);
}

} // namespace gooseberry
