#include <cell/coordinator.h>

#include <algorithm>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/**
 * The number of lease generations by which a start may lag behind before its worker refuses it.
 * docs/api.md states the rule for workers; both must use the same number.
 */
constexpr std::uint64_t maxStartLag = 3;
/** Lease generations after which a worker's reports must list a start that it accepted. */
constexpr std::uint64_t acknowledgedLag = 2;

EndCause endCause(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Succeeded:
        return EndCause::Succeeded;
    case AttemptResult::Failed:
        return EndCause::Failed;
    case AttemptResult::Stopped:
        break;
    }
    return EndCause::Stopped;
}

Error unknownWorker(const InstanceId &worker)
{
    return Error{.code = ErrorCode::NotFound,
                 .step = Step::Receive,
                 .peer = worker.value,
                 .message = "the worker must announce itself first",
                 .outcome = Outcome::NotRun};
}

} // namespace

void Coordinator::announce(const InstanceSpec &instance, const WorkerReport &report,
                           const Reply<WorkerLease> &reply)
{
    if (Status status = this->checkLeadership(Step::Receive); !ok(status)) {
        reply(errorOf(status));
        return;
    }
    this->log.propose(
        Announce{.instance = instance},
        [this, instance, report, reply](const ApplyOutcome &outcome) {
            if (!ok(outcome)) {
                reply(errorOf(outcome));
                return;
            }
            std::vector<Placement> lost;
            WorkerLease lease;
            {
                SessionShard &shard = this->sessionShard(instance.id);
                const std::lock_guard lock(shard.mutex);
                Session &session = shard.sessions[instance.id];
                session.worker = instance.id;
                if (session.incarnation != report.incarnation) {
                    // Attempts of the previous incarnation are lost unless the new one reports
                    // them.
                    for (const auto &[attempt, sent] : session.starts) {
                        if (std::find(report.held.begin(), report.held.end(), attempt)
                            == report.held.end()) {
                            lost.push_back(Placement{.attempt = attempt, .instance = instance.id});
                        }
                    }
                    session.incarnation = report.incarnation;
                    // Outdates starts to the previous incarnation, which may still arrive here.
                    session.generation += maxStartLag;
                }
                lease = this->renewLease(session, report, lost);
            }
            spdlog::info("event=worker-announced worker={} domain={} address={} lost={}",
                         instance.id.value, instance.domain.value,
                         toString(instance.upstream.address), lost.size());
            for (const Placement &placement : lost) {
                this->proposeRelease(placement, true, "worker restarted");
            }
            lease.stop = this->attemptsToStop(report);
            reply(lease);
        });
}

void Coordinator::heartbeat(const WorkerReport &report, const Reply<WorkerLease> &reply)
{
    if (Status status = this->checkLeadership(Step::Receive); !ok(status)) {
        reply(errorOf(status));
        return;
    }
    std::vector<Placement> lost;
    WorkerLease lease;
    {
        SessionShard &shard = this->sessionShard(report.worker);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.sessions.find(report.worker);
        const auto instance = this->state.fleet().find(report.worker);
        if (found == shard.sessions.end() || !instance
            || instance->spec.upstream.incarnation != report.incarnation) {
            reply(unknownWorker(report.worker));
            return;
        }
        found->second.incarnation = report.incarnation;
        lease = this->renewLease(found->second, report, lost);
    }
    for (const Placement &placement : lost) {
        this->proposeRelease(placement, true, "worker does not report the attempt");
    }
    lease.stop = this->attemptsToStop(report);
    reply(lease);
}

WorkerLease Coordinator::renewLease(Session &session, const WorkerReport &report,
                                    std::vector<Placement> &lost)
{
    const Term term = this->leadership().term;
    session.lease = Lease{.holder = session.worker,
                          .grantedAt = this->clock.steadyNow(),
                          .length = this->settings.workerLease};
    session.expired = false;
    this->state.fleet().setReachable(session.worker, true);
    if (report.seenTerm == term) {
        for (auto it = session.starts.begin(); it != session.starts.end();) {
            const bool held
                = std::find(report.held.begin(), report.held.end(), it->first) != report.held.end();
            if (!held && report.seenGeneration >= it->second.conclusiveGeneration) {
                lost.push_back(Placement{.attempt = it->first, .instance = session.worker});
                it = session.starts.erase(it);
            } else {
                ++it;
            }
        }
    }
    ++session.generation;
    return WorkerLease{.term = term,
                       .generation = session.generation,
                       .length = this->settings.workerLease,
                       .stop = {}};
}

std::vector<AttemptId> Coordinator::attemptsToStop(const WorkerReport &report) const
{
    std::vector<AttemptId> stop;
    for (const AttemptId &held : report.held) {
        const auto view = this->state.jobs().findTask(held.task);
        const bool wanted = view && view->task.state == TaskState::Running
            && view->task.attempt == held.attempt && view->task.instance == report.worker
            && !view->cancelRequested;
        if (!wanted) {
            stop.push_back(held);
        }
    }
    return stop;
}

void Coordinator::finish(const Placement &placement, AttemptResult result, std::string answer,
                         const Reply<Done> &reply)
{
    if (Status status = this->checkLeadership(Step::Answer); !ok(status)) {
        reply(errorOf(status));
        return;
    }
    Finish command{.placement = placement, .result = result, .answer = std::move(answer)};
    this->log.propose(
        std::move(command), [this, placement, result, reply](const ApplyOutcome &outcome) {
            if (!ok(outcome)) {
                reply(errorOf(outcome));
                return;
            }
            spdlog::info("event=attempt-ended attempt={} worker={} result={}",
                         toString(placement.attempt), placement.instance.value, toString(result));
            this->onAttemptEnded(placement, endCause(result));
            reply(Done{});
        });
}

