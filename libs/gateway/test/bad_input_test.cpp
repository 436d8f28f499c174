#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <gateway/gateway.h>

using namespace gooseberry;

namespace {

/** A log that commits at once. */
class ImmediateLog : public CommandLog
{
public:
    explicit ImmediateLog(CellState &initialState)
        : state(initialState)
    {
    }

    void propose(Command command, Callback done) override
    {
        done(this->state.apply(StampedCommand{.at = {}, .command = std::move(command)}));
    }
    bool holdsLease() const override
    {
        return true;
    }
    Term term() const override
    {
        return Term(1);
    }

private:
    CellState &state;
};

/** A port that drops every message and never calls back. */
class NullWorkerPort : public WorkerPort
{
public:
    void sendStart(const InstanceId &, const Address &, const StartMessage &, Callback) override
    {
    }
    void sendStop(const Address &, const AttemptId &) override
    {
    }
};

struct GatewayFixture
{
    GatewayFixture()
        : log(state)
        , coordinator(state, log, port, clock, observer, CoordinatorSettings{})
        , gateway(coordinator, state, GatewaySettings{})
    {
        this->coordinator.beginTerm(Term(1));
        this->send("PUT", "/v1/config?version=1", R"(domains: [{name: d1, region: r}]
customers:
  - name: c
    teams: [{name: t, limit: {cores: 16, memory: 1GiB, slots: 100}},
            {name: u, limit: {cores: 1, memory: 1GiB, slots: 1}}]
    queues:
      - {name: q, team: t, classes: [batch], maxPendingTasks: 2}
)");
        for (const char *team : {"t", "u"}) {
            const NewKey created = createKey(KeyId(team), TeamId(std::string("c/") + team));
            this->coordinator.grantKey(created.key, [](const auto &) {});
            this->keys[team] = std::string(team) + '.' + created.secret;
        }
        this->send(
            "POST", "/v1/workers",
            R"({"id":"z/w","rack":"r","domain":"d1","incarnation":"i","address":"127.0.0.1:1",
                       "capacity":{"cpuMillis":4000,"memoryBytes":1000}})");
    }

    HttpResponse send(const std::string &method, const std::string &target,
                      const std::string &body = {}, const std::string &key = {},
                      std::map<std::string, std::string> headers = {})
    {
        headers["idempotency-key"] = "r" + std::to_string(++this->count);
        if (!key.empty()) {
            headers["authorization"] = "Bearer " + this->keys.at(key);
        }
        HttpResponse response;
        int responses = 0;
        this->gateway.handle(HttpRequest{.method = method,
                                         .target = target,
                                         .headers = std::move(headers),
                                         .body = body,
                                         .peer = "10.0.0.1:1"},
                             [&](const HttpResponse &received) {
                                 response = received;
                                 ++responses;
                             });
        BOOST_TEST(responses == 1);
        return response;
    }

    HttpResponse submit(const std::string &fields, const std::string &key = "t")
    {
        return this->send("POST", "/v1/jobs", R"({"queue":"c/q",)" + fields + '}', key);
    }

    ManualClock clock;
    CellState state;
    NullWorkerPort port;
    ImmediateLog log;
    NullObserver observer;
    Coordinator coordinator;
    HttpGateway gateway;
    std::map<std::string, std::string> keys;
    int count = 0;
};

/** Checks the refusal's status, reason and the completeness of its body; returns its message. */
std::string checkRefusal(const HttpResponse &response, unsigned status, const std::string &reason)
{
    BOOST_TEST(response.status == status,
               response.status << " instead of " << status << ": " << response.body);
    const boost::json::object body = boost::json::parse(response.body).as_object();
    for (const char *field : {"code", "reason", "step", "peer", "outcome", "message"}) {
        BOOST_TEST(body.contains(field), "no field " << field);
    }
    BOOST_TEST(body.at("reason").as_string() == reason);
    BOOST_TEST(body.at("outcome").as_string() == "not-run");
    return std::string(body.at("message").as_string());
}

const std::string oneCore = R"("perTask":{"cpuMillis":1000})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(BadInputTest, GatewayFixture)

