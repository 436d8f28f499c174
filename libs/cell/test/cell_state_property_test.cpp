#include <boost/test/unit_test.hpp>

#include <set>

#include <rapidcheck.h>

#include "cell_fixture.h"

using namespace gooseberry;

namespace {

CellConfig smallConfig(std::int64_t limitCores)
{
    CellConfig config;
    config.source = "limit " + std::to_string(limitCores);
    for (const char *domain : {"d0", "d1"}) {
        config.domains.push_back(
            FailureDomainSpec{.id = FailureDomainId(domain), .region = RegionId("r")});
    }
    Customer customer;
    customer.id = CustomerId("c");
    for (const char *name : {"c/t0", "c/t1"}) {
        Team team;
        team.id = TeamId(name);
        team.limit.maximum.cpu = CpuMillis(limitCores * 1000);
        customer.teams.push_back(team);
    }
    config.customers.push_back(customer);
    return config;
}

int randomBelow(int end)
{
    return *rc::gen::inRange(0, end);
}

InstanceId randomInstance()
{
    return InstanceId("w" + std::to_string(randomBelow(3)));
}

JobId randomJob()
{
    return JobId(static_cast<std::uint64_t>(randomBelow(8)));
}

Placement randomPlacement()
{
    return Placement{
        .attempt = AttemptId{.task = TaskId{.job = randomJob(),
                                            .index = static_cast<std::uint32_t>(randomBelow(4))},
                             .attempt = Attempt(static_cast<std::uint32_t>(randomBelow(4)))},
        .instance = randomInstance()};
}

/** Returns a placement for the task's current or next attempt, which often can be applied. */
Placement plausiblePlacement(const CellState &state, const JobRecord &job, std::uint32_t index)
{
    (void)state;
    const TaskRecord &task = job.tasks[index];
    const bool running = task.state == TaskState::Running;
    return Placement{.attempt
                     = AttemptId{.task = TaskId{.job = job.id, .index = index},
                                 .attempt = Attempt(task.attempt.value + (running ? 0U : 1U))},
                     .instance = running ? task.instance : randomInstance()};
}

std::vector<Placement> randomPlacements(CellState &state, JobId &id)
{
    const std::vector<JobRecord> jobs = state.jobs().all();
    if (jobs.empty() || randomBelow(4) == 0) {
        return {randomPlacement(), randomPlacement()};
    }
    const JobRecord &job
        = jobs[static_cast<std::size_t>(randomBelow(static_cast<int>(jobs.size())))];
    id = job.id;
    std::vector<Placement> placements;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        if (randomBelow(4) != 0) {
            placements.push_back(plausiblePlacement(state, job, index));
        }
    }
    if (placements.empty()) {
        placements.push_back(randomPlacement());
    }
    return placements;
}

Submit randomSubmit()
{
    Submit submit;
    submit.request = RequestId("r" + std::to_string(randomBelow(6)));
    submit.team = TeamId("c/t" + std::to_string(randomBelow(2)));
    submit.spec.queue = QueueId("c/q");
    submit.spec.jobClass = randomBelow(2) == 0 ? JobClass::Gang : JobClass::Batch;
    submit.spec.taskCount = static_cast<std::uint32_t>(randomBelow(4));
    submit.spec.perTask.cpu = CpuMillis((randomBelow(6) - 1) * 1000LL);
    submit.spec.repeatable = randomBelow(2) == 0;
    return submit;
}

Command randomCommand(CellState &state)
{
    JobId job = randomJob();
    std::vector<Placement> placements = randomPlacements(state, job);
    const FailureDomainId domain("d" + std::to_string(randomBelow(3)));
    switch (randomBelow(16)) {
    case 0: {
        const int cores = randomBelow(3) + 4;
        return ApplyConfig{.version = ConfigVersion(static_cast<std::uint64_t>(randomBelow(6))),
                           .config = smallConfig(cores),
                           .changeDigest = static_cast<std::uint64_t>(cores)};
    }
    case 1:
        return SetDomain{.domain = domain, .inService = randomBelow(2) == 0};
    case 2:
    case 3:
        return randomSubmit();
    case 4:
    case 5:
    case 6:
    case 7:
        return Start{.job = job, .allOrNone = randomBelow(2) == 0, .placements = placements};
    case 8:
    case 9:
        return Finish{.placement = placements[0],
                      .result = static_cast<AttemptResult>(randomBelow(3)),
                      .answer = std::string(static_cast<std::size_t>(randomBelow(9)), 'a')};
    case 10:
        return Release{.placement = placements[0], .mayHaveRun = randomBelow(2) == 0};
    case 11:
        return Cancel{.job = job};
    case 12:
        return Depart{.instance = randomInstance()};
    case 13:
        return Expire{.endedBefore = CellTime(std::chrono::milliseconds(randomBelow(200)))};
    default:
        break;
    }
    InstanceSpec instance;
    instance.id = randomInstance();
    instance.domain = domain;
    instance.capacity.cpu = CpuMillis((randomBelow(6) + 1) * 1000LL);
    return Announce{.instance = instance};
}

