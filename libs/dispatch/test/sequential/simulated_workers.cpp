#include "simulated_workers.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace gooseberry {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds orderTimeout{800};
constexpr std::chrono::milliseconds ticketValidity{1500};

Error noAnswer()
{
    return Error{.code = ErrorCode::DeadlineExceeded,
                 .step = Step::Send,
                 .peer = {},
                 .message = "no answer",
                 .outcome = Outcome::Unknown};
}

} // namespace

SimulatedWorkers::SimulatedWorkers(ManualClock &initialClock, FakeTimers &initialTimers,
                                   unsigned seed)
    : clock(initialClock)
    , timers(initialTimers)
    , random(seed)
{
}

std::chrono::milliseconds SimulatedWorkers::between(int low, int high)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(low, high)(this->random));
}

bool SimulatedWorkers::chance(int percent)
{
    return this->between(1, 100).count() <= percent;
}

WorkerTime SimulatedWorkers::clockOf(const SimulatedWorker &worker) const
{
    return WorkerTime(std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.steadyNow()
                                                                            - worker.startedAt)
                      + worker.firstClock);
}

bool SimulatedWorkers::isCut(const SimulatedWorker &worker) const
{
    return this->clock.steadyNow() < worker.cutUntil;
}

bool SimulatedWorkers::isHeard(const SimulatedWorker &worker) const
{
    return !this->isCut(worker) && this->clock.steadyNow() >= worker.mutedUntil;
}

SimulatedWorker *SimulatedWorkers::findByAddress(const Address &address)
{
    const auto found = std::find_if(
        this->machines.begin(), this->machines.end(),
        [&](const SimulatedWorker &worker) { return worker.record.address == address; });
    return found == this->machines.end() ? nullptr : &*found;
}

void SimulatedWorkers::addMachine(const WorkerRecord &record,
                                  std::chrono::milliseconds heartbeatInterval)
{
    SimulatedWorker worker;
    worker.heartbeatInterval = heartbeatInterval;
    worker.machine = this->machines.size();
    worker.record = record;
    worker.memory = this->chance(50) ? AcknowledgementMemory::KeepsHighest
                                     : AcknowledgementMemory::ForgetsListedEnds;
    this->machines.push_back(worker);
    this->beginProcess(this->machines.back(), false);
}

void SimulatedWorkers::beginProcess(SimulatedWorker &worker, bool sameId)
{
    const SteadyTime now = this->clock.steadyNow();
    if (!sameId) {
        worker.record.id = InstanceId("w" + std::to_string(++this->lastId));
    }
    worker.record.incarnation = WorkerIncarnation(
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) + 1s);
    worker.record.announcement = 0;
    worker.up = true;
    ++worker.processes;
    worker.startedAt = now;
    worker.firstClock = this->between(0, 60'000);
    worker.nextHeartbeat
        = now + this->between(0, static_cast<int>(worker.heartbeatInterval.count()));
    worker.fence = FencingToken(0);
    worker.leaseEnd = WorkerTime{};
    worker.running.clear();
    worker.highestRun.clear();
    worker.ended.clear();
    worker.lastEnd = 0;
    worker.acknowledged = 0;
    worker.acknowledgedByDelayedOrder = 0;
}

void SimulatedWorkers::crash(SimulatedWorker &worker, std::chrono::milliseconds delay,
                             bool returnsUnderItsId)
{
    worker.up = false;
    worker.running.clear();
    this->oracle.processEnded(worker.process());
    worker.returnsAt = this->clock.steadyNow() + delay;
    worker.returnsUnderItsId = returnsUnderItsId;
}

void SimulatedWorkers::tick()
{
    const SteadyTime now = this->clock.steadyNow();
    for (SimulatedWorker &worker : this->machines) {
        if (!worker.up) {
            if (now >= worker.returnsAt) {
                this->beginProcess(worker, worker.returnsUnderItsId);
            }
            continue;
        }
        const bool leaseOver = this->clockOf(worker) > worker.leaseEnd;
        if (leaseOver) {
            this->oracle.leaseExpired(worker.process());
        }
        const std::map<TaskKey, SimulatedRun> running = worker.running;
        for (const auto &[task, run] : running) {
            if (leaseOver) {
                this->endRun(worker, task, EndKind::LeaseExpired);
            } else if (now >= run.until) {
                this->endRun(worker, task, run.how);
            }
        }
    }
    this->answerWaitingRenewals();
}

void SimulatedWorkers::endRun(SimulatedWorker &worker, const TaskKey &task, EndKind how)
{
    const RunNumber run = worker.running.at(task).run;
    worker.running.erase(task);
    RunNumber &highest = worker.highestRun[task];
    highest = std::max(highest, run);
    const std::uint64_t number = ++worker.lastEnd;
    if (how == EndKind::Done) {
        this->oracle.endedAsDone(worker.process(), task, run, number);
    } else {
        this->oracle.ended(worker.process(), task);
    }
    if (number <= worker.acknowledged) {
        this->oracle.acknowledged(worker.process(), worker.acknowledged,
                                  number <= worker.acknowledgedByDelayedOrder);
        return;
    }
    worker.ended.push_back(
        EndedEntry{.number = number, .task = task, .run = run, .kind = how, .checkpoint = {}});
}

