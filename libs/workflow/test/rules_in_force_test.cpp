// Tests of the rules for accepted work across changes of the configuration.

#include <boost/test/unit_test.hpp>
#include <workflow/records.h>
#include <workflow/workflow.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

QueueRule queueNamed(const std::string &name, const std::string &prefix)
{
    QueueRule queue;
    queue.name = name;
    queue.host = "host";
    queue.pathPrefix = prefix;
    queue.upstream = "upstream";
    return queue;
}

RoutingConfig configWith(std::uint64_t version, std::vector<QueueRule> queues)
{
    RoutingConfig config;
    config.version = ConfigVersion(version);
    config.queues = std::move(queues);
    return config;
}

struct RulesFixture
{
    void apply(WorkflowCommand command, CellTime at = CellTime{})
    {
        this->state.apply(
            ProposedCommand{.origin = 1, .number = 1, .at = at, .command = std::move(command)});
    }

    void accept(const std::string &id, const std::string &queue)
    {
        WorkflowSpec spec;
        spec.steps.resize(1);
        this->apply(AcceptWorkflow{.id = WorkflowId(id),
                                   .queue = queue,
                                   .upstream = "upstream",
                                   .customer = CustomerId("customer"),
                                   .attempts = 1,
                                   .spec = encodeRecord(spec)});
    }

    std::string ruleOf(const std::string &name) const
    {
        const auto rules = this->state.rules();
        const QueueRule *const rule = findQueueOfWork(*rules, name);
        return rule == nullptr ? "none" : rule->name;
    }

    WorkflowState state{1min};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RulesInForceTest, RulesFixture)

BOOST_AUTO_TEST_CASE(AppliesTheRuleThatCallersReachInPlaceOfARemovedOne)
{
    this->apply(
        PutConfig{.config = configWith(1, {queueNamed("a", "/a/"), queueNamed("b", "/b/")})});
    this->apply(PutConfig{.config = configWith(2, {queueNamed("c", "/a/")})});
    BOOST_TEST(this->ruleOf("a") == "c");
    BOOST_TEST(this->ruleOf("b") == "b");
    BOOST_TEST(this->ruleOf("d") == "none");
}

// Guards against a queue of another upstream that takes over the address of a removed one: its
// rules are for other workers.
BOOST_AUTO_TEST_CASE(KeepsTheOldRuleIfTheAddressLeadsToAnotherUpstream)
{
    this->apply(PutConfig{.config = configWith(1, {queueNamed("a", "/a/")})});
    QueueRule other = queueNamed("c", "/a/");
    other.upstream = "other";
    this->apply(PutConfig{.config = configWith(2, {other})});
    BOOST_TEST(this->ruleOf("a") == "a");
}

// Guards against rules that pile up over hundreds of changes, and against the loss of one that a
// live workflow still needs.
BOOST_AUTO_TEST_CASE(ForgetsARemovedRuleOnceNoWorkRefersToIt)
{
    this->apply(
        PutConfig{.config = configWith(1, {queueNamed("a", "/a/"), queueNamed("b", "/b/")})});
    this->accept("work", "a");
    this->apply(PutConfig{.config = configWith(2, {})});
    this->apply(PutConfig{.config = configWith(3, {})}, CellTime(59s));
    BOOST_TEST(this->ruleOf("b") == "b");
    this->apply(PutConfig{.config = configWith(4, {})}, CellTime(61s));
    BOOST_TEST(this->ruleOf("a") == "a");
    BOOST_TEST(this->ruleOf("b") == "none");
    this->apply(CancelWorkflow{.id = WorkflowId("work")});
    this->apply(PutConfig{.config = configWith(5, {})}, CellTime(62s));
    BOOST_TEST(this->ruleOf("a") == "none");
}

// Guards against waiting work that no count shows: callers read the count at the address of the
// queue, whose name has changed.
BOOST_AUTO_TEST_CASE(CountsWorkThatWaitsUnderAnEarlierNameOfTheQueue)
{
    this->apply(PutConfig{.config = configWith(1, {queueNamed("a", "/a/")})});
    this->accept("one", "a");
    this->apply(PutConfig{.config = configWith(2, {queueNamed("c", "/a/")})});
    this->accept("two", "c");
    BOOST_TEST(this->state.queuedCount("c") == 2U);
}

BOOST_AUTO_TEST_CASE(RestoresRemovedRulesFromASnapshot)
{
    this->apply(PutConfig{.config = configWith(1, {queueNamed("a", "/a/")})});
    this->apply(PutConfig{.config = configWith(2, {})});
    const std::string snapshot = this->state.snapshot();
    this->apply(PutConfig{.config = configWith(3, {queueNamed("a", "/other/")})});
    BOOST_REQUIRE(ok(this->state.restore(snapshot)));
    BOOST_TEST(this->ruleOf("a") == "a");
    BOOST_TEST(this->state.snapshot() == snapshot);
}

// Guards against a node that can't start after an update, since its snapshot has an older format.
BOOST_AUTO_TEST_CASE(ReadsSnapshotsWithoutRemovedRules)
{
    StoredState stored;
    stored.version = 1;
    stored.config = configWith(7, {queueNamed("a", "/a/")});
    BOOST_REQUIRE(ok(this->state.restore(encodeRecord(stored))));
    BOOST_TEST(this->ruleOf("a") == "a");
}

BOOST_AUTO_TEST_SUITE_END()