/** The parts of the state that the checks compare before and after a command. */
struct StateSnapshot
{
    std::map<JobId, JobRecord> jobs;
    std::map<InstanceId, Instance> instances;
    std::set<FailureDomainId> out;
    std::shared_ptr<const CellConfig> config;
    ConfigVersion version;
};

StateSnapshot takeSnapshot(CellState &state)
{
    StateSnapshot snapshot;
    for (JobRecord &job : state.jobs().all()) {
        snapshot.jobs.emplace(job.id, job);
    }
    for (Instance &instance : state.fleet().snapshot()) {
        snapshot.instances.emplace(instance.spec.id, instance);
    }
    snapshot.out = state.config().domainsOut();
    snapshot.config = state.config().current();
    snapshot.version = state.config().version();
    return snapshot;
}

std::map<InstanceId, std::int64_t> runningByInstance(const StateSnapshot &snapshot)
{
    std::map<InstanceId, std::int64_t> total;
    for (const auto &[id, job] : snapshot.jobs) {
        for (const TaskRecord &task : job.tasks) {
            if (task.state == TaskState::Running) {
                total[task.instance] += job.spec->perTask.cpu.value;
            }
        }
    }
    return total;
}

std::map<TeamId, std::int64_t> runningByTeam(const StateSnapshot &snapshot)
{
    std::map<TeamId, std::int64_t> total;
    for (const auto &[id, job] : snapshot.jobs) {
        for (const TaskRecord &task : job.tasks) {
            total[job.team] += task.state == TaskState::Running ? job.spec->perTask.cpu.value : 0;
        }
    }
    return total;
}

/** Returns the first invariant that the change of one task violates, or an empty text. */
std::string checkTask(const StateSnapshot &before, const StateSnapshot &after, const JobRecord &job,
                      std::uint32_t index)
{
    const TaskRecord &now = job.tasks[index];
    const auto earlier = before.jobs.find(job.id);
    const TaskRecord old
        = earlier == before.jobs.end() ? TaskRecord{} : earlier->second.tasks[index];
    const bool started = now.state == TaskState::Running
        && (old.state != TaskState::Running || old.attempt != now.attempt);
    if (isEnded(old.state)
        && (now.state != old.state || now.attempt != old.attempt || now.answer != old.answer)) {
        return "an ended task changed";
    }
    if (old.state == TaskState::Running && now.state == TaskState::Running
        && (old.instance != now.instance || old.attempt != now.attempt)) {
        return "a running task changed its attempt or instance";
    }
    if (started && now.attempt.value <= old.attempt.value) {
        return "an attempt number was used twice";
    }
    const auto instance = after.instances.find(now.instance);
    if (started && (instance == after.instances.end() || instance->second.departing)) {
        return "a task started on an unknown or departing instance";
    }
    if (started && before.out.contains(instance->second.spec.domain)) {
        return "a task started in a domain that is out of service";
    }
    return {};
}

/** Returns the first invariant that the change from before to after violates, or "". */
std::string checkStep(const StateSnapshot &before, const StateSnapshot &after)
{
    const auto oldInstances = runningByInstance(before);
    for (const auto &[id, total] : runningByInstance(after)) {
        const auto found = after.instances.find(id);
        const auto old = oldInstances.find(id);
        const bool grew = old == oldInstances.end() || total > old->second;
        if (found == after.instances.end() || found->second.allocated.cpu.value != total) {
            return "allocated resources differ from those of running tasks";
        }
        // A worker may reduce its capacity below what is running; then nothing may be added.
        if (grew && total > found->second.spec.capacity.cpu.value) {
            return "an instance is overcommitted";
        }
    }
    auto oldTeams = runningByTeam(before);
    for (const auto &[id, total] : runningByTeam(after)) {
        const Team *team = findTeam(*after.config, id);
        const std::int64_t limit = team != nullptr ? team->limit.maximum.cpu.value : 0;
        if (total > oldTeams[id] && total > limit) {
            return "a team is above its limit";
        }
    }
    for (const auto &[id, job] : after.jobs) {
        bool anyStarted = false;
        bool anyPending = false;
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            if (std::string violation = checkTask(before, after, job, index); !violation.empty()) {
                return violation;
            }
            const auto old = before.jobs.find(id);
            anyPending = anyPending || job.tasks[index].state == TaskState::Pending;
            anyStarted = anyStarted
                || (job.tasks[index].state == TaskState::Running && old != before.jobs.end()
                    && old->second.tasks[index].state == TaskState::Pending);
        }
        if (job.spec->jobClass == JobClass::Gang && anyStarted && anyPending) {
            return "a gang started partially";
        }
    }
    return after.version < before.version ? "the configuration reverted" : "";
}

