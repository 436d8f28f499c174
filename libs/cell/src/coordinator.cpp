#include <cell/coordinator.h>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

Error refuse(ErrorCode code, Step step, const std::string &message)
{
    return Error{
        .code = code, .step = step, .peer = {}, .message = message, .outcome = Outcome::NotRun};
}

/** Returns a log callback that forwards success or the error, without the value. */
CommandLog::Callback forwardDone(const Coordinator::Reply<Done> &reply)
{
    return [reply](const ApplyOutcome &outcome) {
        reply(ok(outcome) ? Result<Done>(Done{}) : Result<Done>(errorOf(outcome)));
    };
}

} // namespace

Coordinator::Coordinator(CellState &initialState, CommandLog &initialLog, WorkerPort &initialPort,
                         const Clock &initialClock, CoordinatorObserver &initialObserver,
                         CoordinatorSettings initialSettings)
    : state(initialState)
    , log(initialLog)
    , port(initialPort)
    , clock(initialClock)
    , observer(initialObserver)
    , settings(initialSettings)
    , scheduler(initialState.fleet(), initialState.ledger())
{
}

Coordinator::Leadership Coordinator::leadership() const
{
    const std::lock_guard lock(this->leadershipMutex);
    return this->current;
}

CellTime Coordinator::cellNow() const
{
    const Leadership now = this->leadership();
    return now.cellTimeAtStart
        + std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.steadyNow()
                                                                - now.startedAt);
}

Status Coordinator::checkLeadership(Step step) const
{
    if (!this->leadership().leads || !this->log.holdsLease()) {
        return refuse(ErrorCode::NotLeader, step, "this instance does not lead");
    }
    return Done{};
}

bool Coordinator::mayRead(const Caller &caller, const JobRecord &job) const
{
    const bool isOwnRequest = !caller.request.value.empty() && caller.request == job.request;
    if (caller.credential.empty()) {
        const auto config = this->state.config().current();
        const Queue *queue = findQueue(*config, job.spec->queue);
        return isOwnRequest && queue != nullptr && queue->openToAll;
    }
    const Result<TeamId> team = this->state.config().authenticate(caller.credential);
    return ok(team) && valueOf(team) == job.team;
}

Status Coordinator::admit(const Caller &caller, const JobSpec &spec, TeamId &team) const
{
    if (Status status = checkJobSpec(spec); !ok(status)) {
        return status;
    }
    if (caller.request.value.empty()) {
        return refuse(ErrorCode::InvalidArgument, Step::Admit, "a request id is required");
    }
    const auto config = this->state.config().current();
    AdmissionInput input;
    input.queue = findQueue(*config, spec.queue);
    if (input.queue != nullptr) {
        team = input.queue->team;
        const Team *owner = findTeam(*config, team);
        input.limit = owner != nullptr ? owner->limit : Limit{};
        input.pendingTasks = this->scheduler.pendingTasks(spec.queue);
    }
    input.cellPendingTasks = this->scheduler.pendingTasks();
    input.shedAbove = this->settings.shedAbove;
    if (!caller.credential.empty()) {
        const Result<TeamId> authenticated = this->state.config().authenticate(caller.credential);
        if (!ok(authenticated)) {
            return errorOf(authenticated);
        }
        input.caller = valueOf(authenticated);
    }
    const bool mayUse = input.queue != nullptr && (input.queue->openToAll || input.caller == team);
    if (mayUse && this->state.requests().find(team, caller.request)) {
        // A resend gets the original reply, even if the job would no longer be admitted.
        return Done{};
    }
    input.couldEverFit = this->state.fleet().couldEverHold(spec.perTask, spec.service);
    if (!input.couldEverFit) {
        input.shortage = this->state.fleet().shortageOf(spec.perTask, spec.service);
    }
    if (Status status = checkAdmission(spec, input); !ok(status)) {
        return status;
    }
    if (this->state.answerBytes() > this->settings.maxAnswerBytes) {
        return refuse(ErrorCode::Overloaded, Step::Admit,
                      "the retained answers exceed their size limit");
    }
    return Done{};
}

