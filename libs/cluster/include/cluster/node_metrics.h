#pragma once

#include <memory>
#include <string>

#include <cluster/requests.h>
#include <dispatch/dispatch.h>

namespace gooseberry {

/** Readings that are taken when metrics are asked for. */
struct NodeStats
{
    bool leaderKnown = false;
    bool hasLog = false;
    bool isLeader = false;
    bool isVoter = false;
    std::uint64_t term = 0;
    std::uint64_t voters = 0;
    std::uint64_t committedIndex = 0;
    std::map<std::string, BoardReadings> upstreams;
};

/** The counters, latency histograms and stats of one node. Safe for several threads. */
class NodeMetrics : public DispatchObserver
{
public:
    NodeMetrics();
    ~NodeMetrics() override;

    /** A caller's request was answered after this time. */
    void callerAnswered(CallerOutcome outcome, Duration elapsed);
    /** An operator's order was stored, or was not. */
    void operatorRequestAnswered(bool done, Duration elapsed);

    void stepPlaced(std::size_t tasks, Duration waited) override;
    void runLost() override;
    void orderAnswered(const char *order, bool answered, Duration elapsed) override;
    void adviceAnswered(bool answered, Duration elapsed) override;

    /** Returns everything in the text format of Prometheus. */
    std::string serialize(const NodeStats &stats) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace gooseberry
