#include "message_generators.h"

namespace gooseberry::generate {

namespace {

JobClass jobClass()
{
    return oneOf({JobClass::Service, JobClass::Batch, JobClass::Gang, JobClass::Urgent});
}

Team team()
{
    return Team{.id = id<TeamId>(),
                .customer = id<CustomerId>(),
                .share = Share{.weight = static_cast<double>(any<std::int32_t>()) / 3.0},
                .limit = Limit{.maximum = resources()},
                .keys = listOf([]() { return id<KeyId>(); }),
                .guaranteed = resources()};
}

Queue queue()
{
    const std::vector<JobClass> classes = listOf(jobClass);
    return Queue{.id = id<QueueId>(),
                 .team = id<TeamId>(),
                 .openToAll = any<bool>(),
                 .classes = {classes.begin(), classes.end()},
                 .maxPendingTasks = any<std::uint32_t>()};
}

Key key()
{
    return Key{.id = id<KeyId>(),
               .team = id<TeamId>(),
               .salt = any<std::string>(),
               .hash = any<std::string>()};
}

Placement placement()
{
    return Placement{.attempt = {.task = {.job = id<JobId>(), .index = any<std::uint32_t>()},
                                 .attempt = id<Attempt>()},
                     .instance = id<InstanceId>()};
}

TaskRecord taskRecord()
{
    TaskRecord task;
    task.state = oneOf({TaskState::Pending, TaskState::Running, TaskState::Succeeded,
                        TaskState::Failed, TaskState::Cancelled, TaskState::Unknown});
    task.attempt = id<Attempt>();
    task.failures = any<std::uint32_t>();
    task.instance = id<InstanceId>();
    task.startedAt = time();
    task.endedAt = time();
    if (any<bool>()) {
        task.answer = std::make_shared<const std::string>(any<std::string>());
    }
    return task;
}

JobRecord jobRecord()
{
    JobRecord job;
    job.id = id<JobId>();
    job.request = id<RequestId>();
    job.team = id<TeamId>();
    job.spec = std::make_shared<const JobSpec>(jobSpec());
    job.tasks = listOf(taskRecord);
    job.submittedAt = time();
    job.endedAt = time();
    job.cancelRequested = any<bool>();
    job.endedTasks
        = static_cast<std::uint32_t>(*rc::gen::inRange<std::size_t>(0, job.tasks.size() + 1));
    return job;
}

ConfigImage configImage()
{
    ConfigImage image;
    image.version = id<ConfigVersion>();
    image.config = cellConfig();
    image.digests = {{id<ConfigVersion>(), any<std::uint64_t>()}};
    image.keys = listOf(key);
    image.withdrawnKeys = idSet<KeyId>();
    image.domainsOut = idSet<FailureDomainId>();
    return image;
}

Membership membership()
{
    Membership membership{
        .voters = idSet<InstanceId>(), .learners = idSet<InstanceId>(), .disks = {}};
    for (const InstanceId &voter : membership.voters) {
        membership.disks[voter] = id<DiskId>();
    }
    return membership;
}

LogEntry logEntry()
{
    return LogEntry{.index = id<LogIndex>(),
                    .term = id<Term>(),
                    .kind = oneOf({EntryKind::Command, EntryKind::NoOp, EntryKind::Membership}),
                    .payload = any<std::string>(),
                    .membership = membership()};
}

HttpRequest httpRequest()
{
    return HttpRequest{.method = any<std::string>(),
                       .target = any<std::string>(),
                       .headers = any<std::map<std::string, std::string>>(),
                       .body = any<std::string>(),
                       .peer = any<std::string>()};
}

Result<HttpResponse> httpResult()
{
    if (any<bool>()) {
        return HttpResponse{.status = static_cast<unsigned>(*rc::gen::inRange(100, 600)),
                            .headers = any<std::map<std::string, std::string>>(),
                            .body = any<std::string>()};
    }
    return Error{.code
                 = oneOf({ErrorCode::InvalidArgument, ErrorCode::NotLeader, ErrorCode::Internal}),
                 .step = oneOf({Step::Settings, Step::Forward, Step::Recover}),
                 .peer = any<std::string>(),
                 .message = any<std::string>(),
                 .outcome = oneOf({Outcome::NotRun, Outcome::Unknown}),
                 .reason = any<std::string>()};
}

QuorumMessage electionMessage()
{
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return PreVote{.term = id<Term>(),
                       .lastIndex = id<LogIndex>(),
                       .lastTerm = id<Term>(),
                       .disk = id<DiskId>()};
    case 1:
        return PreVoteReply{.term = id<Term>(), .granted = any<bool>(), .disk = id<DiskId>()};
    case 2:
        return Vote{.term = id<Term>(),
                    .lastIndex = id<LogIndex>(),
                    .lastTerm = id<Term>(),
                    .handOver = any<bool>(),
                    .disk = id<DiskId>()};
    case 3:
        return VoteReply{.term = id<Term>(), .granted = any<bool>()};
    default:
        return TimeoutNow{.term = id<Term>()};
    }
}

Command workerCommand()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return Start{.job = id<JobId>(), .allOrNone = any<bool>(), .placements = listOf(placement)};
    case 1:
        return Finish{.placement = placement(),
                      .result = oneOf({AttemptResult::Succeeded, AttemptResult::Failed,
                                       AttemptResult::Stopped}),
                      .answer = any<std::string>()};
    case 2:
        return Release{.placement = placement(), .mayHaveRun = any<bool>()};
    case 3:
        return Announce{.instance = instanceSpec()};
    case 4:
        return Depart{.instance = id<InstanceId>()};
    default:
        return Expire{.endedBefore = time()};
    }
}

} // namespace

