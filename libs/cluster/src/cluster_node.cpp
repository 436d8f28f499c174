#include <cluster/cluster_node.h>

#include <random>

#include <spdlog/spdlog.h>

#include "caller_reply.h"
#include "cluster_records.h"

namespace gooseberry {

namespace {

/** Heartbeats of the leader within one lease. */
constexpr int heartbeatsPerLease = 5;
/** The log growth that triggers a snapshot; a small part of the smallest disk. */
constexpr Bytes snapshotInterval{2LL * 1024 * 1024};
/** How long heartbeats are collected before they are forwarded; a part of their interval. */
constexpr std::chrono::milliseconds heartbeatBatchInterval{300};
/** How long forwarding may take, with retries. */
constexpr std::chrono::milliseconds heartbeatForwardTimeout{1000};

std::uint64_t randomNumber()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>{1}(device);
}

ReplicaSettings replicaSettings(const NodeSettings &settings)
{
    ReplicaSettings replica;
    replica.self = peerId(peerAddress(settings.host, settings.peerPort));
    replica.dataFolder = settings.dataFolder;
    for (const Address &seed : settings.seeds) {
        replica.initialMembership.voters.insert(peerId(peerAddress(seed.host, settings.peerPort)));
    }
    replica.bootstrap
        = settings.bootstrap && replica.initialMembership.voters.contains(replica.self);
    // The lease tolerates two lost heartbeats and a pause of 100 ms, as happens when the machine
    // has used up its processor quota. A failover takes the maximum election timeout and two
    // round trips.
    replica.leaderLease = settings.leaderLease;
    replica.heartbeatInterval = settings.leaderLease / heartbeatsPerLease;
    replica.minElectionTimeout = settings.leaderLease;
    replica.maxElectionTimeout = settings.leaderLease * 3 / 2;
    replica.snapshotInterval = snapshotInterval;
    replica.seed = randomNumber();
    return replica;
}

void logTaskFailure(const std::string &what)
{
    spdlog::error("event=task-failed what=\"{}\"", what);
}

template<typename Reply, typename Done>
std::function<void(Result<Reply>)> encodeReply(Done done)
{
    return [done = std::move(done)](const Result<Reply> &reply) {
        if (ok(reply)) {
            done(encodeRecord(valueOf(reply)));
        } else {
            done(errorOf(reply));
        }
    };
}

template<typename Reply>
Result<Reply> decodeReply(const LeaderAnswer &answer)
{
    return ok(answer.reply) ? decodeRecord<Reply>(valueOf(answer.reply)) : errorOf(answer.reply);
}

} // namespace

ClusterNode::ClusterNode(NodeSettings initialSettings, const Clock &initialClock,
                         Executor &initialExecutor, WorkerOrders &initialOrders,
                         AdviserAccess &initialAdviser)
    : settings(std::move(initialSettings))
    , clock(initialClock)
    , executor(initialExecutor)
    , adviser(initialAdviser)
    , state(this->settings.retention)
    , linkExecutor(1, logTaskFailure)
    , links(initialExecutor, this->linkExecutor, initialClock, this->settings,
            [this](RequestKind kind, const std::string &request,
                   std::function<void(Result<std::string>)> done) {
                this->serve(kind, request, std::move(done));
            })
    , router(this->links, initialAdviser)
    , log(this->state, initialClock, randomNumber(),
          LogEvents{.applied
                    = [this](const WorkflowCommand &command,
                             const CommandOutcome &outcome) { this->onApplied(command, outcome); },
                    .termBegan = [this](Term term) { this->dispatcher.beginTerm(term); },
                    .termEnded = [this]() { this->dispatcher.endTerm(); }})
    , dispatcher(
          this->settings.dispatch, initialClock, initialOrders, this->router, this->log,
          this->state,
          [&executor = initialExecutor](Duration delay, std::function<void()> task) {
              executor.after(delay, std::move(task));
          },
          this->nodeMetrics)
    , leaderService(this->state, this->log, this->dispatcher)
{
    if (this->settings.dataFolder) {
        this->replica = std::make_unique<Replica>(replicaSettings(this->settings), this->log,
                                                  this->links, this->clock);
        this->log.setReplica(this->replica.get());
        this->links.setReplica(this->replica.get());
    }
}

ClusterNode::~ClusterNode()
{
    this->stop();
}

Status ClusterNode::start()
{
    if (this->replica) {
        if (Status started = this->replica->start(); !ok(started)) {
            return started;
        }
    }
    return this->links.start();
}

void ClusterNode::prepareStop()
{
    this->stopping = true;
    if (this->replica && this->replica->holdsLease()) {
        this->replica->transferLeadership([](const Status &result) {
            spdlog::info("event=leadership-handed-over done={}", ok(result));
        });
    }
}