void Coordinator::submit(const SubmitRequest &request, const Reply<SubmitReply> &reply)
{
    TeamId team;
    Status status = this->checkLeadership(Step::Admit);
    if (ok(status)) {
        status = this->admit(request.caller, request.spec, team);
    }
    if (!ok(status) && this->state.requests().find(team, request.caller.request)) {
        // An earlier submission with this id was accepted, so its tasks may have run.
        Error refusal = errorOf(status);
        refusal.outcome = Outcome::Unknown;
        status = refusal;
    }
    if (!ok(status)) {
        spdlog::info("decision=admission request={} queue={} accepted=false {}",
                     request.caller.request.value, request.spec.queue.value,
                     describe(errorOf(status)));
        this->observer.requestRefused(errorOf(status).code);
        reply(errorOf(status));
        return;
    }
    const Submit command{.request = request.caller.request, .team = team, .spec = request.spec};
    this->log.propose(command, [this, reply, command](const ApplyOutcome &outcome) {
        if (!ok(outcome)) {
            reply(errorOf(outcome));
            return;
        }
        const JobId id = std::get<JobId>(valueOf(outcome));
        spdlog::info("decision=admission request={} queue={} accepted=true job={}",
                     command.request.value, command.spec.queue.value, id.value);
        if (const auto job = this->state.jobs().find(id)) {
            this->enqueuePending(*job);
        }
        reply(SubmitReply{.job = id});
    });
}

Result<JobRecord> Coordinator::job(const Caller &caller, const JobId &id) const
{
    if (Status status = this->checkLeadership(Step::Answer); !ok(status)) {
        return errorOf(status);
    }
    if (!caller.credential.empty()) {
        const Result<TeamId> team = this->state.config().authenticate(caller.credential);
        if (!ok(team)) {
            return errorOf(team);
        }
    }
    auto found = this->state.jobs().find(id);
    // The same error as for a missing job, so that jobs of other teams are not revealed.
    if (!found || !this->mayRead(caller, *found)) {
        return refuse(ErrorCode::NotFound, Step::Answer,
                      "job " + std::to_string(id.value) + " does not exist for this caller");
    }
    return std::move(*found);
}

void Coordinator::awaitJob(const Caller &caller, const JobId &id, std::chrono::milliseconds wait,
                           const Reply<JobRecord> &reply)
{
    Result<JobRecord> found = this->job(caller, id);
    if (!ok(found) || valueOf(found).ended()) {
        reply(found);
        return;
    }
    {
        WaiterShard &shard = this->waiterShard(id);
        const std::lock_guard lock(shard.mutex);
        shard.waiters.emplace(id,
                              Waiter{.deadline = this->clock.steadyNow() + wait, .reply = reply});
    }
    // The job may have ended between the lookup and the registration of the waiter.
    found = this->job(caller, id);
    if (!ok(found) || valueOf(found).ended()) {
        this->replyToWaiters(id);
    }
}

void Coordinator::cancel(const Caller &caller, const JobId &id, const Reply<Done> &reply)
{
    const Result<JobRecord> found = this->job(caller, id);
    if (!ok(found)) {
        reply(errorOf(found));
        return;
    }
    this->log.propose(Cancel{.job = id}, [this, id, reply](const ApplyOutcome &outcome) {
        if (!ok(outcome)) {
            reply(errorOf(outcome));
            return;
        }
        this->scheduler.removeJob(id);
        this->stopAttempts(id);
        this->replyToWaiters(id);
        reply(Done{});
    });
}

Result<Reason> Coordinator::explain(const Caller &caller, const JobId &id) const
{
    const Result<JobRecord> found = this->job(caller, id);
    if (!ok(found)) {
        return errorOf(found);
    }
    return this->scheduler.whyWaiting(id);
}

