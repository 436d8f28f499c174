// Tests of the replicated workflow state: the effect of commands, and snapshots.

#include <boost/test/unit_test.hpp>
#include <codec/codec.h>
#include <workflow/workflow.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

struct StateFixture
{
    CommandOutcome apply(WorkflowCommand command, CellTime at = CellTime{})
    {
        return this->state.apply(
            ProposedCommand{.origin = 1, .number = 1, .at = at, .command = std::move(command)});
    }

    void accept(const std::string &id, std::vector<StepSpec> steps, CellTime at = CellTime{})
    {
        WorkflowSpec spec;
        spec.payload = "payload";
        spec.steps = std::move(steps);
        this->apply(AcceptWorkflow{.id = WorkflowId(id),
                                   .queue = "queue",
                                   .upstream = "upstream",
                                   .customer = CustomerId("customer"),
                                   .attempts = 2,
                                   .spec = encodeRecord(spec)},
                    at);
    }

    bool assign(const std::string &id, std::uint32_t index, std::uint32_t run)
    {
        return this
            ->apply(AssignRuns{.runs = {RunAssignment{.task = key(id, index),
                                                      .run = RunNumber(run),
                                                      .worker = InstanceId("worker"),
                                                      .incarnation = {},
                                                      .checkpoint = {}}}})
            .accepted.front();
    }

    CommandOutcome end(const std::string &id, std::uint32_t index, std::uint32_t run,
                       StoredResult result)
    {
        return this->apply(EndRuns{.ends = {RunEnd{.task = key(id, index),
                                                   .run = RunNumber(run),
                                                   .result = result,
                                                   .checkpoint = {}}}});
    }

    static TaskKey key(const std::string &id, std::uint32_t index)
    {
        return TaskKey{.workflow = WorkflowId(id), .occurrence = 0, .step = 0, .index = index};
    }

    static StepSpec step(std::uint32_t count)
    {
        StepSpec spec;
        spec.count = count;
        return spec;
    }

    WorkflowPhase phase(const std::string &id) const
    {
        return this->state.status(WorkflowId(id))->phase;
    }

    WorkflowState state{1min};
};

RoutingConfig configWithVersion(std::uint64_t version, const std::string &document)
{
    RoutingConfig config;
    config.version = ConfigVersion(version);
    config.document = document;
    return config;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkflowStateTest, StateFixture)

BOOST_AUTO_TEST_CASE(AcceptsAResentIdOnce)
{
    this->accept("a", {step(1)});
    this->accept("a", {step(5)});
    std::size_t tasks = 0;
    this->state.visitWorkflow(WorkflowId("a"), [&](const WorkflowRecord &workflow) {
        tasks = workflow.spec->steps.front().count;
    });
    BOOST_TEST(tasks == 1U);
    BOOST_TEST(this->state.queuedCount("queue") == 1U);
}

BOOST_AUTO_TEST_CASE(CompletesOnlyWhenEveryTaskIsDone)
{
    this->accept("a", {step(2)});
    BOOST_TEST(this->assign("a", 0, 1));
    BOOST_TEST(this->assign("a", 1, 1));
    BOOST_TEST(this->state.queuedCount("queue") == 1U);
    this->end("a", 0, 1, StoredResult::Done);
    BOOST_TEST(this->state.queuedCount("queue") == 0U);
    BOOST_TEST((this->phase("a") == WorkflowPhase::Running));
    const CommandOutcome last = this->end("a", 1, 1, StoredResult::Done);
    BOOST_TEST((this->phase("a") == WorkflowPhase::Completed));
    BOOST_REQUIRE(last.ended.size() == 1U);
}

