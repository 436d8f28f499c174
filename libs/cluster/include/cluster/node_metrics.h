#pragma once

#include <memory>
#include <string>

#include <cluster/requests.h>
#include <dispatch/dispatch.h>

namespace gooseberry {

/** Gauges, computed when metrics are requested. */
struct NodeStats
{
    /** Tasks of the executors that have ended with an exception. */
    std::uint64_t failedTasks = 0;
    bool leaderKnown = false;
    bool hasLog = false;
    bool isLeader = false;
    bool isVoter = false;
    std::uint64_t term = 0;
    std::uint64_t voters = 0;
    std::uint64_t committedIndex = 0;
    std::map<std::string, UpstreamStats> upstreams;
};

/** The counters, latency histograms and gauges of one node. Thread-safe. */
class NodeMetrics : public DispatchObserver
{
public:
    NodeMetrics();
    ~NodeMetrics() override;

    /** Records the outcome and latency of a caller's request. */
    void callerAnswered(CallerOutcome outcome, Duration elapsed);
    /** Records the latency of an operator's request and whether it succeeded. */
    void operatorRequestAnswered(bool done, Duration elapsed);

    void stepPlaced(std::size_t tasks, Duration waited) override;
    void placementPassBegan(Duration lateness) override;
    void placementPassEnded(std::size_t attempts, Duration elapsed) override;
    void runLost() override;
    void orderAnswered(const char *order, bool answered, Duration elapsed) override;
    void adviceAnswered(bool answered, Duration elapsed) override;

    /** Returns all metrics in the text format of Prometheus. */
    std::string serialize(const NodeStats &stats) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace gooseberry
