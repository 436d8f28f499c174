// A search over orders of events for submissions that run although their callers were told that
// they never would: leaders that are killed, frozen and cut off, full disks, lost frames and
// replies, keys that are withdrawn, and callers that ask again at other nodes. Each seed plays the
// routing of requests and the leader's service on a simulated clock; the callers' own record is the
// oracle.

#include <cstdlib>

#include <boost/test/unit_test.hpp>
#include <spdlog/spdlog.h>

#include "caller_reply.h"
#include "cluster_records.h"
#include "simulated_nodes.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t keeperCount = 3;
constexpr std::size_t entryCount = 3;
constexpr std::chrono::milliseconds callerTimeout{3000};
constexpr std::size_t maxAttempts = 5;

/** What a caller knows of one submission. */
struct Submission
{
    std::string id;
    /** One entry for each attempt; empty without an answer. */
    std::vector<std::optional<CallerOutcome>> answers;
};

/** An answer by which the users' pages promise that the submission never runs: 429 or 503. */
bool isPromise(CallerOutcome outcome)
{
    return outcome == CallerOutcome::NoConfiguration || outcome == CallerOutcome::Overloaded
        || outcome == CallerOutcome::Unavailable;
}

/** A cell with callers, whose events a seed chooses. */
struct SimulatedService
{
    explicit SimulatedService(unsigned seed)
        : simulation(seed)
        , nodes(simulation, keeperCount, entryCount)
    {
        this->nodes.lostFrames = this->simulation.chance(50) ? 10 : 1;
        this->putConfig({"key"});
        this->simulation.run(100ms);
    }

    void putConfig(std::vector<std::string> keys)
    {
        QueueRule queue;
        queue.name = "queue";
        queue.host = "host";
        queue.pathPrefix = "/queue/";
        queue.upstream = "upstream";
        RoutingConfig config;
        config.version = ConfigVersion(++this->lastVersion);
        config.queues.push_back(queue);
        config.customers.push_back(CustomerRule{.id = CustomerId("customer"),
                                                .keys = std::move(keys),
                                                .weight = 1.0,
                                                .limit = Resources{}});
        for (const auto &node : this->nodes.nodes) {
            node->propose(PutConfig{.config = config},
                          [](const Result<CommandOutcome> & /*result*/) {});
        }
    }

    /** The attempt's number travels in the payload, so that the log tells which copy was accepted.
     */
    CallerRequest request(const Submission &submission, std::size_t attempt) const
    {
        WorkflowSpec spec;
        spec.payload = std::to_string(attempt);
        StepSpec step;
        step.count = 1;
        step.size.cpu = CpuMillis(100);
        spec.steps = {step};
        CallerRequest request;
        request.action = CallerAction::Submit;
        request.host = "host";
        request.path = "/queue/" + submission.id;
        request.key = "key";
        request.spec = encodeRecord(spec);
        return request;
    }

    void submit()
    {
        this->submissions.push_back(std::make_unique<Submission>());
        this->submissions.back()->id = "a" + std::to_string(this->submissions.size());
        this->attempt(*this->submissions.back());
    }

    void attempt(Submission &submission)
    {
        const std::size_t number = submission.answers.size();
        submission.answers.emplace_back();
        SimulatedNode &entry
            = *this->nodes
                   .nodes[keeperCount
                          + static_cast<std::size_t>(this->simulation.between(0, 2).count())];
        const bool answerLost = this->simulation.chance(3);
        const auto answered = [this, &submission, number, answerLost](const LeaderAnswer &answer) {
            const CallerReply reply = callerReply(CallerAction::Submit, answer);
            if (!answerLost && number + 1 == submission.answers.size()) {
                this->onAnswer(submission, number, reply);
            }
        };
        const std::string encoded = encodeRecord(this->request(submission, number));
        entry.runHere(entry.process, [this, &entry, encoded, answered]() {
            entry.requests->callLeader(RequestKind::Caller, encoded,
                                       this->simulation.clock.steadyNow() + callerTimeout,
                                       answered);
        });
        this->simulation.after(callerTimeout + 200ms, [this, &submission, number]() {
            if (!submission.answers[number] && number + 1 == submission.answers.size()) {
                this->attemptAgain(submission);
            }
        });
    }

    void onAnswer(Submission &submission, std::size_t number, const CallerReply &reply)
    {
        submission.answers[number] = reply.outcome;
        if (reply.outcome == CallerOutcome::OutcomeUnknown
            || (isPromise(reply.outcome) && this->simulation.chance(50))) {
            this->simulation.after(reply.retryAfter + 50ms,
                                   [this, &submission]() { this->attemptAgain(submission); });
        }
    }

    void attemptAgain(Submission &submission)
    {
        if (submission.answers.size() < maxAttempts) {
            this->attempt(submission);
        }
    }