std::string SimulatedWorkers::ticketFor(const SimulatedWorker &worker) const
{
    const auto issuedAt = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->clock.steadyNow().time_since_epoch());
    return worker.record.id.value + '/' + std::to_string(worker.processes) + '/'
        + std::to_string(issuedAt.count());
}

bool SimulatedWorkers::acceptsTicket(const SimulatedWorker &worker, const std::string &ticket) const
{
    if (this->ticketRule == TicketRule::None) {
        return true;
    }
    const std::size_t process = ticket.find('/');
    const std::size_t issued = ticket.rfind('/');
    if (process == std::string::npos || ticket.substr(0, process) != worker.record.id.value) {
        return false;
    }
    const SteadyTime issuedAt(std::chrono::milliseconds(std::stoll(ticket.substr(issued + 1))));
    return this->clock.steadyNow() <= issuedAt + ticketValidity
        && (this->ticketRule == TicketRule::ForId
            || std::stoi(ticket.substr(process + 1)) == worker.processes);
}

void SimulatedWorkers::advise(const AdviceRequest &request, std::chrono::microseconds /*cost*/,
                              std::function<void(Result<AdviceReply>)> done)
{
    AdviceReply reply;
    reply.validity = ticketValidity;
    for (const InstanceId &id : request.workers) {
        const auto worker
            = std::find_if(this->machines.begin(), this->machines.end(),
                           [&](const SimulatedWorker &known) { return known.record.id == id; });
        if (worker != this->machines.end()) {
            reply.tickets.push_back(AdviceTicket{.worker = id, .ticket = this->ticketFor(*worker)});
        }
    }
    this->timers.schedule()(this->between(5, 40), [done, reply]() { done(reply); });
}

