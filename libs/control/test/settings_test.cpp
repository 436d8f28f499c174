#include <control/control.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace gooseberry;

namespace {

const std::string minimal = "id: a\ndomain: heredia\nlisten: 127.0.0.1:7000\n";

const std::string complete = R"(id: a
domain: heredia
cell: valle-central
listen: 127.0.0.1:7000
peerListen: 127.0.0.1:7100
peers:
  - {id: a, address: "127.0.0.1:7100", domain: heredia, voter: true}
  - {id: b, address: "127.0.0.2:7100", domain: alajuela, voter: true}
dataFolder: /tmp/a
voter: true
bootstrap: true
operatorToken: open-sesame
workerToken: hard-work
threads: 4
stepInterval: 10ms
drainPatience: 15m
logLevel: warn
)";

std::string refusalMessage(const std::string &text)
{
    const Result<Settings> settings = parseSettings(text, "s.yaml");
    BOOST_REQUIRE_MESSAGE(!ok(settings), "was accepted: " << text);
    return errorOf(settings).message;
}

void expectRefusal(const std::string &text, const std::string &message)
{
    const std::string actual = refusalMessage(text);
    BOOST_TEST(actual.find(message) != std::string::npos,
               "expected '" << message << "', got '" << actual << "'");
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

// Guards against a key that is accepted but has no effect.
BOOST_AUTO_TEST_CASE(ReadsEveryKey)
{
    const Result<Settings> read = parseSettings(complete, "s.yaml");
    BOOST_REQUIRE_MESSAGE(ok(read), (ok(read) ? "" : errorOf(read).message));
    const Settings &settings = valueOf(read);
    BOOST_TEST(settings.cell == "valle-central");
    BOOST_TEST(settings.domain.value == "heredia");
    BOOST_TEST(toString(*settings.peerListen) == "127.0.0.1:7100");
    BOOST_REQUIRE(settings.peers.size() == 2U);
    BOOST_TEST(settings.peers[1].domain.value == "alajuela");
    BOOST_TEST(settings.peers[1].voter);
    BOOST_TEST(settings.dataFolder->string() == "/tmp/a");
    BOOST_TEST(settings.bootstrap);
    BOOST_TEST(settings.threads == 4U);
    BOOST_TEST(settings.stepInterval.count() == 10);
    BOOST_TEST(settings.drainTimeout.count() == 900'000);
    BOOST_TEST(settings.logLevel == "warn");
}

// Guards against a lone instance that ignores its data folder.
BOOST_AUTO_TEST_CASE(InstanceWithoutPeersVotesIfItHasADataFolder)
{
    BOOST_TEST(!valueOf(parseSettings(minimal, "s")).voter);
    BOOST_TEST(valueOf(parseSettings(minimal + "dataFolder: /tmp/a\n", "s")).voter);
    BOOST_TEST(!valueOf(parseSettings(minimal + "dataFolder: /tmp/a\nvoter: false\n", "s")).voter);
}

// Guards against errors that send the operator to the wrong line or report only the first.
BOOST_AUTO_TEST_CASE(ReportsAllProblemsWithPositions)
{
    const std::string message
        = refusalMessage("id: A\ndomain: heredia\nlisten: localhost:7000\nthreds: 3\nthreads: 0\n");
    for (const char *expected :
         {"s.yaml:1:5: 'id' must be a name of", "s.yaml:3:9: 'listen' must be IP:PORT",
          "s.yaml:4:1: unknown key 'threds' in the settings; allowed are id, domain, cell, listen",
          "s.yaml:5:10: 'threads' must be a whole number from 1 to 64, not '0'"}) {
        BOOST_TEST(message.find(expected) != std::string::npos,
                   "expected " << expected << " in " << message);
    }
    expectRefusal("", "s.yaml:1:1: the settings must be a map, not nothing");
    expectRefusal("id: a\n", "s.yaml:1:1: the settings needs the key 'listen'");
    expectRefusal(minimal + "stepInterval: 20\n", "'stepInterval' must be a duration up to 168h");
    expectRefusal(minimal + "stepInterval: 2s\n", "'stepInterval' must be from 1ms to 1000ms");
    expectRefusal(minimal + "logLevel: loud\n", "must be one of trace, debug, info, warn, error");
    expectRefusal(minimal + "voter: true\n", "s.yaml:4:8: 'voter: true' needs 'dataFolder'");
    expectRefusal(minimal + "bootstrap: true\n", "'bootstrap: true' needs 'dataFolder'");
    expectRefusal(minimal + "peerListen: 127.0.0.1:7000\n", "must differ from 'listen'");
}

// Guards against a list of peers that names an instance twice or contradicts the settings.
BOOST_AUTO_TEST_CASE(ChecksPeers)
{
    expectRefusal(replaced(complete, "id: b", "id: a"), "s.yaml:8:10: peer 'a' stands here twice");
    expectRefusal(replaced(complete, "127.0.0.2:7100", "127.0.0.1:7100"), "belongs to two peers");
    expectRefusal(replaced(complete, "127.0.0.2:7100", "peer-b:7100"),
                  "s.yaml:8:22: 'address' must be IP:PORT with an IP number");
    expectRefusal(replaced(complete, "domain: heredia, voter", "domain: cartago, voter"),
                  "must have the same domain as the settings: heredia");
    expectRefusal(replaced(complete, "peerListen: 127.0.0.1:7100\n", ""),
                  "needs the key 'peerListen'");
}

// Guards against a secret that reaches a terminal or a log through an error message.
BOOST_AUTO_TEST_CASE(NeverRepeatsATokenInMessages)
{
    for (const std::string &line :
         {std::string("operatorToken: \"s3cr3t word\"\n"), std::string("workerToken: [s3cr3t]\n"),
          std::string("operatorToken: s3cr3t\nthreads: 0\n"), std::string("operatorTokn: s3cr3t\n"),
          std::string("operatorToken: s3cr3t: x\n")}) {
        const std::string message = refusalMessage(minimal + line);
        BOOST_TEST(message.find("s3cr3t") == std::string::npos, message);
    }
}

// Guards against sample settings that the daemon refuses or that contradict each other.
BOOST_AUTO_TEST_CASE(SampleSettingsAgree)
{
    for (const char *deployment : {"sicilia-est", "valle-central"}) {
        std::vector<PeerSettings> peers;
        for (const char *name : {"control-1", "control-2", "control-3"}) {
            const std::string file = std::string(GL_SOURCE_DIR) + "/samples/" + deployment
                + "/settings/" + name + ".yaml";
            const Result<Settings> read = readSettings(file);
            BOOST_REQUIRE_MESSAGE(ok(read), (ok(read) ? "" : errorOf(read).message));
            const Settings &settings = valueOf(read);
            BOOST_TEST(settings.id.value == name);
            BOOST_TEST(settings.cell == deployment);
            peers = peers.empty() ? settings.peers : peers;
            BOOST_TEST((settings.peers == peers));
            BOOST_TEST(peers.size() == 3U);
        }
    }
}

// Guards against a missing file that is reported as an empty one.
BOOST_AUTO_TEST_CASE(NamesAFileThatCannotBeRead)
{
    const Result<Settings> read = readSettings("/nonexistent/s.yaml");
    BOOST_REQUIRE(!ok(read));
    BOOST_TEST(errorOf(read).message == "/nonexistent/s.yaml: the file can't be read");
}

// Guards against a crash or an error without position on damaged files.
BOOST_AUTO_TEST_CASE(DamagedFilesAreRefusedWithAPosition)
{
    rc::detail::TestParams params;
    params.seed = 7201;
    params.maxSuccess = 2000;
    // The characters that mean something in YAML, and a few that do not.
    const std::string letters = " \n\t:{}[],-#&*!|>'\"%@`~?$abnr019.";
    const auto property = [&](const std::vector<std::pair<std::uint16_t, std::uint8_t>> &edits) {
        std::string text = complete;
        for (const auto &[at, letter] : edits) {
            text[at % text.size()] = letters[letter % letters.size()];
        }
        const Result<Settings> settings = parseSettings(text, "s.yaml");
        if (!ok(settings)) {
            RC_ASSERT(errorOf(settings).message.compare(0, 7, "s.yaml:") == 0);
            RC_ASSERT(errorOf(settings).step == Step::Settings);
        }
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST(result.is<rc::detail::SuccessResult>(),
               "seed " << params.seed << ": " << text.str());
}

BOOST_AUTO_TEST_SUITE_END()