    void causeFault()
    {
        const auto kind = this->simulation.between(1, 8).count();
        if (kind <= 2) {
            this->nodes.killLeader();
        } else if (kind == 3) {
            this->nodes.freezeLeader();
        } else if (kind == 4) {
            this->nodes.cutLeader();
        } else if (kind == 5) {
            this->anyNode().cutUntil
                = this->simulation.clock.steadyNow() + this->simulation.between(200, 4000);
        } else if (kind == 6) {
            SimulatedNode &node = this->anyNode();
            node.diskFull = true;
            this->simulation.after(this->simulation.between(500, 4000),
                                   [&node]() { node.diskFull = false; });
        } else if (kind == 7) {
            this->putConfig(this->lastVersion % 2 == 0 ? std::vector<std::string>{"key"}
                                                       : std::vector<std::string>{"other"});
        } else {
            this->nodes.nodes[keeperCount]->restart();
        }
    }

    SimulatedNode &anyNode()
    {
        return *this->nodes.nodes[static_cast<std::size_t>(
            this->simulation.between(0, keeperCount + entryCount - 1).count())];
    }

    void run(std::chrono::milliseconds time, bool withFaults)
    {
        for (std::chrono::milliseconds passed{0}; passed < time; passed += 10ms) {
            this->nodes.tick();
            if (withFaults && this->simulation.chance(1)) {
                this->causeFault();
            }
            if (withFaults && this->simulation.chance(10)) {
                this->submit();
            }
            this->simulation.run(10ms);
        }
    }

    /** Returns the number of the attempt whose copy was accepted first, if any was. */
    std::optional<std::size_t> acceptedAttempt(const Submission &submission) const
    {
        for (const WorkflowCommand &command : this->nodes.committed) {
            const auto *const accepted = std::get_if<AcceptWorkflow>(&command);
            if (accepted != nullptr && accepted->id.value == submission.id) {
                return std::stoul(valueOf(decodeRecord<WorkflowSpec>(accepted->spec)).payload);
            }
        }
        return std::nullopt;
    }

    Simulation simulation;
    SimulatedNodes nodes;
    std::uint64_t lastVersion = 0;
    std::vector<std::unique_ptr<Submission>> submissions;
};

/** What callers were told and what the log holds disagree; empty if they don't. */
std::string violationOf(const SimulatedService &service, const Submission &submission)
{
    const std::optional<std::size_t> accepted = service.acceptedAttempt(submission);
    bool allRefused = true;
    for (std::size_t number = 0; number < submission.answers.size(); ++number) {
        const std::optional<CallerOutcome> &answer = submission.answers[number];
        if (!answer || *answer == CallerOutcome::OutcomeUnknown
            || *answer == CallerOutcome::Accepted) {
            allRefused = false;
        }
        if (answer && *answer == CallerOutcome::Accepted && !accepted) {
            return submission.id + " was confirmed and is not in the log";
        }
        if (answer && isPromise(*answer) && accepted && *accepted <= number) {
            return submission.id + ": attempt " + std::to_string(number)
                + " was refused with a promise, and the copy of attempt "
                + std::to_string(*accepted) + " runs";
        }
    }
    return accepted && allRefused ? submission.id + " runs although all attempts were refused"
                                  : std::string();
}

struct QuietLog
{
    QuietLog()
        : level(spdlog::get_level())
    {
        spdlog::set_level(spdlog::level::off);
    }
    ~QuietLog()
    {
        spdlog::set_level(this->level);
    }

    spdlog::level::level_enum level;
};

/** Returns the number in the environment variable, to search from another seed or for longer. */
unsigned numberFromEnvironment(const char *name, unsigned fallback)
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe): the test has one thread.
    const char *const text = std::getenv(name);
    return text == nullptr ? fallback : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RefusalSearchTest, QuietLog)

// Guards against a refusal that is not true of every copy of a submission: a node that can't ask
// the leader knows nothing of the copies that the caller has handed to others.
BOOST_AUTO_TEST_CASE(NeverRunsWhatWasRefusedWithAPromise)
{
    const unsigned first = numberFromEnvironment("GL_FIRST_SEED", 1);
    const unsigned count = numberFromEnvironment("GL_SEEDS", 100);
    std::map<CallerOutcome, std::size_t> answers;
    for (unsigned seed = first; seed < first + count; ++seed) {
        SimulatedService service(seed);
        service.run(30'000ms, true);
        service.run(20'000ms, false);
        for (const auto &submission : service.submissions) {
            const std::string violation = violationOf(service, *submission);
            BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
            for (const std::optional<CallerOutcome> &answer : submission->answers) {
                answers[answer.value_or(CallerOutcome::Phase)] += 1;
            }
        }
    }
    // The search is of use only while callers meet each of these.
    BOOST_TEST(answers[CallerOutcome::Accepted] > 0U);
    BOOST_TEST(answers[CallerOutcome::UnknownKey] > 0U);
    BOOST_TEST(answers[CallerOutcome::OutcomeUnknown] > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
