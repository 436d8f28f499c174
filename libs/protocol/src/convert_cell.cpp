#include <array>

#include "convert.h"

namespace gooseberry {

namespace {

// Keeps the overloads in this namespace from hiding those declared in convert.h.
using gooseberry::fromWire;
using gooseberry::toWire;

constexpr std::array<std::pair<AttemptResult, wire::AttemptResult::type>, 3> attemptResults{{
    {AttemptResult::Succeeded, wire::AttemptResult::SUCCEEDED},
    {AttemptResult::Failed, wire::AttemptResult::FAILED},
    {AttemptResult::Stopped, wire::AttemptResult::STOPPED},
}};

constexpr std::array<std::pair<TaskState, wire::TaskState::type>, 6> taskStates{{
    {TaskState::Pending, wire::TaskState::PENDING},
    {TaskState::Running, wire::TaskState::RUNNING},
    {TaskState::Succeeded, wire::TaskState::SUCCEEDED},
    {TaskState::Failed, wire::TaskState::FAILED},
    {TaskState::Cancelled, wire::TaskState::CANCELLED},
    {TaskState::Unknown, wire::TaskState::UNKNOWN},
}};

wire::Placement toWire(const Placement &placement)
{
    wire::Placement out;
    out.job = toWire64(placement.attempt.task.job.value);
    out.task = toWire32(placement.attempt.task.index);
    out.attempt = toWire32(placement.attempt.attempt.value);
    out.instance = placement.instance.value;
    return out;
}

Placement fromWire(wire::Placement &&in)
{
    Placement placement;
    placement.attempt.task.job = JobId(fromWire64(in.job));
    placement.attempt.task.index = fromWire32(in.task);
    placement.attempt.attempt = Attempt(fromWire32(in.attempt));
    placement.instance = InstanceId(std::move(in.instance));
    return placement;
}

void setMember(wire::Command &out, const ApplyConfig &command)
{
    out.__isset.applyConfig = true;
    out.applyConfig.version = toWire64(command.version.value);
    out.applyConfig.config = toWire(command.config);
    out.applyConfig.changeDigest = toWire64(command.changeDigest);
}

void setMember(wire::Command &out, const GrantKey &command)
{
    out.__set_grantKey(toWire(command.key));
}

void setMember(wire::Command &out, const WithdrawKey &command)
{
    out.__set_withdrawKey(command.id.value);
}

void setMember(wire::Command &out, const SetDomain &command)
{
    out.__isset.setDomain = true;
    out.setDomain.domain = command.domain.value;
    out.setDomain.inService = command.inService;
}

void setMember(wire::Command &out, const Submit &command)
{
    out.__isset.submit = true;
    out.submit.request = command.request.value;
    out.submit.team = command.team.value;
    out.submit.spec = toWire(command.spec);
}

void setMember(wire::Command &out, const Start &command)
{
    out.__isset.start = true;
    out.start.job = toWire64(command.job.value);
    out.start.allOrNone = command.allOrNone;
    for (const Placement &placement : command.placements) {
        out.start.placements.push_back(toWire(placement));
    }
}

void setMember(wire::Command &out, const Finish &command)
{
    out.__isset.finish = true;
    out.finish.placement = toWire(command.placement);
    out.finish.result = enumToWire(attemptResults, command.result);
    out.finish.answer = command.answer;
}

void setMember(wire::Command &out, const Release &command)
{
    out.__isset.releaseAttempt = true;
    out.releaseAttempt.placement = toWire(command.placement);
    out.releaseAttempt.mayHaveRun = command.mayHaveRun;
}

void setMember(wire::Command &out, const Cancel &command)
{
    out.__set_cancelJob(toWire64(command.job.value));
}

void setMember(wire::Command &out, const Announce &command)
{
    out.__set_announce(toWire(command.instance));
}

void setMember(wire::Command &out, const Depart &command)
{
    out.__set_depart(command.instance.value);
}

void setMember(wire::Command &out, const Expire &command)
{
    out.__set_expireEndedBefore(toWireTime(command.endedBefore));
}

Command startFromWire(wire::Start &&in)
{
    Start start{.job = JobId(fromWire64(in.job)), .allOrNone = in.allOrNone, .placements = {}};
    start.placements.reserve(in.placements.size());
    for (wire::Placement &placement : in.placements) {
        start.placements.push_back(fromWire(std::move(placement)));
    }
    return start;
}

Command commandFromWire(wire::Command &&in)
{
    if (in.__isset.applyConfig) {
        return ApplyConfig{.version = ConfigVersion(fromWire64(in.applyConfig.version)),
                           .config = fromWire(std::move(in.applyConfig.config)),
                           .changeDigest = fromWire64(in.applyConfig.changeDigest)};
    }
    if (in.__isset.grantKey) {
        return GrantKey{.key = fromWire(std::move(in.grantKey))};
    }
    if (in.__isset.withdrawKey) {
        return WithdrawKey{.id = KeyId(std::move(in.withdrawKey))};
    }
    if (in.__isset.setDomain) {
        return SetDomain{.domain = FailureDomainId(std::move(in.setDomain.domain)),
                         .inService = in.setDomain.inService};
    }
    if (in.__isset.submit) {
        return Submit{.request = RequestId(std::move(in.submit.request)),
                      .team = TeamId(std::move(in.submit.team)),
                      .spec = fromWire(std::move(in.submit.spec))};
    }
    if (in.__isset.start) {
        return startFromWire(std::move(in.start));
    }
    if (in.__isset.finish) {
        return Finish{.placement = fromWire(std::move(in.finish.placement)),
                      .result = enumFromWire(attemptResults, in.finish.result),
                      .answer = std::move(in.finish.answer)};
    }
    if (in.__isset.releaseAttempt) {
        return Release{.placement = fromWire(std::move(in.releaseAttempt.placement)),
                       .mayHaveRun = in.releaseAttempt.mayHaveRun};
    }
    if (in.__isset.cancelJob) {
        return Cancel{.job = JobId(fromWire64(in.cancelJob))};
    }
    if (in.__isset.announce) {
        return Announce{.instance = fromWire(std::move(in.announce))};
    }
    if (in.__isset.depart) {
        return Depart{.instance = InstanceId(std::move(in.depart))};
    }
    return Expire{.endedBefore = fromWireTime(in.expireEndedBefore)};
}

} // namespace

wire::StampedCommand toWire(const StampedCommand &stamped)
{
    wire::StampedCommand out;
    out.origin = toWire64(stamped.proposal.origin);
    out.number = toWire64(stamped.proposal.number);
    out.at = toWireTime(stamped.at);
    std::visit([&out](const auto &command) { setMember(out.command, command); }, stamped.command);
    return out;
}

StampedCommand fromWire(wire::StampedCommand &&in)
{
    const auto &set = in.command.__isset;
    requireExactlyOne("Command",
                      {set.applyConfig, set.grantKey, set.withdrawKey, set.setDomain, set.submit,
                       set.start, set.finish, set.releaseAttempt, set.cancelJob, set.announce,
                       set.depart, set.expireEndedBefore});
    return StampedCommand{.proposal
                          = {.origin = fromWire64(in.origin), .number = fromWire64(in.number)},
                          .at = fromWireTime(in.at),
                          .command = commandFromWire(std::move(in.command))};
}

namespace {

wire::ConfigImage toWire(const ConfigImage &image)
{
    wire::ConfigImage out;
    out.version = toWire64(image.version.value);
    out.config = toWire(image.config);
    for (const auto &[version, digest] : image.digests) {
        out.digests[toWire64(version.value)] = toWire64(digest);
    }
    for (const Key &key : image.keys) {
        out.keys.push_back(toWire(key));
    }
    out.withdrawnKeys = toWireIds(image.withdrawnKeys);
    out.domainsOut = toWireIds(image.domainsOut);
    return out;
}

ConfigImage fromWire(wire::ConfigImage &&in)
{
    ConfigImage image;
    image.version = ConfigVersion(fromWire64(in.version));
    image.config = fromWire(std::move(in.config));
    for (const auto &[version, digest] : in.digests) {
        image.digests[ConfigVersion(fromWire64(version))] = fromWire64(digest);
    }
    for (wire::Key &key : in.keys) {
        image.keys.push_back(fromWire(std::move(key)));
    }
    image.withdrawnKeys = fromWireIds<KeyId>(in.withdrawnKeys);
    image.domainsOut = fromWireIds<FailureDomainId>(in.domainsOut);
    return image;
}

wire::TaskRecord toWire(const TaskRecord &task)
{
    wire::TaskRecord out;
    out.state = enumToWire(taskStates, task.state);
    out.attempt = toWire32(task.attempt.value);
    out.failures = toWire32(task.failures);
    out.instance = task.instance.value;
    out.startedAt = toWireTime(task.startedAt);
    out.endedAt = toWireTime(task.endedAt);
    if (task.answer != nullptr) {
        out.__set_answer(*task.answer);
    }
    return out;
}

TaskRecord fromWire(wire::TaskRecord &&in)
{
    TaskRecord task;
    task.state = enumFromWire(taskStates, in.state);
    task.attempt = Attempt(fromWire32(in.attempt));
    task.failures = fromWire32(in.failures);
    task.instance = InstanceId(std::move(in.instance));
    task.startedAt = fromWireTime(in.startedAt);
    task.endedAt = fromWireTime(in.endedAt);
    if (in.__isset.answer) {
        task.answer = std::make_shared<const std::string>(std::move(in.answer));
    }
    return task;
}

wire::JobRecord toWire(const JobRecord &job)
{
    wire::JobRecord out;
    out.id = toWire64(job.id.value);
    out.request = job.request.value;
    out.team = job.team.value;
    out.spec = toWire(*job.spec);
    out.tasks.reserve(job.tasks.size());
    for (const TaskRecord &task : job.tasks) {
        out.tasks.push_back(toWire(task));
    }
    out.submittedAt = toWireTime(job.submittedAt);
    out.endedAt = toWireTime(job.endedAt);
    out.cancelRequested = job.cancelRequested;
    out.endedTasks = toWire32(job.endedTasks);
    return out;
}

JobRecord fromWire(wire::JobRecord &&in)
{
    JobRecord job;
    job.id = JobId(fromWire64(in.id));
    job.request = RequestId(std::move(in.request));
    job.team = TeamId(std::move(in.team));
    job.spec = std::make_shared<const JobSpec>(fromWire(std::move(in.spec)));
    job.tasks.reserve(in.tasks.size());
    for (wire::TaskRecord &task : in.tasks) {
        job.tasks.push_back(fromWire(std::move(task)));
    }
    job.submittedAt = fromWireTime(in.submittedAt);
    job.endedAt = fromWireTime(in.endedAt);
    job.cancelRequested = in.cancelRequested;
    job.endedTasks = fromWire32(in.endedTasks);
    if (job.endedTasks > job.tasks.size()) {
        throw CorruptMessage("job has more ended tasks than tasks");
    }
    return job;
}

} // namespace

wire::CellImage toWire(const CellImage &image)
{
    wire::CellImage out;
    out.time = toWireTime(image.time);
    out.lastJob = toWire64(image.lastJob.value);
    out.config = toWire(image.config);
    for (const InstanceSpec &instance : image.instances) {
        out.instances.push_back(toWire(instance));
    }
    out.departing = toWireIds(image.departing);
    out.jobs.reserve(image.jobs.size());
    for (const JobRecord &job : image.jobs) {
        out.jobs.push_back(toWire(job));
    }
    return out;
}

CellImage fromWire(wire::CellImage &&in)
{
    CellImage image;
    image.time = fromWireTime(in.time);
    image.lastJob = JobId(fromWire64(in.lastJob));
    image.config = fromWire(std::move(in.config));
    for (wire::InstanceSpec &instance : in.instances) {
        image.instances.push_back(fromWire(std::move(instance)));
    }
    image.departing = fromWireIds<InstanceId>(in.departing);
    image.jobs.reserve(in.jobs.size());
    for (wire::JobRecord &job : in.jobs) {
        image.jobs.push_back(fromWire(std::move(job)));
    }
    return image;
}

} // namespace gooseberry