void ClusterNode::stop()
{
    this->stopping = true;
    this->links.stop();
    this->linkExecutor.stop();
    if (this->replica) {
        this->replica->stop();
    }
    this->dispatcher.endTerm();
}

void ClusterNode::setSeeds(const std::vector<Address> &seeds)
{
    this->links.setSeeds(seeds);
}

bool ClusterNode::ready() const
{
    return !this->stopping && this->links.leader().has_value();
}

void ClusterNode::handle(const CallerRequest &request, std::chrono::milliseconds timeout,
                         std::function<void(CallerReply)> done)
{
    if (request.action != CallerAction::Read && request.senderLeft && request.senderLeft()) {
        // The caller may have cancelled the submission, or learned that it isn't known, since.
        spdlog::info("event=caller-left path={}", request.path);
        CallerReply reply;
        // Another node may have a copy of a submission.
        reply.outcome = request.action == CallerAction::Submit ? CallerOutcome::OutcomeUnknown
                                                               : CallerOutcome::Unavailable;
        reply.message = "the caller has closed the connection";
        done(reply);
        return;
    }
    this->links.callLeader(
        RequestKind::Caller, encodeRecord(request), this->clock.steadyNow() + timeout,
        [this, action = request.action, path = request.path, requestedAt = this->clock.steadyNow(),
         done = std::move(done)](const LeaderAnswer &answer) {
            const CallerReply reply = callerReply(action, answer);
            if (!ok(answer.reply) || (answer.attempts.size() > 1 && isRefusal(reply))
                || reply.outcome == CallerOutcome::OutcomeUnknown) {
                const std::string cause = ok(answer.reply) ? "reason=\"" + reply.message + '"'
                                                           : describe(errorOf(answer.reply));
                spdlog::info("event=caller-not-served path={} {} {}", path, cause,
                             describeAttempts(answer.attempts));
            }
            const Duration elapsed = this->clock.steadyNow() - requestedAt;
            if (reply.outcome == CallerOutcome::QueueLength) {
                spdlog::info("event=queue-length-answered path={} queued={} elapsed={}ms {}", path,
                             reply.queued,
                             std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count(),
                             describeAttempts(answer.attempts));
            }
            this->nodeMetrics.callerAnswered(reply.outcome, elapsed);
            done(reply);
        });
}

void ClusterNode::handle(const WorkerStatusReport &report, std::chrono::milliseconds timeout,
                         std::function<void(Result<WorkerStatusReply>)> done)
{
    const std::optional<WorkerRecord> known
        = report.leaving ? std::nullopt : this->state.worker(report.worker.id);
    if (known && isRepeatedAnnouncement(*known, report.worker) && this->links.leader()) {
        // The record is unchanged, so the reply need not wait for the leader. The leader gets the
        // heartbeat with the next batch.
        {
            const std::lock_guard lock(this->heartbeatMutex);
            this->pendingHeartbeats.push_back(WorkerHeartbeat{
                .id = known->id, .incarnation = known->incarnation, .clock = report.clock});
            if (!this->forwardScheduled) {
                this->forwardScheduled = true;
                this->executor.after(heartbeatBatchInterval,
                                     [this]() { this->forwardHeartbeats(); });
            }
        }
        done(WorkerStatusReply{.accepted = true, .reportAddress = std::nullopt});
        return;
    }
    this->links.callLeader(RequestKind::Announcement, encodeRecord(report),
                           this->clock.steadyNow() + timeout,
                           [done = std::move(done)](const LeaderAnswer &answer) {
                               done(decodeReply<WorkerStatusReply>(answer));
                           });
}

void ClusterNode::forwardHeartbeats()
{
    std::vector<WorkerHeartbeat> workers;
    {
        const std::lock_guard lock(this->heartbeatMutex);
        workers.swap(this->pendingHeartbeats);
        this->forwardScheduled = false;
    }
    if (this->stopping) {
        return;
    }
    this->links.callLeader(RequestKind::Heartbeats, encodeRecord(workers),
                           this->clock.steadyNow() + heartbeatForwardTimeout,
                           [count = workers.size()](const LeaderAnswer &answer) {
                               if (!ok(answer.reply)) {
                                   spdlog::info("event=heartbeats-not-forwarded workers={} {}",
                                                count, describe(errorOf(answer.reply)));
                               }
                           });
}