bool sameTask(const TaskRecord &a, const TaskRecord &b)
{
    const bool sameAnswer
        = a.answer == b.answer || (a.answer && b.answer && *a.answer == *b.answer);
    return a.state == b.state && a.attempt == b.attempt && a.failures == b.failures
        && a.instance == b.instance && a.startedAt == b.startedAt && a.endedAt == b.endedAt
        && sameAnswer;
}

/** Compares all replicated state; state that only a leader has is ignored. */
bool sameState(CellState &left, CellState &right)
{
    const StateSnapshot a = takeSnapshot(left);
    const StateSnapshot b = takeSnapshot(right);
    bool same = left.time() == right.time() && a.out == b.out && a.version == b.version
        && *a.config == *b.config && left.answerBytes() == right.answerBytes()
        && a.jobs.size() == b.jobs.size() && a.instances.size() == b.instances.size();
    for (const auto &[id, job] : a.jobs) {
        const auto other = b.jobs.find(id);
        same = same && other != b.jobs.end() && job.endedTasks == other->second.endedTasks
            && job.cancelRequested == other->second.cancelRequested
            && *job.spec == *other->second.spec && job.endedAt == other->second.endedAt;
        for (std::size_t index = 0; same && index < job.tasks.size(); ++index) {
            same = sameTask(job.tasks[index], other->second.tasks[index]);
        }
    }
    for (const auto &[id, instance] : a.instances) {
        const auto other = b.instances.find(id);
        same = same && other != b.instances.end() && instance.spec == other->second.spec
            && instance.allocated == other->second.allocated
            && instance.departing == other->second.departing;
    }
    return same;
}

void reserveAtRandom(CellState &leader)
{
    const Resources amount{.cpu = CpuMillis(1000), .memory = {}, .accelerators = {}, .slots = {}};
    const InstanceId instance = randomInstance();
    (void)leader.fleet().reserve(instance, amount);
    leader.fleet().setReachable(instance, randomBelow(2) == 0);
    (void)leader.ledger().reserve(TeamId("c/t0"), amount, Limit{.maximum = amount});
}

/** Applies random commands to a leader and a follower and checks the state after each one. */
void checkRandomCommands()
{
    CellState leader;
    CellState follower;
    const StampedCommand first{
        .at = {},
        .command
        = ApplyConfig{.version = ConfigVersion(1), .config = smallConfig(5), .changeDigest = 5}};
    leader.apply(first);
    follower.apply(first);
    std::map<std::pair<TeamId, RequestId>, JobId> answers;
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 1; step <= steps; ++step) {
        const StateSnapshot before = takeSnapshot(leader);
        const StampedCommand next{.at = CellTime(std::chrono::milliseconds(step)),
                                  .command = randomCommand(leader)};
        reserveAtRandom(leader);
        const ApplyOutcome outcome = leader.apply(next);
        const ApplyOutcome same = follower.apply(next);
        const bool sameOutcome = ok(outcome) == ok(same);
        RC_ASSERT(sameOutcome);
        const StateSnapshot after = takeSnapshot(leader);
        const std::string violation = checkStep(before, after);
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
        if (const Submit *submit = std::get_if<Submit>(&next.command); submit && ok(outcome)) {
            const JobId job = std::get<JobId>(valueOf(outcome));
            const auto known = answers.find({submit->team, submit->request});
            // A request id yields the same job as long as the job is retained.
            const bool isFirst = known == answers.end() || !before.jobs.contains(known->second);
            const bool sameAnswer = isFirst || known->second == job;
            RC_ASSERT(sameAnswer);
            answers[{submit->team, submit->request}] = job;
        }
    }
    RC_ASSERT(sameState(leader, follower));
    CellState restored;
    restored.restore(leader.image());
    RC_ASSERT(sameState(leader, restored));
}

