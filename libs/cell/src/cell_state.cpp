#include <cell/cell_state.h>

namespace gooseberry {

namespace {

Error refuse(ErrorCode code, Step step, const std::string &message)
{
    return Error{
        .code = code, .step = step, .peer = {}, .message = message, .outcome = Outcome::NotRun};
}

Error unknownJob(const JobId &id)
{
    return refuse(ErrorCode::NotFound, Step::Commit,
                  "job " + std::to_string(id.value) + " does not exist");
}

Error staleAttempt(const Placement &placement)
{
    return refuse(ErrorCode::Conflict, Step::Commit,
                  "attempt " + toString(placement.attempt) + " does not run on "
                      + placement.instance.value);
}

/** Returns whether the report repeats one that already ended this attempt with success. */
bool isRepeatedSuccess(const JobRecord &job, const Finish &finish)
{
    const std::uint32_t index = finish.placement.attempt.task.index;
    if (index >= job.tasks.size()) {
        return false;
    }
    const TaskRecord &task = job.tasks[index];
    return task.attempt == finish.placement.attempt.attempt
        && task.instance == finish.placement.instance && task.state == TaskState::Succeeded
        && finish.result == AttemptResult::Succeeded;
}

ApplyOutcome toOutcome(const Status &status)
{
    if (!ok(status)) {
        return errorOf(status);
    }
    return AppliedValue(Done{});
}

TaskState stateAfter(const JobRecord &job, const TaskRecord &task, AttemptResult result)
{
    switch (result) {
    case AttemptResult::Succeeded:
        return TaskState::Succeeded;
    case AttemptResult::Stopped:
        if (job.cancelRequested) {
            return TaskState::Cancelled;
        }
        return job.spec->repeatable ? TaskState::Pending : TaskState::Unknown;
    case AttemptResult::Failed:
        break;
    }
    const bool mayRetry = job.spec->repeatable && task.failures < job.spec->maxAttempts;
    if (job.cancelRequested) {
        return TaskState::Cancelled;
    }
    return mayRetry ? TaskState::Pending : TaskState::Failed;
}

} // namespace

std::string toString(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Succeeded:
        return "succeeded";
    case AttemptResult::Failed:
        return "failed";
    case AttemptResult::Stopped:
        return "stopped";
    }
    return "invalid";
}

ApplyOutcome CellState::apply(const StampedCommand &stamped)
{
    if (stamped.at > this->latestTime.load()) {
        this->latestTime.store(stamped.at);
    }
    return std::visit(
        [this, &stamped](const auto &command) { return this->execute(command, stamped.at); },
        stamped.command);
}

CellTime CellState::time() const
{
    return this->latestTime.load();
}

Bytes CellState::answerBytes() const
{
    return Bytes(this->retainedAnswerBytes.load());
}

ApplyOutcome CellState::execute(const ApplyConfig &command, CellTime /*at*/)
{
    const Result<ConfigVersion> applied
        = this->configTable.apply(command.version, command.config, command.changeDigest);
    if (!ok(applied)) {
        return errorOf(applied);
    }
    return AppliedValue(valueOf(applied));
}

ApplyOutcome CellState::execute(const GrantKey &command, CellTime /*at*/)
{
    return toOutcome(this->configTable.grant(command.key));
}

ApplyOutcome CellState::execute(const WithdrawKey &command, CellTime /*at*/)
{
    return toOutcome(this->configTable.withdraw(command.id));
}

ApplyOutcome CellState::execute(const SetDomain &command, CellTime /*at*/)
{
    return toOutcome(this->configTable.setDomain(command.domain, command.inService));
}

ApplyOutcome CellState::execute(const Submit &command, CellTime at)
{
    if (Status status = checkJobSpec(command.spec); !ok(status)) {
        return errorOf(status);
    }
    const JobId next(this->lastJob.value + 1);
    if (const auto earlier = this->requestTable.insert(command.team, command.request, next)) {
        const auto job = this->jobTable.find(*earlier);
        if (job && !(*job->spec == command.spec)) {
            return refuse(ErrorCode::Conflict, Step::Commit,
                          "request id " + command.request.value + " was used with other content");
        }
        return AppliedValue(*earlier);
    }
    this->lastJob = next;
    JobRecord record;
    record.id = next;
    record.request = command.request;
    record.team = command.team;
    record.spec = std::make_shared<const JobSpec>(command.spec);
    record.tasks.resize(command.spec.taskCount);
    record.submittedAt = at;
    this->jobTable.insert(std::move(record));
    return AppliedValue(next);
}

