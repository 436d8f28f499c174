#include <contract/contract.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

const std::string base = R"(domains:
  - {name: heredia, region: valle-central}
templates:
  - name: plan
    parameters:
      cores: {type: quantity, of: cores, minimum: 1, maximum: 256, default: 32}
      memory: {type: quantity, of: memory, minimum: 1GiB, maximum: 2TiB}
      waiting: {type: integer, minimum: 10, maximum: 500, default: 100}
      share: {type: number, minimum: 0.5, maximum: 8, default: 1}
      class: {type: choice, choices: [batch, service], default: batch}
      open: {type: boolean, default: false}
    customer:
      share: ${share}
      teams:
        - name: main
          limit: {cores: "${cores}", memory: "${memory}", slots: 64}
          keys: [first]
      queues:
        - {name: work, team: main, classes: ["${class}"], openToAll: "${open}", maxPendingTasks: "${waiting}"}
customers:
  - {name: asada, template: plan, parameters: {memory: 64GiB}}
  - {name: beneficio, template: plan, parameters: {memory: 128GiB, cores: 64, share: 2}}
)";

CellConfig applied(const CellConfig &current, const std::string &text)
{
    const Result<CellConfig> next = applyDeclaration(current, text, "f.yaml");
    BOOST_REQUIRE_MESSAGE(ok(next), (ok(next) ? "" : errorOf(next).message));
    return valueOf(next);
}

std::string refusal(const CellConfig &current, const std::string &text)
{
    const Result<CellConfig> next = applyDeclaration(current, text, "f.yaml");
    BOOST_REQUIRE_MESSAGE(!ok(next), "was accepted: " << text);
    return errorOf(next).message;
}

void expectRefusal(const std::string &text, const std::string &message)
{
    const std::string got = refusal(applied({}, base), text);
    BOOST_TEST(got.find(message) != std::string::npos,
               "expected '" << message << "', got '" << got << "'");
}

std::string team(const std::string &limit)
{
    return "customers:\n  - name: c\n    teams:\n      - name: t\n        limit: " + limit + '\n';
}

} // namespace

BOOST_AUTO_TEST_SUITE(DeclarationTest)

// Guards against template parameters or defaults that are not applied to the customer.
BOOST_AUTO_TEST_CASE(FillsTemplatesWithParametersAndDefaults)
{
    const CellConfig config = applied({}, base);
    const Team *large = findTeam(config, TeamId("beneficio/main"));
    BOOST_REQUIRE(large != nullptr);
    BOOST_TEST(large->limit.maximum.cpu.value == 64'000);
    BOOST_TEST(large->limit.maximum.memory.value == 128LL << 30);
    BOOST_TEST((large->keys == std::vector{KeyId("beneficio.main.first")}));
    BOOST_TEST(findCustomer(config, CustomerId("beneficio"))->share.weight == 2.0);
    const Queue *queue = findQueue(config, QueueId("asada/work"));
    BOOST_REQUIRE(queue != nullptr);
    BOOST_TEST(queue->maxPendingTasks == 100U);
    BOOST_TEST((queue->classes == std::set{JobClass::Batch}));
    BOOST_TEST(!queue->openToAll);
}

// Guards against a resent change that yields a different configuration.
BOOST_AUTO_TEST_CASE(ApplyingTheSameFileTwiceChangesNothing)
{
    const CellConfig once = applied({}, base);
    const CellConfig twice = applied(once, base);
    BOOST_TEST((once == twice));
    BOOST_TEST(once.source == twice.source);
    const std::string removal = "remove: {customers: [asada]}\n";
    const CellConfig removed = applied(twice, removal);
    BOOST_TEST((applied(removed, removal) == removed));
}

// Guards against canonical text that changes when it is read back, which would break the digest.
BOOST_AUTO_TEST_CASE(CanonicalTextReadsBackToItself)
{
    const CellConfig config = applied({}, base);
    const CellConfig again = applied({}, config.source);
    BOOST_TEST(again.source == config.source);
    BOOST_TEST((again == config));
    BOOST_TEST((valueOf(loadDeclarations(config.source)) == config));
    BOOST_TEST((valueOf(loadDeclarations("")) == CellConfig{}));
}

// Guards against a file with one customer that removes the other customers.
BOOST_AUTO_TEST_CASE(ReplacesOneItemAndKeepsTheRest)
{
    const CellConfig before = applied({}, base);
    const CellConfig after = applied(
        before,
        "customers:\n  - {name: asada, template: plan, parameters: {memory: 96GiB, open: true}}\n");
    BOOST_TEST(after.customers.size() == 2U);
    BOOST_TEST(findTeam(after, TeamId("asada/main"))->limit.maximum.memory.value == 96LL << 30);
    BOOST_TEST(findQueue(after, QueueId("asada/work"))->openToAll);
    BOOST_TEST((*findTeam(after, TeamId("beneficio/main"))
                == *findTeam(before, TeamId("beneficio/main"))));
}

// Guards against a template change that is not applied to existing customers.
BOOST_AUTO_TEST_CASE(TemplateChangeReachesItsCustomers)
{
    const CellConfig after = applied(applied({}, base), R"(templates:
  - name: plan
    parameters:
      memory: {type: quantity, of: memory}
      cores: {type: quantity, of: cores, default: 8}
      share: {type: number, default: 1}
    customer:
      share: ${share}
      teams: [{name: other, limit: {cores: "${cores}", memory: "${memory}", slots: 1}}]
)");
    BOOST_TEST(findTeam(after, TeamId("asada/main")) == nullptr);
    BOOST_TEST(findTeam(after, TeamId("asada/other"))->limit.maximum.cpu.value == 8000);
}

// Guards against a template without a parameter that a customer in force still sets.
BOOST_AUTO_TEST_CASE(TemplateChangeThatBreaksACustomerIsRefused)
{
    expectRefusal(R"(templates:
  - name: plan
    parameters: {memory: {type: quantity, of: memory}}
    customer: {teams: [{name: t, limit: {cores: 1, memory: "${memory}", slots: 1}}]}
)",
                  "unknown key 'cores' in 'parameters' of template 'plan'; allowed are memory");
}

