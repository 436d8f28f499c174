#include <contract/contract.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace gooseberry;

namespace {

/** Checks a property with a fixed seed, so that failures are reproducible. */
template<typename Property>
void checkProperty(std::uint64_t seed, int runs, Property &&property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = runs;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property),
                                                  rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(),
               "seed " << seed << ": " << text.str());
}

const std::string sampleDeclaration = R"(domains:
  - {name: a, region: r}
templates:
  - name: t
    parameters: {n: {type: integer, minimum: 1, maximum: 9, default: 2}}
    customer: {teams: [{name: x, limit: {cores: "${n}", memory: 1GiB, slots: 1}}]}
customers:
  - {name: c, template: t, parameters: {n: 3}}
remove: {customers: [gone]}
)";

/** Characters with a meaning in YAML, and a few without. */
const std::string editCharacters = " \n\t:{}[],-#&*!|>'\"%@`~?$abnr019.";

} // namespace

BOOST_AUTO_TEST_SUITE(DeclarationPropertyTest)

// Guards against crashes, hangs and errors without a position when a file is corrupt.
BOOST_AUTO_TEST_CASE(RefusesCorruptFilesWithPosition)
{
    checkProperty(7101, 2000, [](const std::vector<std::pair<std::uint16_t, std::uint8_t>> &edits) {
        std::string text = sampleDeclaration;
        for (const auto &[at, letter] : edits) {
            text[at % text.size()] = editCharacters[letter % editCharacters.size()];
        }
        const Result<CellConfig> next = applyDeclaration({}, text, "f.yaml");
        if (ok(next)) {
            // An accepted file must yield canonical text with the same meaning.
            const Result<CellConfig> again = applyDeclaration({}, valueOf(next).source, "f.yaml");
            RC_ASSERT(ok(again));
            RC_ASSERT(valueOf(again) == valueOf(next));
        } else {
            RC_ASSERT(errorOf(next).message.compare(0, 7, "f.yaml:") == 0);
            RC_ASSERT(errorOf(next).outcome == Outcome::NotRun);
        }
    });
}

// Guards against scalars that change when they are written as canonical text and read again.
BOOST_AUTO_TEST_CASE(AnyTextRoundTripsThroughCanonicalForm)
{
    checkProperty(7102, 2000, [](const std::string &raw) {
        DocumentNode node;
        node.kind = DocumentNode::Kind::Map;
        DocumentNode child;
        child.kind = DocumentNode::Kind::Scalar;
        child.key = "k";
        for (const char letter : raw) {
            child.text += letter >= ' ' && letter < 127 ? letter : '\n';
        }
        node.children.push_back(child);
        const Result<DocumentNode> again = parseDocument(writeDocument(node), "f");
        RC_ASSERT(ok(again));
        RC_ASSERT(valueOf(again).children.at(0).text == child.text);
    });
}

// Guards against a merge whose result depends on anything but the last declaration of each name.
BOOST_AUTO_TEST_CASE(ApplyingAnyOrderTwiceChangesNothing)
{
    checkProperty(7103, 300, [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &changes) {
        CellConfig config;
        for (const auto &[name, cores] : changes) {
            const std::string text = "customers:\n  - name: c" + std::to_string(name % 5)
                + "\n    teams: [{name: t, limit: {cores: " + std::to_string(cores + 1)
                + ", memory: 1GiB, slots: 1}}]\n";
            const Result<CellConfig> next = applyDeclaration(config, text, "f.yaml");
            RC_ASSERT(ok(next));
            const Result<CellConfig> again = applyDeclaration(valueOf(next), text, "f.yaml");
            RC_ASSERT(ok(again));
            RC_ASSERT(valueOf(again).source == valueOf(next).source);
            config = valueOf(next);
            const Team *team = findTeam(config, TeamId("c" + std::to_string(name % 5) + "/t"));
            RC_ASSERT(team != nullptr);
            RC_ASSERT(team->limit.maximum.cpu.value == (cores + 1) * 1000);
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
