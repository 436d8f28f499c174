// Whole sessions over HTTP requests, compared with recorded text. "scripts/test --update-golden"
// records them again.

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include <gateway/gateway.h>

using namespace gooseberry;

namespace {

const char *const declarations = R"(domains:
  - {name: catania-lido, region: sicilia-est}
  - {name: taormina-baia, region: sicilia-est}
customers:
  - name: alpha
    teams: [{name: core, limit: {cores: 8, memory: 8GiB, slots: 8}}]
    queues: [{name: main, team: core, classes: [batch, gang, urgent, service]}]
)";

/** Commits at once, with the time of the session's clock. */
class SessionLog : public CommandLog
{
public:
    SessionLog(CellState &initialState, const Clock &initialClock)
        : state(initialState)
        , clock(initialClock)
    {
    }

    void propose(Command command, Callback done) override
    {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->clock.steadyNow().time_since_epoch());
        done(this->state.apply(StampedCommand{.at = CellTime(at), .command = std::move(command)}));
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
    const Clock &clock;
};

/** A cell with a manual clock that writes down everything that goes in and out. */
class Session : public WorkerPort
{
public:
    explicit Session(std::string initialName)
        : name(std::move(initialName))
        , log(state, clock)
        , coordinator(state, log, *this, clock, observer, CoordinatorSettings{})
        , gateway(coordinator, state, GatewaySettings{})
    {
        this->coordinator.beginTerm(Term(1));
        this->send("PUT", "/v1/config?version=1", declarations);
        // A fixed salt keeps the record the same in every run.
        const std::string hash = hashSecret("00", "secret");
        this->send("POST", "/v1/keys",
                   R"({"id":"k1","team":"alpha/core","salt":"00","hash":")" + hash + "\"}");
    }

    ~Session() override
    {
        this->compareWithRecording();
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    HttpResponse send(const std::string &method, const std::string &target,
                      const std::string &body = {}, std::map<std::string, std::string> headers = {})
    {
        this->text << "> " << method << ' ' << target;
        for (const auto &[header, value] : headers) {
            this->text << ' ' << header << '=' << value;
        }
        this->text << '\n' << indented(body);
        HttpResponse reply;
        bool responded = false;
        this->gateway.handle(HttpRequest{.method = method,
                                         .target = target,
                                         .headers = std::move(headers),
                                         .body = body,
                                         .peer = "10.0.0.1:1"},
                             [&](const HttpResponse &response) {
                                 reply = response;
                                 responded = true;
                             });
        this->text << "< " << (responded ? std::to_string(reply.status) : "waiting");
        for (const char *header : {"x-job-id", "x-job-state", "digest"}) {
            if (reply.headers.contains(header)) {
                this->text << ' ' << header << '=' << reply.headers.at(header);
            }
        }
        this->text << '\n' << indented(reply.body);
        return reply;
    }

    void submit(const std::string &request, const std::string &fields = {})
    {
        this->send("POST", "/v1/jobs",
                   R"({"queue":"alpha/main","perTask":{"cpuMillis":1000,"slots":1})" + fields + '}',
                   {{"authorization", "Bearer k1.secret"}, {"idempotency-key", request}});
    }

    void read(const std::string &target)
    {
        this->send("GET", target, {}, {{"authorization", "Bearer k1.secret"}});
    }

    void announce(const std::string &worker, const std::string &domain)
    {
        this->send("POST", "/v1/workers",
                   R"({"id":")" + worker + R"(","rack":"r1","domain":")" + domain
                       + R"(","address":"127.0.0.1:9","incarnation":"i1",)"
                       + R"("capacity":{"cpuMillis":4000,"slots":4}})");
    }

    void heartbeat(const std::string &worker, int generation, const std::string &held)
    {
        this->send("POST", "/v1/workers/" + worker + "/heartbeat",
                   R"({"incarnation":"i1","seenTerm":1,"seenGeneration":)"
                       + std::to_string(generation) + R"(,"held":[)" + held + "]}");
    }

    void answer(const std::string &worker, const std::string &attempt, const std::string &body,
                const std::string &digest = {})
    {
        this->send(
            "PUT", "/v1/workers/" + worker + "/tasks/" + attempt + "/answer", body,
            {{"x-result", "succeeded"}, {"digest", digest.empty() ? digestHeader(body) : digest}});
    }

    void step(std::chrono::milliseconds passed = std::chrono::milliseconds(0))
    {
        this->clock.advance(passed);
        this->text << "@ +" << passed.count() << " ms\n";
        this->coordinator.step();
    }

    void sendStart(const InstanceId &worker, const Address & /*address*/,
                   const StartMessage &message, Callback done) override
    {
        this->text << "* start " << toString(message.attempt) << " on " << worker.value
                   << " generation " << message.leaseGeneration << '\n';
        done(Done{});
    }

    void sendStop(const Address & /*address*/, const AttemptId &attempt) override
    {
        this->text << "* stop " << toString(attempt) << '\n';
    }