// The count left out a workflow from its first assignment on, although the start could be refused
// or lost, so that callers saw a short queue while much work waited.
BOOST_AUTO_TEST_CASE(CountsAssignedWorkAsWaitingUntilAWorkerHasBegunIt)
{
    this->accept("a", {step(1)});
    this->accept("b", {step(1)});
    this->accept("c", {step(1)});
    this->assign("a", 0, 1);
    this->assign("b", 0, 1);
    BOOST_TEST(this->state.queuedCount("queue") == 3U);
    BOOST_TEST((this->phase("a") == WorkflowPhase::Queued));
    const RecordStarts start{.workflows = {WorkflowId("a"), WorkflowId("unknown")}};
    BOOST_TEST(this->apply(start).changed);
    BOOST_TEST(!this->apply(start).changed);
    BOOST_TEST(this->state.queuedCount("queue") == 2U);
    BOOST_TEST((this->phase("a") == WorkflowPhase::Running));
    WorkflowState copy{1min};
    BOOST_REQUIRE(ok(copy.restore(this->state.snapshot())));
    BOOST_TEST(copy.queuedCount("queue") == 2U);
    this->end("b", 0, 1, StoredResult::Failed);
    BOOST_TEST(this->state.queuedCount("queue") == 1U);
    this->apply(CancelWorkflow{.id = WorkflowId("c")});
    BOOST_TEST(!this->apply(RecordStarts{.workflows = {WorkflowId("c")}}).changed);
    BOOST_TEST((this->phase("c") == WorkflowPhase::Cancelled));
    BOOST_TEST(this->state.queuedCount("queue") == 0U);
}

BOOST_AUTO_TEST_CASE(RejectsRunsOfFinishedCancelledOrSupersededTasks)
{
    this->accept("a", {step(2)});
    BOOST_TEST(this->assign("a", 0, 2));
    BOOST_TEST(!this->assign("a", 0, 2));
    BOOST_TEST(!this->assign("a", 0, 1));
    this->end("a", 0, 2, StoredResult::Done);
    BOOST_TEST(!this->assign("a", 0, 3));
    this->apply(CancelWorkflow{.id = WorkflowId("a")});
    BOOST_TEST(!this->assign("a", 1, 1));
    BOOST_TEST(!this->assign("unknown", 0, 1));
    BOOST_TEST(!this->assign("a", 7, 1));
}

BOOST_AUTO_TEST_CASE(CountsAGangsFailureOnceForEachRun)
{
    StepSpec gang = step(2);
    gang.gang = true;
    this->accept("a", {gang});
    this->assign("a", 0, 1);
    this->assign("a", 1, 1);
    this->end("a", 0, 1, StoredResult::Failed);
    this->end("a", 1, 1, StoredResult::Failed);
    BOOST_TEST((this->phase("a") == WorkflowPhase::Running));
    this->assign("a", 0, 2);
    this->end("a", 0, 2, StoredResult::Failed);
    BOOST_TEST((this->phase("a") == WorkflowPhase::Failed));
}

BOOST_AUTO_TEST_CASE(ActivatesOnlyAHigherConfigVersion)
{
    BOOST_TEST(this->apply(PutConfig{.config = configWithVersion(3, "three")}).changed);
    BOOST_TEST(!this->apply(PutConfig{.config = configWithVersion(3, "other")}).changed);
    BOOST_TEST(!this->apply(PutConfig{.config = configWithVersion(2, "two")}).changed);
    BOOST_TEST(this->state.config()->document == "three");
}

BOOST_AUTO_TEST_CASE(IgnoresALateAnnouncement)
{
    WorkerRecord worker;
    worker.id = InstanceId("worker");
    worker.incarnation = WorkerIncarnation(2000ms);
    worker.draining = true;
    worker.announcement = 7;
    this->apply(AnnounceWorker{.worker = worker});
    WorkerRecord late = worker;
    late.draining = false;
    late.announcement = 6;
    this->apply(AnnounceWorker{.worker = late});
    BOOST_TEST(this->state.worker(worker.id)->draining);
    late.announcement = 9;
    late.incarnation = WorkerIncarnation(1000ms);
    this->apply(AnnounceWorker{.worker = late});
    BOOST_TEST(this->state.worker(worker.id)->draining);
    this->apply(ForgetWorker{.id = worker.id, .incarnation = WorkerIncarnation(1000ms)});
    BOOST_TEST(this->state.worker(worker.id).has_value());
}