// Guards against a removal that keeps the item or removes one that is still in use.
BOOST_AUTO_TEST_CASE(RemovesByKindAndName)
{
    const CellConfig after
        = applied(applied({}, base), "remove: {customers: [asada], domains: [heredia]}\n");
    BOOST_TEST(findCustomer(after, CustomerId("asada")) == nullptr);
    BOOST_TEST(findCustomer(after, CustomerId("beneficio")) != nullptr);
    BOOST_TEST(after.domains.empty());
    expectRefusal("remove: {templates: [plan]}\n",
                  "template 'plan' does not exist; declared are none");
    expectRefusal("remove: {customers: [x]}\ncustomers:\n  - {name: x, template: plan}\n",
                  "f.yaml:1:22: 'x' in 'customers' is both declared and removed");
    expectRefusal("remove: {teams: [x]}\n",
                  "f.yaml:1:10: unknown key 'teams' in 'remove'; allowed are domains, templates, "
                  "customers");
}

// Guards against errors that name a wrong position or omit the allowed values.
BOOST_AUTO_TEST_CASE(NamesLineColumnAndAllowedValues)
{
    expectRefusal("customer: []\n",
                  "f.yaml:1:1: unknown key 'customer' in a declaration; allowed are domains, "
                  "templates, customers, remove");
    expectRefusal("customers:\n  - name: c\n    template: pan\n",
                  "f.yaml:3:15: template 'pan' does not exist; declared are plan");
    expectRefusal("customers:\n  - name: c\n    template: plan\n",
                  "f.yaml:2:5: parameter 'memory' of template 'plan' is missing; it must be a "
                  "quantity of memory with the unit MiB, GiB or TiB from 1GiB up to 2TiB");
    expectRefusal("customers:\n  - name: c\n    template: plan\n    parameters: {memory: 3TiB}\n",
                  "f.yaml:4:26: parameter 'memory' must be a quantity of memory with the unit MiB, "
                  "GiB or TiB from 1GiB up to 2TiB, not '3TiB'");
    expectRefusal("customers: {}\n", "f.yaml:1:12: 'customers' must be a list, not a map");
    expectRefusal("- a\n", "f.yaml:1:1: a declaration must be a map, not a list");
    expectRefusal("customers:\n  - name: Asada\n", "f.yaml:2:11: 'name' must be a name of");
    expectRefusal("domains:\n  - name: x\n", "f.yaml:2:5: a domain needs the key 'region'");
    expectRefusal("a: [\n", "f.yaml:2:1: not valid YAML");
}