private:
    static std::string indented(const std::string &body)
    {
        std::istringstream lines(body);
        std::string result;
        for (std::string line; std::getline(lines, line);) {
            result += "    " + line + '\n';
        }
        return result;
    }

    void compareWithRecording()
    {
        const std::filesystem::path file = std::filesystem::path(GL_SOURCE_DIR)
            / "libs/gateway/test/golden" / (this->name + ".txt");
        if (std::getenv("GL_UPDATE_GOLDEN") != nullptr) { // NOLINT(concurrency-mt-unsafe)
            std::filesystem::create_directories(file.parent_path());
            std::ofstream(file) << this->text.str();
            return;
        }
        std::ifstream recorded(file);
        std::stringstream expected;
        expected << recorded.rdbuf();
        BOOST_TEST(this->text.str() == expected.str(),
                   "session " << this->name << " expected:\n"
                              << expected.str() << "\nactual:\n"
                              << this->text.str());
    }

    std::string name;
    std::ostringstream text;
    ManualClock clock;
    CellState state;
    SessionLog log;
    NullObserver observer;
    Coordinator coordinator;
    HttpGateway gateway;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SessionTest)

// Guards against changes of the responses from declaration to answer, including those to resends.
BOOST_AUTO_TEST_CASE(DeclaresSubmitsAndAnswers)
{
    Session session("declare_submit_answer");
    session.announce("w1", "catania-lido");
    session.submit("r1");
    session.step();
    session.read("/v1/jobs/1/answer");
    session.answer("w1", "1.0.1", "whole answer");
    session.read("/v1/jobs/1");
    session.read("/v1/jobs/1/answer");
    session.submit("r1");
    session.submit("r1", R"(,"payload":"other")");
}

// Guards against starts in a failure domain that was taken out.
BOOST_AUTO_TEST_CASE(TakesOutFailureDomain)
{
    Session session("domain_take_out");
    session.announce("w1", "catania-lido");
    session.announce("w2", "taormina-baia");
    session.send("POST", "/v1/domains/catania-lido/take-out");
    session.submit("r1", R"(,"tasks":6)");
    session.step();
    session.read("/v1/jobs/1/explain");
    session.send("POST", "/v1/domains/catania-lido/bring-back");
    // A domain back in service ramps up for one minute; the workers renew their leases meanwhile.
    for (int i = 0; i < 13; ++i) {
        session.announce("w1", "catania-lido");
        session.announce("w2", "taormina-baia");
        session.step(std::chrono::seconds(5));
    }
    session.send("POST", "/v1/domains/nowhere/take-out");
}

// Guards against a withdrawn key that still reads or submits.
BOOST_AUTO_TEST_CASE(WithdrawsKey)
{
    Session session("key_withdrawn");
    session.announce("w1", "catania-lido");
    session.submit("r1");
    session.send("DELETE", "/v1/keys/k1");
    session.submit("r2");
    session.read("/v1/jobs/1");
    session.send("DELETE", "/v1/keys/k1");
    session.send("DELETE", "/v1/keys/k2");
}

// Guards against a second run of work that must not be repeated, and against late answers.
BOOST_AUTO_TEST_CASE(RecoversFromLostWorker)
{
    Session session("worker_lost");
    session.announce("w1", "catania-lido");
    session.submit("r1");
    session.submit("r2", R"(,"repeatable":false)");
    session.step();
    session.step(std::chrono::milliseconds(6250));
    session.announce("w2", "taormina-baia");
    session.step(std::chrono::milliseconds(20));
    session.read("/v1/jobs/1");
    session.read("/v1/jobs/2");
    session.answer("w1", "1.0.1", "late");
    session.answer("w2", "1.0.2", "in time");
    session.read("/v1/jobs/1/answer");
}

// Guards against an attempt that stays in state running although its worker does not hold it.
BOOST_AUTO_TEST_CASE(EndsAttemptThatReportsOmit)
{
    Session session("start_settled_by_reports");
    session.announce("w1", "catania-lido");
    session.submit("r1");
    session.step();
    // The start was acknowledged at generation 4. Only a report that has seen generation 6 and
    // does not list the attempt shows that the worker does not run it.
    session.heartbeat("w1", 4, "");
    session.heartbeat("w1", 5, "");
    session.step(std::chrono::milliseconds(20));
    session.heartbeat("w1", 6, "");
    session.step(std::chrono::milliseconds(20));
    session.heartbeat("w1", 7, R"("1.0.2","7.0.1")");
}

// Guards against two changes accepted under one version, and against a resend of the accepted
// change that is refused as a conflict.
BOOST_AUTO_TEST_CASE(RejectsConcurrentConfigVersions)
{
    Session session("operators_race");
    const std::string first = "domains: [{name: siracusa-riva, region: sicilia-est}]\n";
    const std::string second = "domains: [{name: heredia, region: valle-central}]\n";
    session.send("PUT", "/v1/config?version=2", first);
    session.send("PUT", "/v1/config?version=2", second);
    session.send("PUT", "/v1/config?version=3", second);
    session.send("PUT", "/v1/config?version=2", first);
    session.send("PUT", "/v1/config?version=9", second);
}

// Guards against an answer that is truncated or reaches another caller.
BOOST_AUTO_TEST_CASE(KeepsAnswersOfTwoJobsApart)
{
    Session session("answers_crossed");
    session.announce("w1", "catania-lido");
    session.submit("r1");
    session.submit("r2");
    session.step();
    session.answer("w1", "2.0.1", "second");
    session.answer("w1", "1.0.1", "fir", digestHeader("first"));
    session.answer("w2", "1.0.1", "first");
    session.answer("w1", "1.0.1", "first");
    session.answer("w1", "1.0.1", "first");
    session.read("/v1/jobs/1/answer");
    session.read("/v1/jobs/2/answer");
}

BOOST_AUTO_TEST_SUITE_END()
