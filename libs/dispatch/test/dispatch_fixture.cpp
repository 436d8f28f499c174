#include "dispatch_fixture.h"

#include <algorithm>

namespace gooseberry {

namespace {

Error unanswered()
{
    return Error{.code = ErrorCode::DeadlineExceeded,
                 .step = Step::Send,
                 .peer = {},
                 .message = "no answer",
                 .outcome = Outcome::Unknown};
}

constexpr std::chrono::milliseconds answerTimeout{800};

} // namespace

FakeTimers::FakeTimers(ManualClock &initialClock)
    : clock(initialClock)
{
}

Schedule FakeTimers::schedule()
{
    return [this](Duration delay, std::function<void()> task) {
        this->tasks.emplace(this->clock.steadyNow() + delay, std::move(task));
    };
}

void FakeTimers::settle()
{
    while (!this->tasks.empty() && this->tasks.begin()->first <= this->clock.steadyNow()) {
        const auto task = std::move(this->tasks.begin()->second);
        this->tasks.erase(this->tasks.begin());
        task();
    }
}

void FakeTimers::advance(std::chrono::milliseconds time)
{
    constexpr std::chrono::milliseconds increment{1};
    for (std::chrono::milliseconds passed{0}; passed < time; passed += increment) {
        this->clock.advance(increment);
        this->settle();
    }
}

FakeCommandLog::FakeCommandLog(WorkflowState &initialState, FakeTimers &initialTimers)
    : state(initialState)
    , timers(initialTimers)
{
}

void FakeCommandLog::propose(WorkflowCommand command,
                             std::function<void(Result<CommandOutcome>)> done)
{
    ++this->proposals;
    if (!this->leads) {
        done(Error{.code = ErrorCode::NotLeader,
                   .step = Step::Commit,
                   .peer = {},
                   .message = "not the leader",
                   .outcome = Outcome::NotRun});
        return;
    }
    this->queue.emplace_back(std::move(command), std::move(done));
    if (!this->commitsPaused) {
        this->timers.schedule()(std::chrono::milliseconds(1), [this]() { this->commitPending(); });
    }
}

bool FakeCommandLog::holdsLease() const
{
    return this->leads;
}

void FakeCommandLog::commitPending()
{
    while (!this->queue.empty()) {
        auto [command, done] = std::move(this->queue.front());
        this->queue.pop_front();
        done(this->state.apply(ProposedCommand{
            .origin = 1, .number = 1, .at = this->state.time(), .command = std::move(command)}));
    }
}

FakeWorkers::FakeWorkers(FakeTimers &initialTimers, const Clock &initialClock)
    : timers(initialTimers)
    , clock(initialClock)
{
}

WorkerTime FakeWorkers::clockOf(const FakeWorker &worker) const
{
    return WorkerTime(std::chrono::duration_cast<std::chrono::milliseconds>(
                          this->clock.steadyNow().time_since_epoch())
                      + std::chrono::hours(1) + worker.clockOffset);
}

void FakeWorkers::restartUnseen(FakeWorker &worker) const
{
    worker.running.clear();
    worker.ended.clear();
    worker.refusedRuns.clear();
    worker.lastEnd = 0;
    worker.acknowledged = 0;
    worker.fence = FencingToken(0);
    worker.leaseEnd = WorkerTime{};
    worker.record.incarnation += std::chrono::seconds(5);
}

FakeWorker &FakeWorkers::add(const WorkerRecord &record)
{
    FakeWorker &worker = this->workers[record.id];
    worker.record = record;
    return worker;
}

StartResult FakeWorkers::applyStart(FakeWorker &worker, const StartOrder &order)
{
    if (order.fence < worker.fence) {
        return StartResult::Fenced;
    }
    worker.fence = order.fence;
    if (order.leaseEnd <= this->clockOf(worker)) {
        return StartResult::LeaseExpired;
    }
    const auto refusedRun = worker.refusedRuns.find(order.task);
    if (refusedRun != worker.refusedRuns.end() && order.run <= refusedRun->second) {
        return StartResult::Superseded;
    }
    if (worker.startResult != StartResult::Started) {
        return worker.startResult;
    }
    for (const auto &[id, other] : this->workers) {
        const auto running = other.running.find(order.task);
        if (running != other.running.end()
            && !(id == worker.record.id && running->second == order.run)) {
            this->violations.push_back("two runs of " + toString(order.task));
        }
    }
    ++worker.starts;
    worker.checkpoints.push_back(order.checkpoint);
    worker.running[order.task] = order.run;
    worker.leaseEnd = std::max(worker.leaseEnd, order.leaseEnd);
    return StartResult::Started;
}

void FakeWorkers::start(const WorkerRef &ref, const StartOrder &order,
                        std::function<void(Result<StartReply>)> done)
{
    FakeWorker &worker = this->workers[ref.id];
    if (this->sendFailure) {
        this->timers.schedule()(std::chrono::milliseconds(1),
                                [done, failure = *this->sendFailure]() { done(failure); });
        return;
    }
    if (worker.unresponsive || worker.startsUnanswered) {
        this->delayedStarts.emplace_back(ref.id, order);
        this->timers.schedule()(answerTimeout, [done]() { done(unanswered()); });
        return;
    }
    const bool addressed
        = this->acceptsAnyIncarnation || worker.record.incarnation == ref.incarnation;
    const StartReply reply{.result = addressed ? this->applyStart(worker, order)
                                               : StartResult::OtherIncarnation,
                           .clock = this->clockOf(worker)};
    this->timers.schedule()(std::chrono::milliseconds(1) + worker.startAnswerDelay,
                            [done, reply]() { done(reply); });
}

void FakeWorkers::stop(const WorkerRef &ref, const StopOrder &order,
                       std::function<void(Status)> done)
{
    FakeWorker &worker = this->workers[ref.id];
    if (worker.unresponsive || worker.stopsUnanswered) {
        this->timers.schedule()(answerTimeout, [done]() { done(unanswered()); });
        return;
    }
    RunNumber &refusedRun = worker.refusedRuns[order.task];
    refusedRun = std::max(refusedRun, order.run);
    const auto running = worker.running.find(order.task);
    if (running != worker.running.end() && running->second == order.run) {
        this->end(ref.id, order.task, EndKind::Stopped, "saved-at-stop");
    }
    this->timers.schedule()(std::chrono::milliseconds(1), [done]() { done(Done{}); });
}

void FakeWorkers::renewLease(const WorkerRef &ref, const LeaseRenewalOrder &order,
                             std::function<void(Result<LeaseRenewalReply>)> done)
{
    FakeWorker &worker = this->workers[ref.id];
    ++worker.renewals;
    worker.leaseOffered = order.leaseEnd;
    if (worker.unresponsive || worker.renewalsUnanswered) {
        this->timers.schedule()(answerTimeout + order.wait, [done]() { done(unanswered()); });
        return;
    }
    LeaseRenewalReply reply;
    if (order.fence < worker.fence || worker.refusesRenewals) {
        reply.fenced = order.fence < worker.fence;
        reply.otherIncarnation = worker.refusesRenewals;
        this->timers.schedule()(std::chrono::milliseconds(1), [done, reply]() { done(reply); });
        return;
    }
    worker.fence = order.fence;
    worker.leaseEnd = std::max(worker.leaseEnd, order.leaseEnd);
    worker.acknowledged = std::max(worker.acknowledged, order.acknowledgedEnds);
    std::erase_if(worker.ended,
                  [&](const EndedEntry &entry) { return entry.number <= worker.acknowledged; });
    // Shorter than the requested wait, so that ends are reported soon.
    const auto wait
        = order.wait.count() > 0 ? std::chrono::milliseconds(10) : std::chrono::milliseconds(1);
    this->timers.schedule()(wait, [this, id = ref.id, done]() {
        const FakeWorker &known = this->workers[id];
        if (known.unresponsive || known.renewalsUnanswered) {
            done(unanswered());
            return;
        }
        LeaseRenewalReply report;
        report.clock = this->clockOf(known);
        report.incarnation = known.record.incarnation;
        report.ended = known.ended;
        for (const auto &[task, run] : known.running) {
            report.running.push_back(
                RunningEntry{.task = task, .run = run, .checkpoint = {}, .percent = 50.0});
        }
        if (known.renewalAnswerDelay.count() > 0) {
            this->timers.schedule()(known.renewalAnswerDelay, [done, report]() { done(report); });
            return;
        }
        done(report);
    });
}

void FakeWorkers::end(const InstanceId &id, const TaskKey &task, EndKind kind,
                      const std::string &checkpoint)
{
    FakeWorker &worker = this->workers[id];
    const RunNumber run = worker.running.at(task);
    worker.running.erase(task);
    RunNumber &refusedRun = worker.refusedRuns[task];
    refusedRun = std::max(refusedRun, run);
    worker.ended.push_back(EndedEntry{.number = ++worker.lastEnd,
                                      .task = task,
                                      .run = run,
                                      .kind = kind,
                                      .checkpoint = checkpoint});
}

void FakeWorkers::deliverDelayedStarts()
{
    for (const auto &[id, order] : this->delayedStarts) {
        this->applyStart(this->workers[id], order);
    }
    this->delayedStarts.clear();
}

std::size_t FakeWorkers::runningTasks() const
{
    std::size_t count = 0;
    for (const auto &[id, worker] : this->workers) {
        count += worker.running.size();
    }
    return count;
}

FakeAdviser::FakeAdviser(FakeTimers &initialTimers)
    : timers(initialTimers)
{
}

void FakeAdviser::advise(const AdviceRequest &request, std::chrono::microseconds /*cost*/,
                         std::function<void(Result<AdviceReply>)> done)
{
    this->requests.push_back(request);
    if (this->silent) {
        return;
    }
    if (this->fails) {
        this->timers.schedule()(std::chrono::milliseconds(1), [done]() { done(unanswered()); });
        return;
    }
    AdviceReply reply;
    reply.validity = std::chrono::milliseconds(1500);
    for (const InstanceId &worker : request.workers) {
        if (!this->refused.contains(worker)) {
            reply.tickets.push_back(AdviceTicket{.worker = worker, .ticket = "ticket"});
        }
    }
    this->timers.schedule()(std::chrono::milliseconds(5), [done, reply]() { done(reply); });
}

DispatchFixture::DispatchFixture(std::size_t workerCount)
    : dispatcher(DispatchSettings{}, clock, workers, adviser, log, state, timers.schedule(),
                 observer)
{
    this->config.version = ConfigVersion(1);
    QueueRule queue;
    queue.name = "queue";
    queue.host = "host";
    queue.pathPrefix = "/queue/";
    queue.upstream = "upstream";
    queue.requestTimeout = std::chrono::seconds(3);
    queue.completionTarget = std::chrono::seconds(10);
    queue.attempts = 3;
    this->config.queues.push_back(queue);
    this->config.upstreams.push_back(UpstreamRule{
        .name = "upstream", .workersEnforceCapacity = false, .standby = false, .healthPath = {}});
    this->config.customers.push_back(CustomerRule{
        .id = CustomerId("customer"), .keys = {"key"}, .weight = 1.0, .limit = Resources{}});
    this->apply(PutConfig{.config = this->config});
    this->dispatcher.beginTerm(this->term);
    for (std::size_t number = 0; number < workerCount; ++number) {
        WorkerRecord record;
        record.id = workerId(number);
        record.address
            = Address{.host = "127.0.0.1", .port = static_cast<std::uint16_t>(9000 + number)};
        record.incarnation = WorkerIncarnation(std::chrono::milliseconds(1000));
        record.upstream = "upstream";
        record.domain = FailureDomainId(number % 2 == 0 ? "domain-a" : "domain-b");
        record.rack = RackId("rack-" + std::to_string(number % 2));
        record.capacity = Resources{.cpu = CpuMillis(16'000),
                                    .memory = Bytes(64'000),
                                    .accelerators = AcceleratorCount(0),
                                    .slots = SlotCount(0)};
        this->workers.add(record);
        this->apply(AnnounceWorker{.worker = record});
        this->dispatcher.workerAnnounced(record);
    }
    this->run(std::chrono::milliseconds(200));
}

void DispatchFixture::apply(WorkflowCommand command)
{
    const CellTime now(std::chrono::duration_cast<std::chrono::milliseconds>(
        this->clock.steadyNow().time_since_epoch()));
    this->state.apply(
        ProposedCommand{.origin = 1, .number = 1, .at = now, .command = std::move(command)});
}

void DispatchFixture::changeConfig(const std::function<void(RoutingConfig &)> &change)
{
    change(this->config);
    ++this->config.version.value;
    this->apply(PutConfig{.config = this->config});
    this->dispatcher.configurationChanged();
}

WorkflowId DispatchFixture::submit(const std::string &id, std::vector<StepSpec> steps,
                                   const std::string &customer, const std::string &queue)
{
    WorkflowSpec spec;
    spec.payload = "payload";
    spec.steps = std::move(steps);
    return this->submit(id, spec, customer, queue);
}

WorkflowId DispatchFixture::submit(const std::string &id, const WorkflowSpec &spec,
                                   const std::string &customer, const std::string &queue)
{
    this->apply(AcceptWorkflow{.id = WorkflowId(id),
                               .queue = queue,
                               .upstream = "upstream",
                               .customer = CustomerId(customer),
                               .attempts = 3,
                               .spec = encodeRecord(spec)});
    this->dispatcher.workflowAccepted(WorkflowId(id));
    return WorkflowId(id);
}

void DispatchFixture::cancel(const WorkflowId &id)
{
    this->apply(CancelWorkflow{.id = id});
    this->dispatcher.workflowCancelled(id);
}

void DispatchFixture::announce(const InstanceId &id,
                               const std::function<void(WorkerRecord &)> &change)
{
    WorkerRecord &record = this->workers.workers[id].record;
    change(record);
    ++record.announcement;
    this->apply(AnnounceWorker{.worker = record});
    this->dispatcher.workerAnnounced(record);
}

void DispatchFixture::deregister(const InstanceId &id)
{
    const WorkerIncarnation incarnation = this->workers.workers[id].record.incarnation;
    this->apply(ForgetWorker{.id = id, .incarnation = incarnation});
    this->dispatcher.workerForgotten(id, incarnation);
}

void DispatchFixture::evacuate(const std::string &domain, bool evacuated)
{
    this->apply(SetEvacuation{.domain = FailureDomainId(domain), .evacuated = evacuated});
    this->dispatcher.configurationChanged();
}

void DispatchFixture::changeLeader()
{
    this->dispatcher.endTerm();
    ++this->term.value;
    this->dispatcher.beginTerm(this->term);
}

void DispatchFixture::run(std::chrono::milliseconds time)
{
    constexpr std::chrono::milliseconds heartbeatInterval{100};
    for (std::chrono::milliseconds passed{0}; passed < time; passed += heartbeatInterval) {
        for (const auto &[id, worker] : this->workers.workers) {
            if (!worker.unresponsive && !this->withoutHeartbeats.contains(id)) {
                this->dispatcher.heartbeatReceived(worker.record, std::nullopt);
            }
        }
        this->timers.advance(std::min(heartbeatInterval, time - passed));
    }
}

WorkflowPhase DispatchFixture::phase(const WorkflowId &id) const
{
    const auto status = this->state.status(id);
    return status ? status->phase : WorkflowPhase::Failed;
}

void DispatchFixture::finishAll()
{
    for (auto &[id, worker] : this->workers.workers) {
        const std::map<TaskKey, RunNumber> running = worker.running;
        for (const auto &[task, run] : running) {
            this->workers.end(id, task, EndKind::Done);
        }
    }
}

InstanceId DispatchFixture::workerId(std::size_t number)
{
    return InstanceId("worker-" + std::to_string(number));
}

StepSpec DispatchFixture::step(std::uint32_t count, std::int64_t cpu)
{
    StepSpec spec;
    spec.count = count;
    spec.size = Resources{.cpu = CpuMillis(cpu),
                          .memory = Bytes(1000),
                          .accelerators = AcceleratorCount(0),
                          .slots = SlotCount(0)};
    spec.estimate = std::chrono::seconds(1);
    return spec;
}

TaskKey DispatchFixture::task(const WorkflowId &id, std::uint32_t index, std::uint32_t step)
{
    return TaskKey{.workflow = id, .occurrence = 0, .step = step, .index = index};
}

} // namespace gooseberry