ApplyOutcome CellState::execute(const Start &command, CellTime at)
{
    std::vector<PlacementOutcome> outcomes;
    const auto config = this->configTable.current();
    const bool known = this->jobTable.withJob(command.job, [&](JobRecord &job) {
        const Team *team = findTeam(*config, job.team);
        const Limit limit = team != nullptr ? team->limit : Limit{};
        bool allStarted = true;
        for (const Placement &placement : command.placements) {
            Status status = this->startAttempt(job, placement, limit, at);
            allStarted = allStarted && ok(status);
            outcomes.push_back(PlacementOutcome{.placement = placement, .status = status});
        }
        const bool gang = job.spec->jobClass == JobClass::Gang;
        for (const TaskRecord &task : job.tasks) {
            // A scheduling round that sees only part of a gang must not start that part alone.
            allStarted = allStarted && !(gang && task.state == TaskState::Pending);
        }
        if (allStarted || !(command.allOrNone || gang)) {
            return;
        }
        for (PlacementOutcome &outcome : outcomes) {
            if (ok(outcome.status)) {
                this->undoStart(job, outcome.placement);
                outcome.status = refuse(ErrorCode::LimitExceeded, Step::Commit,
                                        "another task of the job could not start");
            }
        }
    });
    if (!known) {
        return unknownJob(command.job);
    }
    return AppliedValue(std::move(outcomes));
}

Status CellState::checkStart(const JobRecord &job, const Placement &placement) const
{
    const std::uint32_t index = placement.attempt.task.index;
    if (index >= job.tasks.size() || job.tasks[index].state != TaskState::Pending
        || placement.attempt.attempt.value != job.tasks[index].attempt.value + 1) {
        return staleAttempt(placement);
    }
    if (job.cancelRequested) {
        return refuse(ErrorCode::Conflict, Step::Commit, "the job was cancelled");
    }
    const auto instance = this->fleetTable.find(placement.instance);
    if (instance && this->configTable.isOutOfService(instance->spec.domain)) {
        return refuse(ErrorCode::Unavailable, Step::Commit,
                      "failure domain " + instance->spec.domain.value + " is out of service");
    }
    return Done{};
}

Status CellState::startAttempt(JobRecord &job, const Placement &placement, const Limit &limit,
                               CellTime at)
{
    if (Status status = this->checkStart(job, placement); !ok(status)) {
        return status;
    }
    const Resources &amount = job.spec->perTask;
    if (Status status = this->teamLedger.addRunning(job.team, amount, limit); !ok(status)) {
        return status;
    }
    if (Status status = this->fleetTable.allocate(placement.instance, amount); !ok(status)) {
        this->teamLedger.removeRunning(job.team, amount);
        return status;
    }
    TaskRecord &task = job.tasks[placement.attempt.task.index];
    task.state = TaskState::Running;
    task.attempt = placement.attempt.attempt;
    task.instance = placement.instance;
    task.startedAt = at;
    return Done{};
}

void CellState::undoStart(JobRecord &job, const Placement &placement)
{
    TaskRecord &task = job.tasks[placement.attempt.task.index];
    this->teamLedger.removeRunning(job.team, job.spec->perTask);
    this->fleetTable.deallocate(placement.instance, job.spec->perTask);
    // The attempt number is not reset, so that it never identifies two different starts.
    task.state = TaskState::Pending;
}

ApplyOutcome CellState::execute(const Finish &command, CellTime at)
{
    ApplyOutcome outcome = AppliedValue(Done{});
    const std::uint32_t index = command.placement.attempt.task.index;
    const bool known
        = this->jobTable.withJob(command.placement.attempt.task.job, [&](JobRecord &job) {
              if (!isCurrentAttempt(job, command.placement)) {
                  if (!isRepeatedSuccess(job, command)) {
                      outcome = staleAttempt(command.placement);
                  }
                  return;
              }
              TaskRecord &task = job.tasks[index];
              if (command.result == AttemptResult::Failed) {
                  ++task.failures;
              }
              const TaskState next = stateAfter(job, task, command.result);
              if (isEnded(next)) {
                  task.answer = std::make_shared<const std::string>(command.answer);
                  this->retainedAnswerBytes += static_cast<std::int64_t>(command.answer.size());
              }
              this->endAttempt(job, index, next, at);
          });
    return known ? outcome : ApplyOutcome(unknownJob(command.placement.attempt.task.job));
}

ApplyOutcome CellState::execute(const Release &command, CellTime at)
{
    ApplyOutcome outcome = AppliedValue(Done{});
    const std::uint32_t index = command.placement.attempt.task.index;
    const bool known
        = this->jobTable.withJob(command.placement.attempt.task.job, [&](JobRecord &job) {
              if (!isCurrentAttempt(job, command.placement)) {
                  outcome = staleAttempt(command.placement);
                  return;
              }
              TaskState next = TaskState::Pending;
              if (command.mayHaveRun && !job.spec->repeatable) {
                  next = TaskState::Unknown;
              } else if (job.cancelRequested) {
                  next = TaskState::Cancelled;
              }
              this->endAttempt(job, index, next, at);
          });
    return known ? outcome : ApplyOutcome(unknownJob(command.placement.attempt.task.job));
}