// Guards against reporting only the first of several problems.
BOOST_AUTO_TEST_CASE(ReportsAllProblemsOfAFileInOrder)
{
    const std::string got = refusal({}, "domains:\n  - {name: A, region: r}\n  - {name: b}\n");
    BOOST_TEST(got.find("f.yaml:2:12") < got.find("f.yaml:3:5"));
    BOOST_TEST(got.find("f.yaml:3:5") != std::string::npos, got);
}

// Guards against parameter values that violate their type or bounds and are accepted.
BOOST_AUTO_TEST_CASE(ChecksParameterTypesAndBounds)
{
    const auto with = [](const std::string &parameters) {
        return "customers: [{name: c, template: plan, parameters: {memory: 1GiB, " + parameters
            + "}}]\n";
    };
    expectRefusal(with("cores: 0.5"), "a quantity of cores from 1 up to 256, not '0.5'");
    expectRefusal(with("waiting: 9"), "a whole number from 10 up to 500, not '9'");
    expectRefusal(with("waiting: 10.0"), "a whole number from 10 up to 500, not '10.0'");
    expectRefusal(with("waiting: [10]"), "'waiting' must be a whole number from 10 up to 500");
    expectRefusal(with("share: nan"), "a number from 0.5 up to 8, not 'nan'");
    expectRefusal(with("share: 8.01"), "a number from 0.5 up to 8, not '8.01'");
    expectRefusal(with("class: gang"), "one of batch, service, not 'gang'");
    expectRefusal(with("open: yes"), "true or false, not 'yes'");
    expectRefusal(with("size: 1"),
                  "unknown key 'size' in 'parameters' of template 'plan'; allowed are cores, "
                  "memory, waiting, share, class, open");
    applied(applied({}, base), with("cores: 256, waiting: 500, share: 0.5, class: service"));
}

// Guards against invalid templates that fail only when the first customer uses them.
BOOST_AUTO_TEST_CASE(ChecksUnusedTemplates)
{
    const auto with = [](const std::string &parameters, const std::string &body) {
        return "templates:\n  - name: t\n    parameters: {" + parameters
            + "}\n    customer: " + body + '\n';
    };
    const std::string body
        = "{teams: [{name: a, limit: {cores: \"${n}\", memory: 1GiB, slots: 1}}]}";
    expectRefusal(with("n: {type: integr}", body),
                  "f.yaml:3:28: 'type' must be one of integer, number, text, choice, boolean, "
                  "quantity, not 'integr'");
    expectRefusal(with("n: {type: integer, maximum: 9, default: 10}", body),
                  "'default' must be a whole number up to 9, not '10'");
    expectRefusal(with("n: {type: quantity}", body), "parameter 'n' needs the key 'of'");
    expectRefusal(with("n: {type: choice}", body), "parameter 'n' needs the key 'choices'");
    expectRefusal(with("n: {type: text, minimum: 3}", body), "unknown key 'minimum'");
    expectRefusal(with("", body), "template 't' has no parameter 'n'");
    expectRefusal(with("n: {type: integer}, m: {type: integer}", body),
                  "parameter 'm' is not used in the template");
    expectRefusal(with("", "{team: []}"), "unknown key 'team' in customer 't'");
}

// Guards against limits that overflow, are negative or are zero by mistake.
BOOST_AUTO_TEST_CASE(ChecksQuantities)
{
    const auto expectLimit = [](const std::string &limit, const std::string &message) {
        expectRefusal(team(limit), message);
    };
    expectLimit("{cores: -1, memory: 1GiB, slots: 1}", "f.yaml:5:24: 'cores' must be a number of");
    expectLimit("{cores: 0, memory: 1GiB, slots: 1}", "f.yaml:5:24: 'cores' must be above zero");
    expectLimit("{cores: 1, memory: 1GB, slots: 1}", "with the unit MiB, GiB or TiB");
    expectLimit("{cores: 1, memory: 1024, slots: 1}", "with the unit MiB, GiB or TiB");
    expectLimit("{cores: 1, memory: 99999999999999999999TiB, slots: 1}", "not '99999999999999");
    expectLimit("{cores: 1, memory: 9007199254740993TiB, slots: 1}", "not '9007199254740993TiB'");
    expectLimit("{cores: 9223372036854775807, memory: 1GiB, slots: 1}",
                "must be a number of cores");
    expectLimit("{cores: 1, memory: 1GiB, slots: 1.5}", "'slots' must be a whole number from 0");
    expectLimit("{cores: 1, memory: 1GiB, accelerators: -2, slots: 1}", "'accelerators' must be");
    expectLimit("{cores: 1, memory: 1GiB}", "'limit' needs the key 'slots'");
    expectLimit("{core: 1}", "allowed are cores, memory, accelerators, slots");
}

