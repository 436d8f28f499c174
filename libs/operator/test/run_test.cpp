#include <atomic>
#include <filesystem>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include <contract/contract.h>
#include <gateway/gateway.h>

#include "fake_cell.h"

using namespace gooseberry;

namespace {

/** Removes the files of this test program when it ends. */
struct TemporaryFolder
{
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(std::filesystem::path(temporaryFile("last", "")).parent_path(),
                                    ignored);
    }
};
BOOST_GLOBAL_FIXTURE(TemporaryFolder);

int codeOf(const RunResult &result)
{
    return static_cast<int>(result.code);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

const std::string declaration
    = "customers:\n  - name: asada\n    teams:\n      - {name: main, limit: {cores: 2, memory: "
      "4GiB, slots: 8}, keys: [first, second]}\n";

std::string canonical()
{
    return valueOf(applyDeclaration({}, declaration, "f")).source;
}

std::string configBody(std::uint64_t version, const std::string &source, const std::string &keys)
{
    return boost::json::serialize(boost::json::object{{"version", version},
                                                      {"declarations", source},
                                                      {"keys", boost::json::parse(keys)},
                                                      {"withdrawnKeys", boost::json::array()}});
}

std::vector<std::string> methodsOf(const FakeCell &cell)
{
    std::vector<std::string> methods;
    for (const HttpRequest &request : cell.requests()) {
        methods.push_back(request.method + ' ' + request.target);
    }
    return methods;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RunOperatorTest)

// Guards against a mistyped command line that is sent to a cell or ends with a misleading code.
BOOST_AUTO_TEST_CASE(MistakesInTheCommandLineAreUsageErrors)
{
    const std::vector<std::vector<std::string>> mistakes{{},
                                                         {"aply", "f"},
                                                         {"apply"},
                                                         {"status", "1", "2"},
                                                         {"status", "seven"},
                                                         {"status", "1", "--team", "x"},
                                                         {"top", "--output", "xml"},
                                                         {"top", "--server", "localhost:1"},
                                                         {"top", "--timeout", "5"},
                                                         {"top", "--timeout", "0s"},
                                                         {"top", "--unknown"},
                                                         {"key", "grant", "a"},
                                                         {"key", "withdraw", "../config"},
                                                         {"domain", "take-out", "a/b?c"},
                                                         {"domain", "remove", "a"},
                                                         {"get", "keys"},
                                                         {"completion", "fish"}};
    for (const auto &arguments : mistakes) {
        const RunResult result = run(arguments);
        BOOST_TEST(codeOf(result) == 2,
                   "arguments " << arguments.size() << " gave " << codeOf(result) << ": "
                                << result.err);
        BOOST_TEST(!result.err.empty());
        BOOST_TEST(result.out.empty());
    }
}

// Guards against a refusal that looks like success or like a lost connection.
BOOST_AUTO_TEST_CASE(RefusalExitsWithOneAndGivesTheReason)
{
    const FakeCell cell([](const HttpRequest &) {
        return refusal(401, "unauthenticated", "not-run", "the operator token is missing or wrong");
    });
    const RunResult result = run({"top", "--server", cell.name(), "--token", "s3cr3t"});
    BOOST_TEST(codeOf(result) == 1);
    BOOST_TEST(contains(result.err, "the operator token is missing or wrong"), result.err);
    BOOST_TEST(cell.requests().size() == 1U);
}

// Guards against an unreachable server that is reported as a refusal of the cell.
BOOST_AUTO_TEST_CASE(UnreachableServersExitWithFive)
{
    const RunResult result
        = run({"top", "--server", toString(FakeCell::freeAddress()), "--timeout", "300ms"});
    BOOST_TEST(codeOf(result) == 5, result.err);
}

// Guards against giving up while another instance could take the request.
BOOST_AUTO_TEST_CASE(TriesTheNextServerAfterNotRunAndRefusedConnection)
{
    const FakeCell follower([](const HttpRequest &) {
        return refusal(503, "not-leader", "not-run", "this instance does not lead");
    });
    const FakeCell leader([](const HttpRequest &) { return reply(200, "{}"); });
    const RunResult result
        = run({"domain", "take-out", "heredia", "--server", toString(FakeCell::freeAddress()),
               "--server", follower.name(), "--server", leader.name()});
    BOOST_TEST(codeOf(result) == 0, result.err);
    BOOST_TEST(follower.requests().size() == 1U);
    BOOST_TEST(
        (methodsOf(leader) == std::vector<std::string>{"POST /v1/domains/heredia/take-out"}));
}

// Guards against a resend with a new id, which would run the job twice.
BOOST_AUTO_TEST_CASE(ResendsWithTheSameIdAfterUnknownOutcome)
{
    std::atomic<int> count = 0;
    const FakeCell cell([&count](const HttpRequest &) {
        return ++count < 3 ? refusal(504, "deadline-exceeded", "unknown", "no reply in time")
                           : reply(202, R"({"job":"7"})");
    });
    const RunResult result = run(
        {"submit", "--server", cell.name(), "--queue", "a/b", "--cores", "1", "--slots", "1"});
    BOOST_TEST(codeOf(result) == 0, result.err);
    BOOST_TEST(result.out == "job 7\n");
    const std::vector<HttpRequest> requests = cell.requests();
    BOOST_REQUIRE(requests.size() == 3U);
    const std::string id = header(requests[0], "idempotency-key");
    BOOST_TEST(contains(result.err, "request id: " + id), result.err);
    for (const HttpRequest &request : requests) {
        BOOST_TEST(header(request, "idempotency-key") == id);
        BOOST_TEST(request.body == requests[0].body);
    }
}

// Guards against an unknown outcome that is reported as "did not run".
BOOST_AUTO_TEST_CASE(UnknownOutcomeExitsWithThree)
{
    const FakeCell cell([](const HttpRequest &) {
        return refusal(504, "deadline-exceeded", "unknown", "no reply in time");
    });
    const RunResult result
        = run({"cancel", "7", "--server", cell.name(), "--timeout", "400ms", "--output", "json"});
    BOOST_TEST(codeOf(result) == 3, result.err);
    BOOST_TEST(contains(result.err, R"("outcome":"unknown")"), result.err);
}

// Guards against "not-run" for a request of which an earlier attempt may have run.
BOOST_AUTO_TEST_CASE(UnknownOutcomeOutlivesALaterRefusal)
{
    std::atomic<int> count = 0;
    const FakeCell cell([&count](const HttpRequest &) {
        return ++count == 1 ? refusal(504, "deadline-exceeded", "unknown", "no reply in time")
                            : refusal(503, "not-leader", "not-run", "this instance does not lead");
    });
    BOOST_TEST(codeOf(run({"cancel", "7", "--server", cell.name(), "--timeout", "400ms"})) == 3);
}

// Guards against a rejected change that is reported as applied, and against a retry that
// overwrites the concurrent change.
BOOST_AUTO_TEST_CASE(ConflictExitsWithFourAndNamesTheActiveVersion)
{
    const FakeCell cell([](const HttpRequest &request) {
        return request.method == "GET"
            ? reply(200, configBody(4, "", "[]"))
            : refusal(409, "conflict", "not-run",
                      "version 5 can't follow version 5, which is in force");
    });
    const RunResult result
        = run({"apply", temporaryFile("f.yaml", declaration), "--server", cell.name()});
    BOOST_TEST(codeOf(result) == 4);
    BOOST_TEST(contains(result.err, "another change won: version 5"), result.err);
    BOOST_TEST(contains(result.err, "run plan again"), result.err);
    BOOST_TEST((methodsOf(cell)
                == std::vector<std::string>{"GET /v1/config", "PUT /v1/config?version=5"}));
}

// Guards against a new version for a file that changes nothing.
BOOST_AUTO_TEST_CASE(UnchangedDeclarationIsNotSent)
{
    const FakeCell cell([](const HttpRequest &) {
        return reply(200,
                     configBody(4, canonical(), R"(["asada.main.first","asada.main.second"])"));
    });
    const RunResult result
        = run({"apply", temporaryFile("f.yaml", declaration), "--server", cell.name()});
    BOOST_TEST(codeOf(result) == 0);
    BOOST_TEST(result.out == "unchanged: version 4 stays in force\n");
    BOOST_TEST((methodsOf(cell) == std::vector<std::string>{"GET /v1/config"}));
}

// Guards against a secret that leaves the operator's machine, and against keys made twice.
BOOST_AUTO_TEST_CASE(ApplyCreatesOnlyMissingKeysAndSendsOnlyHashes)
{
    const FakeCell cell([](const HttpRequest &request) {
        return reply(200,
                     request.method == "GET" ? configBody(0, "", R"(["asada.main.first"])") : "{}");
    });
    const RunResult result = run({"apply", temporaryFile("f.yaml", declaration), "--server",
                                  cell.name(), "--output", "json"});
    BOOST_REQUIRE_MESSAGE(codeOf(result) == 0, result.err);
    const boost::json::value printed = boost::json::parse(result.out);
    BOOST_TEST(printed.at("version").as_int64() == 1);
    BOOST_REQUIRE(printed.at("keys").as_array().size() == 1U);
    const std::string credential(printed.at("keys").at(0).at("key").as_string());
    const Credential parts = valueOf(parseCredential(credential));
    BOOST_TEST(parts.id.value == "asada.main.second");
    const std::vector<HttpRequest> requests = cell.requests();
    BOOST_REQUIRE(requests.size() == 3U);
    BOOST_TEST(requests[1].target == "/v1/config?version=1");
    const Key sent = valueOf(readKey(requests[2].body));
    BOOST_TEST(matchesSecret(sent, parts.secret));
    for (const HttpRequest &request : requests) {
        BOOST_TEST(!contains(request.body, parts.secret));
    }
    BOOST_TEST(!contains(result.err, parts.secret));
}

// Guards against an invalid second file that leaves the first one applied.
BOOST_AUTO_TEST_CASE(ChecksAllFilesBeforeSendingOne)
{
    const FakeCell cell([](const HttpRequest &) { return reply(200, configBody(0, "", "[]")); });
    const std::string bad = temporaryFile("bad.yaml", "customers:\n  - nme: x\n");
    const RunResult result
        = run({"apply", temporaryFile("f.yaml", declaration), bad, "--server", cell.name()});
    BOOST_TEST(codeOf(result) == 1);
    BOOST_TEST(contains(result.err, bad + ":2:5: "), result.err);
    BOOST_TEST(cell.requests().size() == 1U);
}

// Guards against a plan without its warnings, or one that changes something.
BOOST_AUTO_TEST_CASE(PlanShowsChangesAndFindings)
{
    const std::string top = R"({"teams":[{"team":"asada/main","running":{"cpuMillis":2000,)"
                            R"("memoryBytes":1,"accelerators":0,"slots":1}}],"queues":[],)"
                            R"("capacity":{"cpuMillis":8000,"memoryBytes":99999999999,)"
                            R"("accelerators":0,"slots":8}})";
    const FakeCell cell([&top](const HttpRequest &request) {
        return reply(200, request.target == "/v1/top" ? top : configBody(4, canonical(), "[]"));
    });
    const std::string file = temporaryFile(
        "g.yaml",
        "customers:\n  - name: asada\n    teams: [{name: main, limit: {cores: 1, memory: "
        "4GiB, slots: 8}, keys: [first, second]}]\n");
    const RunResult text = run({"plan", file, "--server", cell.name()});
    BOOST_TEST(codeOf(text) == 0, text.err);
    BOOST_TEST(contains(text.out, "limit 2 cores, 4GiB, 8 slots -> 1 cores, 4GiB, 8 slots"),
               text.out);
    BOOST_TEST(contains(text.out, "warning: asada/main runs 2 cores"), text.out);
    const RunResult yaml = run({"plan", file, "--server", cell.name(), "--output", "yaml"});
    BOOST_TEST(contains(yaml.out, "version: 4\nchanges:\n  - action: change\n    kind: team\n"),
               yaml.out);
    for (const HttpRequest &request : cell.requests()) {
        BOOST_TEST(request.method == "GET");
    }
}

// Guards against output that mixes the answer with messages, or an answer that was cut short.
BOOST_AUTO_TEST_CASE(WaitWritesOnlyTheAnswerToStandardOutput)
{
    std::atomic<int> polls = 0;
    std::atomic<bool> damaged = false;
    const FakeCell cell([&](const HttpRequest &request) {
        if (request.method == "POST") {
            return reply(202, R"({"job":"7"})");
        }
        if (request.target == "/v1/jobs/7") {
            return reply(200,
                         ++polls < 3 ? R"({"job":"7","state":"running","tasks":[]})"
                                     : R"({"job":"7","state":"succeeded","tasks":[]})");
        }
        HttpResponse answer = reply(200, {});
        answer.body = std::string("a\0b\n", 4);
        answer.headers["digest"] = digestHeader(answer.body);
        answer.body = damaged ? "a" : answer.body;
        return answer;
    });
    const std::string file = temporaryFile(
        "job.yaml", "queue: a/b\nperTask: {cores: 0.5, memory: 512MiB}\nexpectedRunTime: 2m\n");
    const std::vector<std::string> arguments{"submit", file,       "--wait",    "--request-id",
                                             "r1",     "--server", cell.name(), "--class",
                                             "urgent", "--output", "json"};
    const RunResult result = run(arguments, {{"GOOSEBERRY_KEY", "k.s3cr3t"}});
    BOOST_TEST(codeOf(result) == 0, result.err);
    BOOST_TEST(result.out == std::string("a\0b\n", 4));
    const HttpRequest sent = cell.requests().front();
    BOOST_TEST(header(sent, "authorization") == "Bearer k.s3cr3t");
    const JobSpec spec = valueOf(readJobSpec(sent.body));
    BOOST_TEST(spec.perTask.cpu.value == 500);
    BOOST_TEST(spec.perTask.memory.value == 512LL << 20);
    BOOST_TEST(spec.expectedRunTime.count() == 120'000);
    BOOST_TEST((spec.jobClass == JobClass::Urgent));
    damaged = true;
    const RunResult bad = run({"answer", "7", "--server", cell.name()});
    BOOST_TEST(codeOf(bad) == 1);
    BOOST_TEST(bad.out.empty());
}

// Guards against a failed job whose exit code says that it succeeded.
BOOST_AUTO_TEST_CASE(WaitReportsFailedAndUnknownJobs)
{
    for (const auto &[state, code] : {std::pair("failed", 1), std::pair("unknown", 3)}) {
        const FakeCell cell([state = std::string(state)](const HttpRequest &request) {
            return request.method == "POST"
                ? reply(202, R"({"job":"7"})")
                : reply(200, R"({"job":"7","state":")" + state + R"(","tasks":[]})");
        });
        BOOST_TEST(codeOf(run({"submit", "--wait", "--queue", "a/b", "--cores", "1", "--server",
                               cell.name()}))
                   == code);
    }
}

// Guards against job files and flags that are sent although they are invalid.
BOOST_AUTO_TEST_CASE(RefusesBadJobsBeforeSending)
{
    const auto expect = [](const std::vector<std::string> &flags, const std::string &message) {
        std::vector<std::string> arguments{"submit", "--queue", "a/b"};
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        const RunResult result = run(arguments);
        BOOST_TEST(codeOf(result) == 1);
        BOOST_TEST(contains(result.err, message), "expected " << message << " in " << result.err);
    };
    expect({}, "a job needs the key 'perTask'");
    expect({"--cores", "-1"}, "--cores:1:1: 'cores' must be a number of cores");
    expect({"--cores", "1", "--class", "bach"}, "'class' must be one of service, batch, gang");
    expect({"--cores", "1", "--tasks", "0"}, "'tasks' must be a whole number from 1 to 10000");
    expect({temporaryFile("j.yaml", "perTask: {cores: 1}\ntaks: 3\n")}, "j.yaml:2:1: unknown key");
    expect({"/nonexistent.yaml"}, "/nonexistent.yaml: the file can't be read");
}

// Guards against columns or formats that scripts and people can't read.
BOOST_AUTO_TEST_CASE(StatusComesAsTableJsonAndYaml)
{
    const std::string body
        = R"({"job":"7","state":"running","team":"a/t","queue":"a/q","class":"batch","tasks":)"
          R"([{"index":0,"state":"running","attempt":1,"worker":"w-1","waitedMs":12},)"
          R"({"index":1,"state":"pending","attempt":0,"worker":""}]})";
    const FakeCell cell([&body](const HttpRequest &) { return reply(200, body); });
    const auto status = [&cell](const std::string &format) {
        return run({"status", "7", "--server", cell.name(), "--output", format}).out;
    };
    BOOST_TEST(status("table")
               == "job 7: running, class batch, queue a/q, team a/t\n"
                  "task  state    attempt  worker  waited\n"
                  "0     running  1        w-1     12 ms\n"
                  "1     pending  0        -       -\n");
    BOOST_TEST((boost::json::parse(status("json")) == boost::json::parse(body)));
    BOOST_TEST(contains(status("yaml"), "tasks:\n  - index: 0\n    state: running\n"),
               status("yaml"));
}

// Guards against tokens, keys and secrets in messages.
BOOST_AUTO_TEST_CASE(MessagesContainNoSecrets)
{
    const FakeCell cell([](const HttpRequest &) {
        return refusal(403, "permission-denied", "not-run", "the key belongs to another team");
    });
    const std::string unreachable = toString(FakeCell::freeAddress());
    for (const std::string &server : {cell.name(), unreachable}) {
        for (const std::vector<std::string> &command :
             {std::vector<std::string>{"status", "7"},
              {"top"},
              {"get"},
              {"key", "grant", "a", "--team", "b"},
              {"submit", "--queue", "a/b", "--cores", "1"},
              {"status", "--tem"}}) {
            for (const char *format : {"table", "json"}) {
                std::vector<std::string> arguments = command;
                arguments.insert(arguments.end(),
                                 {"--token", "t0k3n", "--key", "id.s3cr3t", "--server", server,
                                  "--timeout", "300ms", "--output", format});
                const RunResult result = run(arguments);
                BOOST_TEST(codeOf(result) != 0);
                BOOST_TEST(!contains(result.err + result.out, "t0k3n"), result.err);
                BOOST_TEST(!contains(result.err + result.out, "s3cr3t"), result.err);
            }
        }
    }
}

// Guards against a completion script that bash refuses or that misses a command.
BOOST_AUTO_TEST_CASE(CompletionNamesEveryCommand)
{
    const RunResult result = run({"completion", "bash"});
    for (const char *word : {"validate", "apply", "domain", "explain", "--request-id"}) {
        BOOST_TEST(contains(result.out, word));
    }
}

BOOST_AUTO_TEST_SUITE_END()