Resources resources()
{
    return Resources{.cpu = id<CpuMillis>(),
                     .memory = id<Bytes>(),
                     .accelerators = id<AcceleratorCount>(),
                     .slots = id<SlotCount>()};
}

CellConfig cellConfig()
{
    CellConfig config;
    config.domains = listOf(
        []() { return FailureDomainSpec{.id = id<FailureDomainId>(), .region = id<RegionId>()}; });
    config.customers = listOf([]() {
        return Customer{.id = id<CustomerId>(),
                        .share = Share{.weight = 0.25},
                        .teams = listOf(team),
                        .queues = listOf(queue)};
    });
    config.source = any<std::string>();
    return config;
}

JobSpec jobSpec()
{
    JobSpec spec;
    spec.queue = id<QueueId>();
    spec.jobClass = jobClass();
    spec.taskCount = any<std::uint32_t>();
    spec.perTask = resources();
    spec.expectedRunTime = std::chrono::milliseconds(any<std::int64_t>());
    spec.repeatable = any<bool>();
    spec.maxAttempts = any<std::uint32_t>();
    spec.jobTemplate = any<std::string>();
    spec.service = any<std::string>();
    spec.payload = any<std::string>();
    return spec;
}

InstanceSpec instanceSpec()
{
    return InstanceSpec{.id = id<InstanceId>(),
                        .rack = id<RackId>(),
                        .domain = id<FailureDomainId>(),
                        .capacity = resources(),
                        .upstream = Upstream{.service = any<std::string>(),
                                             .address = Address{.host = any<std::string>(),
                                                                .port = any<std::uint16_t>()},
                                             .incarnation = any<std::string>()}};
}

Command command()
{
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        return ApplyConfig{.version = id<ConfigVersion>(),
                           .config = cellConfig(),
                           .changeDigest = any<std::uint64_t>()};
    case 1:
        return GrantKey{.key = key()};
    case 2:
        return WithdrawKey{.id = id<KeyId>()};
    case 3:
        return SetDomain{.domain = id<FailureDomainId>(), .inService = any<bool>()};
    case 4:
        return Submit{.request = id<RequestId>(), .team = id<TeamId>(), .spec = jobSpec()};
    case 5:
        return Cancel{.job = id<JobId>()};
    default:
        return workerCommand();
    }
}

CellImage cellImage()
{
    CellImage image;
    image.time = time();
    image.lastJob = id<JobId>();
    image.config = configImage();
    image.instances = listOf(instanceSpec);
    image.departing = idSet<InstanceId>();
    image.jobs = listOf(jobRecord);
    return image;
}

QuorumMessage quorumMessage()
{
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return Append{.term = id<Term>(),
                      .prevIndex = id<LogIndex>(),
                      .prevTerm = id<Term>(),
                      .entries = listOf(logEntry),
                      .commit = id<LogIndex>(),
                      .round = any<std::uint64_t>()};
    case 1:
        return AppendReply{.term = id<Term>(),
                           .success = any<bool>(),
                           .matchIndex = id<LogIndex>(),
                           .round = any<std::uint64_t>(),
                           .disk = id<DiskId>()};
    case 2:
        return InstallSnapshot{.term = id<Term>(),
                               .lastIndex = id<LogIndex>(),
                               .lastTerm = id<Term>(),
                               .membership = membership(),
                               .offset = any<std::uint64_t>(),
                               .chunk = any<std::string>(),
                               .last = any<bool>()};
    case 3:
        return InstallSnapshotReply{.term = id<Term>(),
                                    .lastIndex = id<LogIndex>(),
                                    .nextOffset = any<std::uint64_t>(),
                                    .complete = any<bool>()};
    default:
        return electionMessage();
    }
}

PeerMessage peerMessage()
{
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return Forward{.id = id<ForwardId>(),
                       .deadline = std::chrono::milliseconds(any<std::int64_t>()),
                       .request = httpRequest()};
    case 1:
        return ForwardReply{.id = id<ForwardId>(), .result = httpResult()};
    case 2:
        return LeaderHint{.leader = any<bool>() ? std::optional(id<InstanceId>()) : std::nullopt,
                          .term = id<Term>()};
    default:
        return quorumMessage();
    }
}

} // namespace gooseberry::generate