// Guards against two items with the same name, one of which would be ignored silently.
BOOST_AUTO_TEST_CASE(RefusesDuplicates)
{
    expectRefusal("domains:\n  - {name: a, region: r}\n  - {name: a, region: s}\n",
                  "f.yaml:3:12: 'a' is declared twice in 'domains', first at f.yaml:2:5");
    expectRefusal("domains: []\ndomains: []\n",
                  "f.yaml:2:1: key 'domains' is set twice, first in line 1");
    const std::string limit = "limit: {cores: 1, memory: 1GiB, slots: 1}";
    expectRefusal("customers:\n  - name: c\n    teams:\n      - {name: t, " + limit
                      + ", keys: [k, k]}\n      - {name: t, " + limit + "}\n",
                  "f.yaml:5:16: team 't' is listed twice");
    expectRefusal("customers:\n  - name: c\n    teams:\n      - {name: t, " + limit
                      + ", keys: [k, k]}\n",
                  "f.yaml:4:72: key 'k' is listed twice");
}

// Guards against queues without an owning team and queues that accept no job.
BOOST_AUTO_TEST_CASE(ChecksQueues)
{
    const auto queue = [](const std::string &fields) {
        return team("{cores: 1, memory: 1GiB, slots: 1}") + "    queues:\n      - {name: q, "
            + fields + "}\n";
    };
    expectRefusal(queue("team: x, classes: [batch]"),
                  "f.yaml:7:25: customer 'c' has no team 'x'; it has t");
    expectRefusal(queue("team: t, classes: [bach]"),
                  "a class must be one of service, batch, gang, urgent, not 'bach'");
    expectRefusal(queue("team: t, classes: []"), "'classes' must name at least one of");
    expectRefusal(queue("team: t, classes: batch"), "'classes' must be a list");
    expectRefusal(queue("team: t, classes: [gang, gang]"), "class 'gang' is listed twice");
    expectRefusal(queue("team: t, classes: [gang], maxPendingTasks: 0"),
                  "a whole number from 1 to 1000000, not '0'");
}

// Guards against a guarantee that the team's own limit makes impossible.
BOOST_AUTO_TEST_CASE(RefusesGuaranteeAboveLimit)
{
    expectRefusal(team("{cores: 2, memory: 1GiB, slots: 1}") + "        guaranteed: {cores: 3}\n",
                  "f.yaml:6:21: 'guaranteed' exceeds 'limit' in cpu");
}

// Guards against files that exhaust memory or stack or that are ambiguous.
BOOST_AUTO_TEST_CASE(RefusesMaliciousDocuments)
{
    expectRefusal("a: &x [1]\nb: *x\n", "f.yaml:1:4: anchors are not allowed");
    expectRefusal("domains: !!seq []\n", "tags are not allowed");
    expectRefusal("domains: []\n---\ncustomers: []\n", "only one document is allowed in a file");
    expectRefusal("domains: []\x04\ncustomers: 7\n", "f.yaml:1:12: control characters");
    expectRefusal("? [a]\n: b\n", "a key must be text");
    expectRefusal("domains: " + std::string(40, '[') + std::string(40, ']') + "\n",
                  "nested deeper than 16 levels");
    expectRefusal(std::string(300'000, '#'), "bytes, allowed are 262144");
    std::string many = "domains: [";
    for (int i = 0; i < 60'000; ++i) {
        many += "1,";
    }
    expectRefusal(many + "]\n", "more than 50000 values");
    expectRefusal("domains:\n  - {name: \"a\\x01b\", region: r}\n", "not 'a?b'");
}

BOOST_AUTO_TEST_SUITE_END()