BOOST_AUTO_TEST_CASE(RemembersAnEndedWorkflowForItsRetention)
{
    this->accept("a", {step(1)});
    this->apply(CancelWorkflow{.id = WorkflowId("a")}, CellTime(10s));
    // Ended workflows are removed when another workflow of the same shard is accepted.
    for (int i = 0; i < 64; ++i) {
        this->accept("b" + std::to_string(i), {step(1)}, CellTime(65s));
    }
    BOOST_TEST(this->state.status(WorkflowId("a")).has_value());
    for (int i = 0; i < 64; ++i) {
        this->accept("c" + std::to_string(i), {step(1)}, CellTime(71s));
    }
    BOOST_TEST(!this->state.status(WorkflowId("a")).has_value());
}

BOOST_AUTO_TEST_CASE(RestoresEverythingFromASnapshot)
{
    this->apply(PutConfig{.config = configWithVersion(3, "three")});
    this->apply(SetEvacuation{.domain = FailureDomainId("domain"), .evacuated = true});
    this->accept("a", {step(2)});
    this->accept("b", {step(1)});
    this->assign("a", 0, 4);
    this->apply(CancelWorkflow{.id = WorkflowId("b")});
    WorkflowState copy{1min};
    BOOST_REQUIRE(ok(copy.restore(this->state.snapshot())));
    BOOST_TEST(copy.snapshot() == this->state.snapshot());
    BOOST_TEST(copy.config()->document == "three");
    BOOST_TEST(copy.evacuated().contains(FailureDomainId("domain")));
    BOOST_TEST((copy.status(WorkflowId("b"))->phase == WorkflowPhase::Cancelled));
    BOOST_TEST(!ok(copy.restore("damaged")));
}

BOOST_AUTO_TEST_CASE(RejectsTruncatedCommands)
{
    const std::string bytes
        = encodeCommand(ProposedCommand{.origin = 1,
                                        .number = 2,
                                        .at = CellTime(3s),
                                        .command = CancelWorkflow{.id = WorkflowId("a")}});
    BOOST_REQUIRE(ok(decodeProposedCommand(bytes)));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!ok(decodeProposedCommand(bytes.substr(0, length))));
    }
    BOOST_TEST(!ok(decodeProposedCommand(bytes + "x")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RoutingConfigTest)

BOOST_AUTO_TEST_CASE(RejectsInvalidConfigurations)
{
    RoutingConfig config;
    config.upstreams.push_back(UpstreamRule{
        .name = "upstream", .workersEnforceCapacity = false, .standby = false, .healthPath = {}});
    QueueRule queue;
    queue.name = "queue";
    queue.host = "host";
    queue.pathPrefix = "/a/";
    queue.upstream = "upstream";
    queue.requestTimeout = 1s;
    config.queues.push_back(queue);
    BOOST_TEST(ok(checkConfig(config)));

    RoutingConfig unknown = config;
    unknown.queues.front().upstream = "other";
    BOOST_TEST(!ok(checkConfig(unknown)));
    RoutingConfig withoutTimeout = config;
    withoutTimeout.queues.front().requestTimeout = 0s;
    BOOST_TEST(!ok(checkConfig(withoutTimeout)));
    RoutingConfig twice = config;
    twice.queues.push_back(queue);
    twice.queues.back().name = "second";
    BOOST_TEST(!ok(checkConfig(twice)));
    RoutingConfig shared = config;
    shared.customers.push_back(
        CustomerRule{.id = CustomerId("a"), .keys = {"key"}, .weight = 1.0, .limit = {}});
    shared.customers.push_back(
        CustomerRule{.id = CustomerId("b"), .keys = {"key"}, .weight = 1.0, .limit = {}});
    BOOST_TEST(!ok(checkConfig(shared)));
}

BOOST_AUTO_TEST_CASE(FindsTheLongestPrefix)
{
    RoutingConfig config;
    for (const std::string prefix : {"/", "/a/", "/a/b/"}) {
        QueueRule queue;
        queue.name = prefix;
        queue.host = "host";
        queue.pathPrefix = prefix;
        config.queues.push_back(queue);
    }
    BOOST_TEST(findQueue(config, "host", "/a/b/c")->name == "/a/b/");
    BOOST_TEST(findQueue(config, "host", "/x")->name == "/");
    BOOST_TEST(findQueue(config, "other", "/x") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
