#include <cluster/node_metrics.h>

#include <array>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace gooseberry {

namespace {

/** From the time of one commit on the fastest disk to the longest timeout of callers. */
const prometheus::Histogram::BucketBoundaries latencyBuckets{0.01, 0.025, 0.05, 0.1, 0.25,
                                                             0.5,  1.0,   2.5,  5.0};
/** From a pass without waiting steps to one that delays the lease of the leader. */
const prometheus::Histogram::BucketBoundaries passBuckets{0.0001, 0.0005, 0.001, 0.002,
                                                          0.005,  0.01,   0.05,  0.1};
/** From immediate placement to the completion target of the slowest queues. */
const prometheus::Histogram::BucketBoundaries waitBuckets{0.05, 0.1, 0.25, 0.5, 1.0,
                                                          2.5,  5.0, 10.0, 30.0};

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

const char *nameOf(CallerOutcome outcome)
{
    switch (outcome) {
    case CallerOutcome::Accepted:
        return "accepted";
    case CallerOutcome::Phase:
        return "phase";
    case CallerOutcome::Cancelled:
        return "cancelled";
    case CallerOutcome::QueueLength:
        return "queue-length";
    case CallerOutcome::NoConfiguration:
        return "no-configuration";
    case CallerOutcome::UnknownQueue:
        return "unknown-queue";
    case CallerOutcome::UnknownKey:
        return "unknown-key";
    case CallerOutcome::UnknownWorkflow:
        return "unknown-workflow";
    case CallerOutcome::Invalid:
        return "invalid";
    case CallerOutcome::Overloaded:
        return "overloaded";
    case CallerOutcome::Unavailable:
        return "unavailable";
    case CallerOutcome::OutcomeUnknown:
        return "uncertain";
    }
    return "unknown";
}

void addGauge(prometheus::Registry &registry, const std::string &name, const std::string &help,
              double value, const prometheus::Labels &labels = {})
{
    prometheus::BuildGauge()
        .Name("gooseberrylead_" + name)
        .Help(help)
        .Register(registry)
        .Add(labels)
        .Set(value);
}

void addUpstream(prometheus::Registry &registry, const std::string &upstream,
                 const UpstreamStats &stats)
{
    const prometheus::Labels labels{{"upstream", upstream}};
    const auto add = [&](const std::string &name, const std::string &help, std::size_t value) {
        addGauge(registry, name, help, static_cast<double>(value), labels);
    };
    add("workers", "Known workers.", stats.workers);
    add("workers_usable", "Workers that may get tasks.", stats.workersUsable);
    add("runs", "Runs that workers hold.", stats.runs);
    add("tasks_waiting", "Tasks whose turn has come and that do not run.", stats.tasksWaiting);
    add("workflows", "Workflows that may still run.", stats.workflows);
    add("workflows_unconfirmed", "Workflows with runs that no worker has confirmed.",
        stats.workflowsUnconfirmed);
    add("adviser_questions", "Questions to the adviser that are open.",
        stats.pendingAdviceRequests);
}

} // namespace

struct NodeMetrics::Impl
{
    prometheus::Counter &counter(const std::string &name, const std::string &help,
                                 const prometheus::Labels &labels)
    {
        return prometheus::BuildCounter()
            .Name("gooseberrylead_" + name)
            .Help(help)
            .Register(this->registry)
            .Add(labels);
    }

    prometheus::Histogram &histogram(const std::string &name, const std::string &help,
                                     const prometheus::Labels &labels,
                                     const prometheus::Histogram::BucketBoundaries &buckets)
    {
        return prometheus::BuildHistogram()
            .Name("gooseberrylead_" + name)
            .Help(help)
            .Register(this->registry)
            .Add(labels, buckets);
    }

    mutable prometheus::Registry registry;
};

NodeMetrics::NodeMetrics()
    : impl(std::make_unique<Impl>())
{
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::callerAnswered(CallerOutcome outcome, Duration elapsed)
{
    this->impl
        ->histogram("request_seconds", "How long callers' requests took, by outcome.",
                    {{"outcome", nameOf(outcome)}}, latencyBuckets)
        .Observe(seconds(elapsed));
}

void NodeMetrics::operatorRequestAnswered(bool done, Duration elapsed)
{
    this->impl
        ->histogram("operator_order_seconds", "How long operators' orders took.",
                    {{"done", done ? "true" : "false"}}, latencyBuckets)
        .Observe(seconds(elapsed));
}

void NodeMetrics::stepPlaced(std::size_t tasks, Duration waited)
{
    this->impl->counter("tasks_placed_total", "Tasks that were given to workers.", {})
        .Increment(static_cast<double>(tasks));
    this->impl
        ->histogram("placement_wait_seconds",
                    "From the acceptance of a workflow to a placement of one of its steps.", {},
                    waitBuckets)
        .Observe(seconds(waited));
}

void NodeMetrics::placementPassBegan(Duration lateness)
{
    this->impl
        ->histogram("placement_lateness_seconds",
                    "How late placement passes began, as other work of the leader delayed them.",
                    {}, passBuckets)
        .Observe(seconds(lateness));
}

void NodeMetrics::placementPassEnded(std::size_t attempts, Duration elapsed)
{
    this->impl
        ->counter("placement_attempts_total", "Steps that placement passes tried to place.", {})
        .Increment(static_cast<double>(attempts));
    this->impl
        ->histogram("placement_pass_seconds", "How long placement passes took.", {}, passBuckets)
        .Observe(seconds(elapsed));
}

void NodeMetrics::runLost()
{
    this->impl->counter("runs_lost_total", "Runs that ended without a result.", {}).Increment();
}

void NodeMetrics::orderAnswered(const char *order, bool answered, Duration elapsed)
{
    this->impl
        ->histogram("worker_order_seconds", "How long workers took to answer, by order.",
                    {{"order", order}, {"answered", answered ? "true" : "false"}}, latencyBuckets)
        .Observe(seconds(elapsed));
}

void NodeMetrics::adviceAnswered(bool answered, Duration elapsed)
{
    this->impl
        ->histogram("advice_seconds", "How long the adviser took, with the wait for its turn.",
                    {{"answered", answered ? "true" : "false"}}, latencyBuckets)
        .Observe(seconds(elapsed));
}

std::string NodeMetrics::serialize(const NodeStats &stats) const
{
    prometheus::Registry now;
    const auto number = [](auto value) { return static_cast<double>(value); };
    addGauge(now, "leader_known", "Whether this node knows a leader.", number(stats.leaderKnown));
    addGauge(now, "tasks_failed_total", "Tasks of this process that have thrown an exception.",
             number(stats.failedTasks));
    if (stats.hasLog) {
        addGauge(now, "leads", "Whether this node leads.", number(stats.isLeader));
        addGauge(now, "voter", "Whether this node votes with the disk that it has.",
                 number(stats.isVoter));
        addGauge(now, "term", "The term of the log.", number(stats.term));
        addGauge(now, "voters", "The voters of the log.", number(stats.voters));
        addGauge(now, "committed_index", "The last committed entry of the log.",
                 number(stats.committedIndex));
    }
    for (const auto &[upstream, upstreamStats] : stats.upstreams) {
        addUpstream(now, upstream, upstreamStats);
    }
    std::vector<prometheus::MetricFamily> families = this->impl->registry.Collect();
    const std::vector<prometheus::MetricFamily> present = now.Collect();
    families.insert(families.end(), present.begin(), present.end());
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace gooseberry
