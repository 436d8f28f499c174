#include <cluster/leader_service.h>

#include <algorithm>
#include <cctype>

#include <codec/codec.h>
#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

constexpr std::size_t maxIdLength = 64;
/** Short, since a cell gets its first configuration within seconds of its start. */
constexpr std::chrono::milliseconds configurationRetryDelay{500};

Error notLeader()
{
    return Error{.code = ErrorCode::NotLeader,
                 .step = Step::Answer,
                 .peer = {},
                 .message = "the leader's lease has expired",
                 .outcome = Outcome::NotRun};
}

CallerReply refusal(CallerOutcome outcome, const std::string &message)
{
    CallerReply reply;
    reply.outcome = outcome;
    reply.message = message;
    return reply;
}

} // namespace

bool isWorkflowId(const std::string &text)
{
    return !text.empty() && text.size() <= maxIdLength
        && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
               return std::isalnum(letter) != 0 || letter == '-' || letter == '_';
           });
}

LeaderService::LeaderService(const WorkflowState &initialState, CommandSink &initialLog,
                             Dispatcher &initialDispatcher)
    : state(initialState)
    , log(initialLog)
    , dispatcher(initialDispatcher)
{
}

void LeaderService::serve(const CallerRequest &request,
                          std::function<void(Result<CallerReply>)> done)
{
    const auto answer = [&](const CallerReply &reply) {
        if (this->log.holdsLease()) {
            done(reply);
        } else {
            done(notLeader());
        }
    };
    const std::shared_ptr<const RoutingConfig> config = this->state.config();
    if (config == nullptr) {
        CallerReply reply = refusal(CallerOutcome::NoConfiguration, "no configuration yet");
        reply.retryAfter = configurationRetryDelay;
        answer(reply);
        return;
    }
    const QueueRule *queue = findQueue(*config, request.host, request.path);
    if (queue == nullptr) {
        answer(refusal(CallerOutcome::UnknownQueue, "no queue has this host and path"));
        return;
    }
    const CustomerRule *customer = findCustomerByKey(*config, request.key);
    if (customer == nullptr && !queue->openToAll) {
        spdlog::info("event=caller-refused reason=unknown-key queue={} config={}", queue->name,
                     config->version.value);
        answer(refusal(CallerOutcome::UnknownKey, "the key is not known"));
        return;
    }
    const WorkflowId id(request.path.substr(queue->pathPrefix.size()));
    const bool isQueueRead = id.value.empty() && request.action == CallerAction::Read;
    if (!isQueueRead && !isWorkflowId(id.value)) {
        answer(refusal(CallerOutcome::Invalid, "the path names no valid workflow id"));
        return;
    }
    switch (request.action) {
    case CallerAction::Read:
        answer(this->read(*queue, config->version, id));
        return;
    case CallerAction::Submit:
        this->submit(request, *queue, customer == nullptr ? CustomerId{} : customer->id, id,
                     std::move(done));
        return;
    case CallerAction::Cancel:
        this->cancel(id, std::move(done));
        return;
    }
    answer(refusal(CallerOutcome::Invalid, "unknown action"));
}

CallerReply LeaderService::read(const QueueRule &queue, ConfigVersion config,
                                const WorkflowId &id) const
{
    CallerReply reply;
    if (id.value.empty()) {
        reply.outcome = CallerOutcome::QueueLength;
        reply.queued = this->state.queuedCount(queue.name);
        // The node that was asked logs the answer. Here, callers ask some hundred times a second.
        spdlog::debug("event=queue-length queue={} queued={} config={} state-time={}", queue.name,
                      reply.queued, config.value, this->state.time().time_since_epoch().count());
        return reply;
    }
    const std::optional<WorkflowStatus> status = this->state.status(id);
    if (!status) {
        return refusal(CallerOutcome::UnknownWorkflow, "no such workflow");
    }
    reply.outcome = CallerOutcome::Phase;
    reply.phase = status->phase;
    return reply;
}

void LeaderService::submit(const CallerRequest &request, const QueueRule &queue,
                           const CustomerId &customer, const WorkflowId &id,
                           std::function<void(Result<CallerReply>)> done)
{
    CallerReply accepted;
    accepted.outcome = CallerOutcome::Accepted;
    // A workflow in the leader's state is committed already, so a resend needs no new entry.
    if (this->state.status(id)) {
        if (this->log.holdsLease()) {
            done(accepted);
        } else {
            // It may well run, so this is no refusal.
            Error error = notLeader();
            error.outcome = Outcome::Unknown;
            done(error);
        }
        return;
    }
    const Result<WorkflowSpec> spec = decodeRecord<WorkflowSpec>(request.spec);
    const Status checked = ok(spec) ? checkSpec(valueOf(spec)) : Status(errorOf(spec));
    if (!ok(checked)) {
        done(refusal(CallerOutcome::Invalid, errorOf(checked).message));
        return;
    }
    AcceptWorkflow command{.id = id,
                           .queue = queue.name,
                           .upstream = queue.upstream,
                           .customer = customer,
                           .attempts = queue.attempts,
                           .spec = request.spec};
    this->log.propose(std::move(command),
                      [id, queue = queue.name, customer = customer.value, accepted,
                       done = std::move(done)](const Result<CommandOutcome> &result) {
                          if (!ok(result)) {
                              spdlog::info("event=workflow-not-stored workflow={} {}", id.value,
                                           describe(errorOf(result)));
                              done(errorOf(result));
                              return;
                          }
                          spdlog::info(
                              "event=workflow-accepted workflow={} queue={} customer={} new={}",
                              id.value, queue, customer, valueOf(result).changed);
                          done(accepted);
                      });
}