// Guards against a body that is read in part, or that crashes the reader.
BOOST_AUTO_TEST_CASE(RefusesMalformedBodies)
{
    const std::string nested = std::string(100'000, '[');
    for (const std::string &body : std::vector<std::string>{
             "", "{", "[]", "null", R"({"queue":"c/q")", nested, R"({"queue":)" + nested,
             "{\"queue\":\"\xff\xfe\"}", R"({"queue":7})", R"({"queue":""})",
             R"({"queue":"c/q","perTask":{"cpuMillis":1},"colour":"red"})",
             R"({"queue":"c/q","perTask":{"cpuMillis":1,"gpus":1}})"}) {
        checkRefusal(this->send("POST", "/v1/jobs", body, "t"), 400, "invalid-argument");
    }
}

// Guards against quantities that overflow, are not positive or are no whole numbers.
BOOST_AUTO_TEST_CASE(RefusesQuantitiesOutOfRange)
{
    for (const char *value :
         {"-1", "0", "0.5", "1e3", "9223372036854775807", "18446744073709551615",
          "99999999999999999999999", "\"1\"", "null", "1000000000000001"}) {
        const std::string fields = R"("perTask":{"cpuMillis":)" + std::string(value) + '}';
        checkRefusal(this->submit(fields), 400, "invalid-argument");
    }
    for (const char *tasks : {"-1", "0", "10001", "4294967297"}) {
        checkRefusal(this->submit(oneCore + R"(,"tasks":)" + tasks), 400, "invalid-argument");
    }
}

// Guards against refusals that do not name the policy rule behind them.
BOOST_AUTO_TEST_CASE(NamesTheReasonOfThePolicy)
{
    checkRefusal(this->submit(oneCore, ""), 401, "wrong-team");
    checkRefusal(this->submit(oneCore, "u"), 403, "wrong-team");
    checkRefusal(this->submit(oneCore + R"(,"class":"gang")"), 400, "class-not-allowed");
    checkRefusal(this->submit(oneCore + R"(,"tasks":3)"), 429, "queue-full");
    const std::string message
        = checkRefusal(this->submit(R"("perTask":{"cpuMillis":1000,"memoryBytes":1001})"), 422,
                       "shape-impossible");
    BOOST_TEST(message.find("memory") != std::string::npos, message);
    this->keys["wrong"] = "t.wrong";
    checkRefusal(this->submit(oneCore, "wrong"), 401, "unauthenticated");
    BOOST_TEST(this->send("DELETE", "/v1/keys/t").status == 200U);
    checkRefusal(this->submit(oneCore), 401, "unauthenticated");
}

// Guards against ids with a slash that reach the wrong route, and against half-decoded targets.
BOOST_AUTO_TEST_CASE(DecodesPercentEncodingInPathAndQuery)
{
    const std::string report = R"({"incarnation":"i"})";
    BOOST_TEST(this->send("POST", "/v1/workers/z%2Fw/heartbeat", report).status == 200U);
    BOOST_TEST(this->send("POST", "/v1/workers/z%2fw/heartbeat", report).status == 200U);
    checkRefusal(this->send("POST", "/v1/workers/z/w/heartbeat", report), 404, "not-found");
    checkRefusal(this->send("POST", "/v1/domains/d9/take-out"), 404, "not-found");
    for (const char *target : {"/v1/workers/%/heartbeat", "/v1/workers/%2/heartbeat",
                               "/v1/jobs/%zz", "/v1/config?version=%3", "/v1/config?%-1=2"}) {
        checkRefusal(this->send("PUT", target), 400, "invalid-argument");
    }
    for (const char *target :
         {"", "/", "v1/jobs", "/v2/jobs", "/v1/jobs/x", "/v1/jobs/-1",
          "/v1/jobs/99999999999999999999", "/v1/jobs/1/answer/more", "/v1/\xff\xfe"}) {
        checkRefusal(this->send("GET", target), 404, "not-found");
    }
}

// Guards against an answer that was cut or changed on its way from the worker.
BOOST_AUTO_TEST_CASE(RefusesAnswerWithWrongDigest)
{
    this->submit(oneCore);
    this->coordinator.step();
    const std::string target = "/v1/workers/z%2Fw/tasks/1.0.1/answer";
    const std::string digest = digestHeader("whole answer");
    const auto put = [&](const std::string &body, const std::string &sum) {
        return this->send("PUT", target, body, {}, {{"digest", sum}, {"x-result", "succeeded"}});
    };
    checkRefusal(put("whole", digest), 400, "invalid-argument");
    checkRefusal(put("whole answer", "sha-256=AAAA"), 400, "invalid-argument");
    checkRefusal(put("whole answer", ""), 400, "invalid-argument");
    BOOST_TEST(put("whole answer", digest).status == 200U);
}

// Guards against bytes that crash a reader or yield a value that breaks its bounds.
BOOST_AUTO_TEST_CASE(ReadersSurviveArbitraryBytes)
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 2000;
    const auto result = rc::detail::checkTestable(
        [] {
            std::string bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
            if (*rc::gen::arbitrary<bool>()) {
                bytes = R"({"queue":"q","id":")" + bytes + R"(","perTask":{"cpuMillis":1}})";
            }
            const Result<JobSpec> spec = readJobSpec(bytes);
            const bool inBounds = !ok(spec) || isNonNegative(valueOf(spec).perTask);
            RC_ASSERT(inBounds);
            (void)readAnnouncement(bytes);
            (void)readReport(InstanceId("w"), bytes);
            (void)readKey(bytes);
            (void)readAttemptId(bytes);
        },
        rc::detail::TestMetadata(), params);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>());
}

BOOST_AUTO_TEST_SUITE_END()