/** A valid state with one running task, from which the tests below derive invalid ones. */
StateSnapshot snapshotWithRunningTask(JobClass jobClass)
{
    CellState state;
    const auto run = [&state](Command command) {
        state.apply(StampedCommand{.at = {}, .command = std::move(command)});
    };
    run(ApplyConfig{.version = ConfigVersion(1), .config = smallConfig(5), .changeDigest = 5});
    InstanceSpec instance;
    instance.id = InstanceId("w0");
    instance.domain = FailureDomainId("d0");
    instance.capacity.cpu = CpuMillis(4000);
    run(Announce{.instance = instance});
    Submit submit;
    submit.request = RequestId("r");
    submit.team = TeamId("c/t0");
    submit.spec.jobClass = jobClass;
    submit.spec.perTask.cpu = CpuMillis(1000);
    run(submit);
    run(Start{.job = JobId(1),
              .allOrNone = false,
              .placements
              = {Placement{.attempt = AttemptId{.task = TaskId{.job = JobId(1), .index = 0},
                                                .attempt = Attempt(1)},
                           .instance = instance.id}}});
    return takeSnapshot(state);
}

StateSnapshot withTaskPending(const StateSnapshot &running)
{
    StateSnapshot before = running;
    before.jobs.at(JobId(1)).tasks[0] = TaskRecord{};
    before.instances.at(InstanceId("w0")).allocated = {};
    return before;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CellStatePropertyTest)

// Guards against sequences of commands, valid or invalid, that violate an invariant of the cell
// state or make replicas diverge.
BOOST_AUTO_TEST_CASE(KeepsInvariantsUnderRandomCommands)
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 400;
    const auto result
        = rc::detail::checkTestable(checkRandomCommands, rc::detail::TestMetadata(), params);
    if (!result.template is<rc::detail::SuccessResult>()) {
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        BOOST_FAIL(text.str());
    }
}

// Guards against a checker that never fails: violates each invariant once.
BOOST_AUTO_TEST_CASE(CheckerDetectsEachViolation)
{
    const StateSnapshot good = snapshotWithRunningTask(JobClass::Batch);
    const StateSnapshot before = withTaskPending(good);
    BOOST_TEST(checkStep(before, good) == "");
    const auto violation = [&](const StateSnapshot &from, const auto &change) {
        StateSnapshot after = good;
        change(after);
        return checkStep(from, after);
    };
    const InstanceId w0("w0");
    BOOST_TEST(violation(before, [&](StateSnapshot &r) { r.instances.at(w0).allocated = {}; })
               == "allocated resources differ from those of running tasks");
    BOOST_TEST(violation(before, [&](StateSnapshot &r) { r.instances.at(w0).spec.capacity = {}; })
               == "an instance is overcommitted");
    BOOST_TEST(violation(before,
                         [&](StateSnapshot &r) {
                             r.config = std::make_shared<const CellConfig>(smallConfig(0));
                         })
               == "a team is above its limit");
    BOOST_TEST(violation(before, [&](StateSnapshot &r) { r.instances.at(w0).departing = true; })
               == "a task started on an unknown or departing instance");
    BOOST_TEST(violation(before, [&](StateSnapshot &r) { r.version = ConfigVersion(0); })
               == "the configuration reverted");
    StateSnapshot out = before;
    out.out.insert(FailureDomainId("d0"));
    BOOST_TEST(checkStep(out, good) == "a task started in a domain that is out of service");
    StateSnapshot used = before;
    used.jobs.at(JobId(1)).tasks[0].attempt = Attempt(1);
    BOOST_TEST(checkStep(used, good) == "an attempt number was used twice");
    StateSnapshot ended = before;
    ended.jobs.at(JobId(1)).tasks[0].state = TaskState::Cancelled;
    BOOST_TEST(checkStep(ended, good) == "an ended task changed");
    StateSnapshot moved = good;
    moved.jobs.at(JobId(1)).tasks[0].instance = InstanceId("w1");
    BOOST_TEST(checkStep(moved, good) == "a running task changed its attempt or instance");
    StateSnapshot gang = snapshotWithRunningTask(JobClass::Gang);
    StateSnapshot gangBefore = withTaskPending(gang);
    gangBefore.jobs.at(JobId(1)).tasks.emplace_back();
    gang.jobs.at(JobId(1)).tasks.emplace_back();
    BOOST_TEST(checkStep(gangBefore, gang) == "a gang started partially");
}

BOOST_AUTO_TEST_SUITE_END()