void Coordinator::depart(const InstanceId &worker, const Reply<Done> &reply)
{
    if (Status status = this->checkLeadership(Step::Receive); !ok(status)) {
        reply(errorOf(status));
        return;
    }
    this->log.propose(Depart{.instance = worker}, [reply, worker](const ApplyOutcome &outcome) {
        if (!ok(outcome)) {
            reply(errorOf(outcome));
            return;
        }
        spdlog::info("event=worker-departing worker={}", worker.value);
        reply(Done{});
    });
}

void Coordinator::sendStart(const Placement &placement)
{
    const auto instance = this->state.fleet().find(placement.instance);
    const auto view = this->state.jobs().findTask(placement.attempt.task);
    // Checked again right before sending: since the commit, this leader may have been paused, and
    // operators may have taken the failure domain out of service.
    const bool mayStart = instance && view && ok(this->checkLeadership(Step::Send))
        && !this->state.config().isOutOfService(instance->spec.domain) && !view->cancelRequested
        && isCurrentAttempt(view->task, placement);
    if (!mayStart) {
        this->proposeRelease(placement, false, "start not sent");
        return;
    }
    StartMessage message;
    message.attempt = placement.attempt;
    message.term = this->leadership().term;
    message.incarnation = instance->spec.upstream.incarnation;
    message.spec = view->spec;
    {
        SessionShard &shard = this->sessionShard(placement.instance);
        const std::lock_guard lock(shard.mutex);
        Session &session = shard.sessions[placement.instance];
        message.leaseGeneration = session.generation;
        session.starts[placement.attempt] = SentStart{
            .conclusiveGeneration = session.generation + maxStartLag + 1, .acknowledged = false};
    }
    this->observer.taskStarted(view->spec->jobClass, view->team,
                               view->task.startedAt - view->submittedAt);
    this->port.sendStart(
        placement.instance, instance->spec.upstream.address, message,
        [this, placement](const Status &status) { this->onStartSent(placement, status); });
}

void Coordinator::stopAttempts(const JobId &job)
{
    const auto record = this->state.jobs().find(job);
    if (!record) {
        return;
    }
    for (std::uint32_t index = 0; index < record->tasks.size(); ++index) {
        const TaskRecord &task = record->tasks[index];
        const auto instance = this->state.fleet().find(task.instance);
        if (task.state == TaskState::Running && instance) {
            this->port.sendStop(
                instance->spec.upstream.address,
                AttemptId{.task = TaskId{.job = job, .index = index}, .attempt = task.attempt});
        }
    }
}

void Coordinator::onStartSent(const Placement &placement, const Status &status)
{
    const bool refused = !ok(status) && errorOf(status).outcome == Outcome::NotRun;
    {
        SessionShard &shard = this->sessionShard(placement.instance);
        const std::lock_guard lock(shard.mutex);
        Session &session = shard.sessions[placement.instance];
        const auto found = session.starts.find(placement.attempt);
        if (found != session.starts.end() && refused) {
            session.starts.erase(found);
        } else if (found != session.starts.end() && ok(status)) {
            found->second.acknowledged = true;
            found->second.conclusiveGeneration = session.generation + acknowledgedLag;
        }
    }
    if (!ok(status)) {
        spdlog::warn("event=start-not-acknowledged attempt={} worker={} {}",
                     toString(placement.attempt), placement.instance.value,
                     describe(errorOf(status)));
    }
    if (refused) {
        // Counted as a failure, so that a worker that refuses every start is quarantined.
        this->proposeRelease(placement, false, "start refused", EndCause::Failed);
    }
}

void Coordinator::proposeRelease(const Placement &placement, bool mayHaveRun,
                                 const std::string &cause, EndCause end)
{
    spdlog::warn("decision=release attempt={} worker={} mayHaveRun={} cause=\"{}\"",
                 toString(placement.attempt), placement.instance.value, mayHaveRun, cause);
    this->log.propose(Release{.placement = placement, .mayHaveRun = mayHaveRun},
                      [this, placement, end](const ApplyOutcome &outcome) {
                          if (ok(outcome)) {
                              this->onAttemptEnded(placement, end);
                          }
                      });
}

void Coordinator::onAttemptEnded(const Placement &placement, EndCause cause)
{
    {
        SessionShard &shard = this->sessionShard(placement.instance);
        const std::lock_guard lock(shard.mutex);
        if (const auto found = shard.sessions.find(placement.instance);
            found != shard.sessions.end()) {
            found->second.starts.erase(placement.attempt);
        }
    }
    this->recordEnd(placement, cause);
    this->requeue(placement.attempt.task);
    this->replyToWaiters(placement.attempt.task.job);
    this->observer.workAvailable();
}

void Coordinator::expireLeases(SteadyTime now)
{
    std::vector<Placement> lost;
    for (SessionShard &shard : this->sessionShards) {
        const std::lock_guard lock(shard.mutex);
        for (auto &[worker, session] : shard.sessions) {
            // A start that was committed before the lease expired may be sent after it, so an
            // expired session with starts is processed again.
            if (granterExpiry(session.lease) > now || (session.expired && session.starts.empty())) {
                continue;
            }
            session.expired = true;
            // The attempts are released here, so the worker must refuse starts that are still in
            // flight when it reports again.
            session.generation += maxStartLag + 1;
            this->state.fleet().setReachable(worker, false);
            spdlog::warn("event=worker-lease-expired worker={} attempts={}", worker.value,
                         session.starts.size());
            for (const auto &[attempt, sent] : session.starts) {
                lost.push_back(Placement{.attempt = attempt, .instance = worker});
            }
            session.starts.clear();
        }
    }
    for (const Placement &placement : lost) {
        this->proposeRelease(placement, true, "worker lease expired");
    }
}

} // namespace gooseberry