void ClusterNode::serve(RequestKind kind, const std::string &request,
                        std::function<void(Result<std::string>)> done)
{
    const auto withDecoded = [&](const auto &content, const auto &handler) {
        if (ok(content)) {
            handler(valueOf(content));
        } else {
            spdlog::warn("event=request-not-readable {}", describe(errorOf(content)));
            done(errorOf(content));
        }
    };
    if (kind == RequestKind::Advice) {
        withDecoded(decodeRecord<ForwardedAdviceRequest>(request),
                    [&](const ForwardedAdviceRequest &forwarded) {
                        this->adviser.advise(forwarded.request, forwarded.expected,
                                             encodeReply<AdviceReply>(std::move(done)));
                    });
        return;
    }
    if (!this->log.holdsLease()) {
        done(Error{.code = ErrorCode::NotLeader,
                   .step = Step::Forward,
                   .peer = this->links.self().value,
                   .message = "this node is not the leader",
                   .outcome = Outcome::NotRun});
        return;
    }
    switch (kind) {
    case RequestKind::Caller:
        withDecoded(decodeRecord<CallerRequest>(request), [&](const CallerRequest &content) {
            this->leaderService.serve(content, encodeReply<CallerReply>(std::move(done)));
        });
        return;
    case RequestKind::Operator:
        withDecoded(decodeRecord<OperatorRequest>(request), [&](const OperatorRequest &content) {
            this->leaderService.serve(content, encodeReply<OperatorReply>(std::move(done)));
        });
        return;
    case RequestKind::Announcement:
        withDecoded(
            decodeRecord<WorkerStatusReport>(request), [&](const WorkerStatusReport &content) {
                this->leaderService.serve(content, encodeReply<WorkerStatusReply>(std::move(done)));
            });
        return;
    case RequestKind::Heartbeats:
        withDecoded(decodeRecord<std::vector<WorkerHeartbeat>>(request),
                    [&](const std::vector<WorkerHeartbeat> &content) {
                        this->leaderService.serve(content);
                        done(std::string());
                    });
        return;
    case RequestKind::Advice:
        break;
    }
    done(Error{.code = ErrorCode::InvalidArgument,
               .step = Step::Forward,
               .peer = {},
               .message = "unknown kind of request",
               .outcome = Outcome::NotRun});
}

void ClusterNode::onApplied(const WorkflowCommand &command, const CommandOutcome &outcome)
{
    if (const auto *const accepted = std::get_if<AcceptWorkflow>(&command)) {
        if (outcome.changed) {
            this->dispatcher.workflowAccepted(accepted->id);
        }
    } else if (const auto *const cancelled = std::get_if<CancelWorkflow>(&command)) {
        if (outcome.changed) {
            this->dispatcher.workflowCancelled(cancelled->id);
        }
    } else if (const auto *const announced = std::get_if<AnnounceWorker>(&command)) {
        if (outcome.changed) {
            this->dispatcher.workerAnnounced(announced->worker);
        }
    } else if (const auto *const forgotten = std::get_if<ForgetWorker>(&command)) {
        this->dispatcher.workerForgotten(forgotten->id, forgotten->incarnation);
    } else if (const auto *const config = std::get_if<PutConfig>(&command)) {
        spdlog::info("event=config-applied version={} in-force={}", config->config.version.value,
                     outcome.changed);
        this->dispatcher.configurationChanged();
    } else if (const auto *const evacuation = std::get_if<SetEvacuation>(&command)) {
        spdlog::info("event=evacuation-applied domain={} evacuated={}", evacuation->domain.value,
                     evacuation->evacuated);
        this->dispatcher.configurationChanged();
    } else if (const auto *const order = std::get_if<OrderEvacuation>(&command)) {
        spdlog::info("event=evacuation-applied domain={} evacuated={} revision={} in-force={}",
                     order->domain.value, order->evacuated, order->expectedRevision,
                     outcome.accepted.front());
        this->dispatcher.configurationChanged();
    }
}

std::string ClusterNode::metrics() const
{
    NodeStats stats;
    stats.leaderKnown = this->links.leader().has_value();
    stats.hasLog = this->replica != nullptr;
    if (this->replica) {
        const ReplicaStatus status = this->replica->status();
        const auto disk = status.membership.disks.find(this->links.self());
        stats.isLeader = this->replica->holdsLease();
        stats.isVoter = disk != status.membership.disks.end() && disk->second == status.disk
            && status.membership.voters.contains(this->links.self());
        stats.term = status.term.value;
        stats.voters = status.membership.voters.size();
        stats.committedIndex = status.committed.value;
    }
    stats.failedTasks = this->executor.failedTasks() + this->linkExecutor.failedTasks();
    stats.upstreams = this->dispatcher.stats();
    return this->nodeMetrics.serialize(stats);
}

} // namespace gooseberry