void LeaderService::cancel(const WorkflowId &id, std::function<void(Result<CallerReply>)> done)
{
    if (!this->state.status(id)) {
        const CallerReply unknown = refusal(CallerOutcome::UnknownWorkflow, "no such workflow");
        if (this->log.holdsLease()) {
            done(unknown);
        } else {
            done(notLeader());
        }
        return;
    }
    this->log.propose(CancelWorkflow{.id = id},
                      [id, done = std::move(done)](const Result<CommandOutcome> &result) {
                          if (!ok(result)) {
                              done(errorOf(result));
                              return;
                          }
                          spdlog::info("event=workflow-cancelled workflow={} changed={}", id.value,
                                       valueOf(result).changed);
                          CallerReply reply;
                          reply.outcome = CallerOutcome::Cancelled;
                          done(reply);
                      });
}

void LeaderService::propose(WorkflowCommand command,
                            std::function<void(Result<OperatorReply>)> done)
{
    this->log.propose(std::move(command),
                      [done = std::move(done)](const Result<CommandOutcome> &result) {
                          if (ok(result)) {
                              done(OperatorReply{.done = true, .document = {}});
                          } else {
                              done(errorOf(result));
                          }
                      });
}

void LeaderService::serve(const OperatorRequest &request,
                          std::function<void(Result<OperatorReply>)> done)
{
    switch (request.action) {
    case OperatorAction::PutConfig: {
        if (Status checked = checkConfig(request.config); !ok(checked)) {
            done(OperatorReply{.done = false, .document = errorOf(checked).message});
            return;
        }
        spdlog::info("event=config-proposed version={}", request.config.version.value);
        this->propose(PutConfig{.config = request.config}, std::move(done));
        return;
    }
    case OperatorAction::ReadConfig: {
        const std::shared_ptr<const RoutingConfig> config = this->state.config();
        OperatorReply reply;
        reply.done = config != nullptr;
        reply.document = config == nullptr ? std::string() : config->document;
        if (this->log.holdsLease()) {
            done(reply);
        } else {
            done(notLeader());
        }
        return;
    }
    case OperatorAction::Evacuate:
    case OperatorAction::EndEvacuation: {
        const bool evacuate = request.action == OperatorAction::Evacuate;
        spdlog::info("event=evacuation-proposed domain={} evacuate={} revision={}",
                     request.domain.value, evacuate, request.expectedRevision);
        this->log.propose(OrderEvacuation{.domain = request.domain,
                                          .evacuated = evacuate,
                                          .expectedRevision = request.expectedRevision},
                          [done = std::move(done)](const Result<CommandOutcome> &result) {
                              if (!ok(result)) {
                                  done(errorOf(result));
                                  return;
                              }
                              OperatorReply reply;
                              reply.done = valueOf(result).accepted.front();
                              reply.document = reply.done ? "" : "a later order is in force";
                              done(reply);
                          });
        return;
    }
    case OperatorAction::ReadEvacuation: {
        OperatorReply reply;
        reply.done = true;
        reply.revision = this->state.evacuationRevision(request.domain);
        if (this->log.holdsLease()) {
            done(reply);
        } else {
            done(notLeader());
        }
        return;
    }
    }
    done(OperatorReply{.done = false, .document = "unknown action"});
}

void LeaderService::serve(const std::vector<WorkerHeartbeat> &workers)
{
    for (const WorkerHeartbeat &heartbeat : workers) {
        const std::optional<WorkerRecord> known = this->state.worker(heartbeat.id);
        if (known && known->incarnation == heartbeat.incarnation) {
            this->dispatcher.heartbeatReceived(*known, heartbeat.clock);
        }
    }
}

void LeaderService::serve(const WorkerStatusReport &report,
                          const std::function<void(Result<WorkerStatusReply>)> &done)
{
    const WorkerStatusReply reply{.accepted = true, .reportAddress = std::nullopt};
    const std::optional<WorkerRecord> known = this->state.worker(report.worker.id);
    const auto finish = [done, reply](const Result<CommandOutcome> &result) {
        if (ok(result)) {
            done(reply);
        } else {
            done(errorOf(result));
        }
    };
    if (report.leaving) {
        if (!known
            || (report.worker.incarnation != WorkerIncarnation{}
                && known->incarnation != report.worker.incarnation)) {
            done(reply);
            return;
        }
        spdlog::info("event=worker-leaving worker={}", known->id.value);
        this->log.propose(ForgetWorker{.id = known->id, .incarnation = known->incarnation}, finish);
        return;
    }
    const bool late = known
        && (report.worker.incarnation < known->incarnation
            || (report.worker.incarnation == known->incarnation
                && report.worker.announcement < known->announcement));
    if (late) {
        spdlog::info("event=report-late worker={}", report.worker.id.value);
        done(reply);
        return;
    }
    if (known && isRepeatedAnnouncement(*known, report.worker)) {
        this->dispatcher.heartbeatReceived(report.worker, report.clock);
        if (this->log.holdsLease()) {
            done(reply);
        } else {
            done(notLeader());
        }
        return;
    }
    spdlog::info("event=worker-announced worker={} domain={} draining={} new={}",
                 report.worker.id.value, report.worker.domain.value, report.worker.draining,
                 !known);
    this->log.propose(AnnounceWorker{.worker = report.worker}, finish);
}

} // namespace gooseberry