template<typename Reply, typename Callback, typename Apply>
void SimulatedWorkers::deliver(const WorkerRef &ref, std::chrono::milliseconds timeout,
                               Callback done, Apply apply)
{
    const bool unanswered = this->chance(this->faults.unansweredOrders);
    const bool delayed = !unanswered && this->chance(this->faults.delayedOrders);
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [finished, done](Result<Reply> result) {
        if (!std::exchange(*finished, true)) {
            done(std::move(result));
        }
    };
    const SimulatedWorker *const target = this->findByAddress(ref.address);
    const int processes = target == nullptr ? 0 : target->processes;
    const bool sentToProcess = target != nullptr && target->up;
    const auto answer = [this, ref, finish, lost = unanswered || delayed](Reply reply) {
        const SimulatedWorker *const worker = this->findByAddress(ref.address);
        if (lost || worker == nullptr || !this->isHeard(*worker)) {
            return;
        }
        this->timers.schedule()(this->between(0, 2), [finish, reply]() { finish(reply); });
    };
    const auto arrive = [this, ref, apply, answer, processes, sentToProcess]() {
        SimulatedWorker *const worker = this->findByAddress(ref.address);
        // An order outlives one restart at most; see "Not covered" in docs/design.md.
        if (worker != nullptr && worker->up && !this->isCut(*worker)
            && worker->processes <= processes + 1) {
            apply(*worker, sentToProcess && worker->processes > processes, answer);
        }
    };
    this->timers.schedule()(delayed ? this->between(800, 12'000) : this->between(1, 3), arrive);
    this->timers.schedule()(timeout, [finish]() { finish(noAnswer()); });
}

void SimulatedWorkers::start(const WorkerRef &ref, const StartOrder &order,
                             std::function<void(Result<StartReply>)> done)
{
    this->deliver<StartReply>(
        ref, orderTimeout, std::move(done),
        [this, ref, order](SimulatedWorker &worker, bool restarted, const auto &answer) {
            answer(this->applyStart(worker, ref, order, restarted));
        });
}

void SimulatedWorkers::stop(const WorkerRef &ref, const StopOrder &order,
                            std::function<void(Status)> done)
{
    this->deliver<Done>(
        ref, orderTimeout, std::move(done),
        [this, ref, order](SimulatedWorker &worker, bool /*restarted*/, const auto &answer) {
            this->applyStop(worker, ref, order);
            answer(Done{});
        });
}

void SimulatedWorkers::renewLease(const WorkerRef &ref, const LeaseRenewalOrder &order,
                                  std::function<void(Result<LeaseRenewalReply>)> done)
{
    this->deliver<LeaseRenewalReply>(
        ref, orderTimeout + order.wait, std::move(done),
        [this, ref, order](SimulatedWorker &worker, bool restarted, const auto &answer) {
            if (worker.record.id != ref.id || order.fence < worker.fence) {
                LeaseRenewalReply refusal;
                refusal.otherIncarnation = worker.record.id != ref.id;
                refusal.fenced = !refusal.otherIncarnation;
                answer(refusal);
                return;
            }
            worker.fence = order.fence;
            this->extendLease(worker, order.leaseEnd);
            this->applyAcknowledgement(worker, order.acknowledgedEnds, restarted);
            this->waitingRenewals.push_back(
                WaitingRenewal{.process = worker.process(),
                               .until = this->clock.steadyNow() + order.wait,
                               .answer = [this, answer, machine = worker.machine]() {
                                   answer(this->report(this->machines[machine]));
                               }});
            this->answerWaitingRenewals();
        });
}

void SimulatedWorkers::answerWaitingRenewals()
{
    const SteadyTime now = this->clock.steadyNow();
    std::list<WaitingRenewal> due;
    for (auto renewal = this->waitingRenewals.begin(); renewal != this->waitingRenewals.end();) {
        const auto next = std::next(renewal);
        const SimulatedWorker &worker = this->machines[renewal->process.machine];
        if (!worker.up || worker.process() != renewal->process) {
            this->waitingRenewals.erase(renewal);
        } else if (now >= renewal->until || !worker.ended.empty()) {
            due.splice(due.end(), this->waitingRenewals, renewal);
        }
        renewal = next;
    }
    for (const WaitingRenewal &renewal : due) {
        renewal.answer();
    }
}

LeaseRenewalReply SimulatedWorkers::report(const SimulatedWorker &worker) const
{
    LeaseRenewalReply reply;
    reply.clock = this->clockOf(worker);
    reply.incarnation = worker.record.incarnation;
    reply.ended = worker.ended;
    for (const auto &[task, run] : worker.running) {
        reply.running.push_back(
            RunningEntry{.task = task, .run = run.run, .checkpoint = {}, .percent = 0.0});
    }
    return reply;
}

void SimulatedWorkers::applyAcknowledgement(SimulatedWorker &worker, std::uint64_t number,
                                            bool sentToEarlierProcess)
{
    std::erase_if(worker.ended, [&](const EndedEntry &end) { return end.number <= number; });
    this->oracle.acknowledged(worker.process(), number, sentToEarlierProcess);
    if (worker.memory == AcknowledgementMemory::KeepsHighest) {
        worker.acknowledged = std::max(worker.acknowledged, number);
        if (sentToEarlierProcess) {
            worker.acknowledgedByDelayedOrder = std::max(worker.acknowledgedByDelayedOrder, number);
        }
    }
}

void SimulatedWorkers::applyStop(SimulatedWorker &worker, const WorkerRef &ref,
                                 const StopOrder &order)
{
    if (worker.record.id != ref.id || order.fence < worker.fence) {
        return;
    }
    worker.fence = order.fence;
    RunNumber &highest = worker.highestRun[order.task];
    highest = std::max(highest, order.run);
    const auto found = worker.running.find(order.task);
    if (found != worker.running.end() && found->second.run <= order.run) {
        this->endRun(worker, order.task, EndKind::Stopped);
    }
}

void SimulatedWorkers::extendLease(SimulatedWorker &worker, WorkerTime leaseEnd)
{
    worker.leaseEnd
        = std::max(worker.leaseEnd, std::min(leaseEnd, this->clockOf(worker) + this->longestLease));
}

StartReply SimulatedWorkers::applyStart(SimulatedWorker &worker, const WorkerRef &ref,
                                        const StartOrder &order, bool restarted)
{
    const auto reply = [&](StartResult result) {
        return StartReply{.result = result, .clock = this->clockOf(worker)};
    };
    if (worker.record.id != ref.id) {
        return reply(StartResult::OtherIncarnation);
    }
    if (order.fence < worker.fence) {
        return reply(StartResult::Fenced);
    }
    worker.fence = order.fence;
    const auto current = worker.running.find(order.task);
    if (current != worker.running.end() && current->second.run == order.run) {
        return reply(StartResult::Started);
    }
    if (order.leaseEnd <= this->clockOf(worker)) {
        return reply(StartResult::LeaseExpired);
    }
    this->extendLease(worker, order.leaseEnd);
    if (order.run <= worker.highestRun[order.task]) {
        return reply(StartResult::Superseded);
    }
    if (!this->acceptsTicket(worker, order.ticket)) {
        return reply(StartResult::NoTicket);
    }
    this->oracle.started(worker.process(), order.task, order.run, restarted);
    worker.running[order.task] = SimulatedRun{
        .run = order.run,
        .until = this->clock.steadyNow() + this->between(300, 12'000),
        .how = this->chance(this->faults.failedRuns) ? EndKind::Failed : EndKind::Done};
    return reply(StartResult::Started);
}

} // namespace gooseberry