void Coordinator::applyConfig(ConfigVersion version, const std::string &text,
                              const std::string &fileName, const Reply<ConfigVersion> &reply)
{
    if (Status status = this->checkLeadership(Step::Admit); !ok(status)) {
        reply(errorOf(status));
        return;
    }
    const std::uint64_t changeDigest = digestOf(text);
    if (this->state.config().wasAccepted(version, changeDigest)) {
        // Merged over a later configuration, a resent change would look like a different one.
        reply(version);
        return;
    }
    const ConfigInForce base = this->state.config().configInForce();
    if (version.value > base.version.value + 1) {
        // Its predecessor is not in force yet, so the change would be merged over the wrong base.
        reply(refuse(ErrorCode::Conflict, Step::Admit,
                     "version " + std::to_string(version.value) + " can't follow version "
                         + std::to_string(base.version.value) + ", which is in force"));
        return;
    }
    Result<CellConfig> next = applyDeclaration(*base.config, text, fileName);
    if (!ok(next)) {
        reply(errorOf(next));
        return;
    }
    ApplyConfig command{
        .version = version, .config = std::move(valueOf(next)), .changeDigest = changeDigest};
    this->log.propose(std::move(command), [reply](const ApplyOutcome &outcome) {
        if (!ok(outcome)) {
            reply(errorOf(outcome));
            return;
        }
        const ConfigVersion applied = std::get<ConfigVersion>(valueOf(outcome));
        spdlog::info("event=config-applied version={}", applied.value);
        reply(applied);
    });
}

void Coordinator::grantKey(const Key &key, const Reply<Done> &reply)
{
    if (Status status = this->checkLeadership(Step::Admit); !ok(status)) {
        reply(errorOf(status));
        return;
    }
    this->log.propose(GrantKey{.key = key}, forwardDone(reply));
}

void Coordinator::withdrawKey(const KeyId &id, const Reply<Done> &reply)
{
    if (Status status = this->checkLeadership(Step::Admit); !ok(status)) {
        reply(errorOf(status));
        return;
    }
    this->log.propose(WithdrawKey{.id = id}, forwardDone(reply));
}

void Coordinator::setDomain(const FailureDomainId &domain, bool inService, const Reply<Done> &reply)
{
    if (Status status = this->checkLeadership(Step::Admit); !ok(status)) {
        reply(errorOf(status));
        return;
    }
    this->log.propose(SetDomain{.domain = domain, .inService = inService}, forwardDone(reply));
}

std::vector<TeamOverview> Coordinator::teamOverview() const
{
    const auto config = this->state.config().current();
    const Resources capacity = this->state.fleet().totalCapacity();
    std::vector<TeamOverview> overview;
    for (const Customer &customer : config->customers) {
        double weights = 0.0;
        for (const Team &team : customer.teams) {
            weights += team.share.weight;
        }
        for (const Team &team : customer.teams) {
            const Resources running = this->state.ledger().usage(team.id).running;
            overview.push_back(
                TeamOverview{.team = team.id,
                             .running = running,
                             .limit = team.limit,
                             .dominantShare = dominantShare(running, capacity),
                             .weight = customer.share.weight * team.share.weight / weights});
        }
    }
    return overview;
}

void Coordinator::replyToWaiters(const JobId &job)
{
    const auto record = this->state.jobs().find(job);
    if (!record || !record->ended()) {
        return;
    }
    std::vector<Waiter> due;
    {
        WaiterShard &shard = this->waiterShard(job);
        const std::lock_guard lock(shard.mutex);
        const auto [first, last] = shard.waiters.equal_range(job);
        for (auto it = first; it != last; ++it) {
            due.push_back(std::move(it->second));
        }
        shard.waiters.erase(first, last);
    }
    for (const Waiter &waiter : due) {
        waiter.reply(*record);
    }
}

void Coordinator::expireWaiters(SteadyTime now)
{
    std::vector<Waiter> due;
    for (WaiterShard &shard : this->waiterShards) {
        const std::lock_guard lock(shard.mutex);
        for (auto it = shard.waiters.begin(); it != shard.waiters.end();) {
            if (it->second.deadline <= now) {
                due.push_back(std::move(it->second));
                it = shard.waiters.erase(it);
            } else {
                ++it;
            }
        }
    }
    for (const Waiter &waiter : due) {
        waiter.reply(Error{.code = ErrorCode::DeadlineExceeded,
                           .step = Step::Answer,
                           .peer = {},
                           .message = "the job has not ended yet",
                           .outcome = Outcome::Unknown});
    }
}

Coordinator::SessionShard &Coordinator::sessionShard(const InstanceId &worker)
{
    return this->sessionShards.at(std::hash<InstanceId>{}(worker) % shardCount);
}

Coordinator::WaiterShard &Coordinator::waiterShard(const JobId &job)
{
    return this->waiterShards.at(job.value % shardCount);
}

} // namespace gooseberry