ApplyOutcome CellState::execute(const Cancel &command, CellTime at)
{
    const bool known = this->jobTable.withJob(command.job, [&](JobRecord &job) {
        if (job.ended()) {
            return;
        }
        job.cancelRequested = true;
        for (TaskRecord &task : job.tasks) {
            if (task.state == TaskState::Pending) {
                task.state = TaskState::Cancelled;
                task.endedAt = at;
                ++job.endedTasks;
            }
        }
        if (job.ended()) {
            job.endedAt = at;
        }
    });
    return known ? ApplyOutcome(AppliedValue(Done{})) : ApplyOutcome(unknownJob(command.job));
}

ApplyOutcome CellState::execute(const Announce &command, CellTime /*at*/)
{
    if (findDomain(*this->configTable.current(), command.instance.domain) == nullptr) {
        return refuse(ErrorCode::InvalidArgument, Step::Commit,
                      "failure domain " + command.instance.domain.value + " does not exist");
    }
    this->fleetTable.announce(command.instance);
    return AppliedValue(Done{});
}

ApplyOutcome CellState::execute(const Depart &command, CellTime /*at*/)
{
    this->fleetTable.depart(command.instance);
    this->removeIfDeparted(command.instance);
    return AppliedValue(Done{});
}

ApplyOutcome CellState::execute(const Expire &command, CellTime /*at*/)
{
    for (const JobRecord &job : this->jobTable.removeEnded(command.endedBefore)) {
        this->requestTable.remove(job.team, job.request);
        for (const TaskRecord &task : job.tasks) {
            if (task.answer) {
                this->retainedAnswerBytes -= static_cast<std::int64_t>(task.answer->size());
            }
        }
    }
    return AppliedValue(Done{});
}

void CellState::endAttempt(JobRecord &job, std::uint32_t index, TaskState next, CellTime at)
{
    TaskRecord &task = job.tasks[index];
    this->teamLedger.removeRunning(job.team, job.spec->perTask);
    this->fleetTable.deallocate(task.instance, job.spec->perTask);
    this->removeIfDeparted(task.instance);
    task.state = next;
    if (isEnded(next)) {
        task.endedAt = at;
        ++job.endedTasks;
        if (job.ended()) {
            job.endedAt = at;
        }
    }
}

void CellState::removeIfDeparted(const InstanceId &id)
{
    const auto instance = this->fleetTable.find(id);
    if (instance && instance->departing) {
        this->fleetTable.remove(id);
    }
}

CellImage CellState::image() const
{
    CellImage image;
    image.time = this->time();
    image.lastJob = this->lastJob;
    image.config = this->configTable.image();
    for (const Instance &instance : this->fleetTable.snapshot()) {
        image.instances.push_back(instance.spec);
        if (instance.departing) {
            image.departing.insert(instance.spec.id);
        }
    }
    image.jobs = this->jobTable.all();
    return image;
}

void CellState::restore(const CellImage &image)
{
    this->latestTime.store(image.time);
    this->lastJob = image.lastJob;
    this->configTable.restore(image.config);
    this->jobTable.clear();
    this->requestTable.clear();
    this->fleetTable.clear();
    this->teamLedger.clear();
    this->retainedAnswerBytes = 0;
    std::map<InstanceId, Instance> instances;
    for (const InstanceSpec &spec : image.instances) {
        instances[spec.id].spec = spec;
        instances[spec.id].departing = image.departing.contains(spec.id);
    }
    const Limit unlimited{.maximum = {.cpu = CpuMillis(INT64_MAX),
                                      .memory = Bytes(INT64_MAX),
                                      .accelerators = AcceleratorCount(INT64_MAX),
                                      .slots = SlotCount(INT64_MAX)}};
    for (const JobRecord &job : image.jobs) {
        for (const TaskRecord &task : job.tasks) {
            if (task.state == TaskState::Running) {
                // The limit may have been lowered since the task started, so it is not enforced.
                this->teamLedger.addRunning(job.team, job.spec->perTask, unlimited);
                Resources &allocated = instances[task.instance].allocated;
                allocated = add(allocated, job.spec->perTask).value_or(allocated);
            }
            if (task.answer) {
                this->retainedAnswerBytes += static_cast<std::int64_t>(task.answer->size());
            }
        }
        this->requestTable.insert(job.team, job.request, job.id);
        this->jobTable.insert(job);
    }
    for (const auto &[id, instance] : instances) {
        this->fleetTable.restore(instance);
    }
}

} // namespace gooseberry
