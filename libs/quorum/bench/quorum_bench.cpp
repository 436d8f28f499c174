// Measures commit throughput and latency, failover time and restart time with real threads, files
// and syncs. Results are comparable only within one run on one machine.

#include <quorum/quorum.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <future>
#include <thread>

#include "../test/in_process_cell.h"

using namespace gooseberry;

namespace {

using Seconds = std::chrono::duration<double>;
using BenchClock = std::chrono::steady_clock;

double secondsSince(BenchClock::time_point begin)
{
    return Seconds(BenchClock::now() - begin).count();
}

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values.at(static_cast<std::size_t>(fraction * last));
}

void printLatencies(const char *name, const std::vector<double> &seconds)
{
    std::printf("%-44s p50 %9.3f   p99 %9.3f   max %9.3f ms   n %zu\n", name,
                quantile(seconds, 0.5) * 1000, quantile(seconds, 0.99) * 1000,
                quantile(seconds, 1) * 1000, seconds.size());
}

void ignoreFailure(const Error & /*error*/)
{
}

/** Returns commits per second with many proposals in flight. */
double throughput(std::size_t maxBatch, int count)
{
    InProcessCell cell({"a", "b", "c"});
    cell.defaults.maxBatch = maxBatch;
    cell.startAll();
    const auto leader = cell.node(cell.waitForLeader());
    const std::string payload(120, 'x');
    const auto begin = BenchClock::now();
    for (int number = 0; number < count; ++number) {
        leader->replica->propose(payload, ignoreFailure);
    }
    leader->machine.waitForCommands(static_cast<std::size_t>(count));
    return count / secondsSince(begin);
}

/** Returns the times in seconds from propose() until the command is applied, one at a time. */
std::vector<double> latencies(Replica &replica, RecordingMachine &machine, int count)
{
    std::vector<double> seconds;
    const std::string payload(120, 'x');
    for (int number = 1; number <= count; ++number) {
        const auto begin = BenchClock::now();
        replica.propose(payload, ignoreFailure);
        machine.waitForCommands(static_cast<std::size_t>(number));
        seconds.push_back(secondsSince(begin));
    }
    return seconds;
}

void measureLatencies()
{
    constexpr int count = 500;
    InProcessCell memory({"only"});
    InProcessCell::Node transport;
    ReplicaSettings settings;
    settings.self = InstanceId("only");
    Replica replica(settings, transport.machine, transport, memory.clock);
    replica.start();
    printLatencies("commit, lone replica in memory", latencies(replica, transport.machine, count));
    replica.stop();
    InProcessCell single({"only"});
    single.startAll();
    const auto disk = single.node(single.waitForLeader());
    printLatencies("commit, lone replica on disk (adds one sync)",
                   latencies(*disk->replica, disk->machine, count));
    InProcessCell three({"a", "b", "c"});
    three.startAll();
    const auto leader = three.node(three.waitForLeader());
    printLatencies("commit, three replicas (two syncs in turn)",
                   latencies(*leader->replica, leader->machine, count));
}

/** Returns the times in seconds from stopping the leader until another one holds the lease. */
std::vector<double> timesWithoutLeader(int kills)
{
    InProcessCell cell({"a", "b", "c"});
    cell.startAll();
    std::vector<double> seconds;
    for (int kill = 0; kill < kills; ++kill) {
        const std::string leader = cell.waitForLeader();
        // Waits until all replicas are up to date and have received a heartbeat.
        std::this_thread::sleep_for(2 * cell.defaults.heartbeatInterval);
        const auto begin = BenchClock::now();
        cell.stop(leader);
        if (cell.waitForLeader().empty()) {
            std::printf("no leader after kill %d\n", kill);
            return seconds;
        }
        seconds.push_back(secondsSince(begin));
        cell.start(leader);
    }
    return seconds;
}

/** Returns the time from starting a single replica until it leads and has applied all entries. */
std::chrono::duration<double> restartTime(int entries, bool snapshot)
{
    InProcessCell cell({"only"});
    const std::string payload(120, 'x');
    const Bytes whole = cell.defaults.snapshotInterval;
    if (snapshot) {
        // One snapshot is taken, after nine tenths of the entries.
        cell.defaults.snapshotInterval = Bytes(entries * 152LL * 9 / 10);
    }
    cell.startAll();
    const auto node = cell.node(cell.waitForLeader());
    for (int number = 0; number < entries; ++number) {
        node->replica->propose(payload, ignoreFailure);
    }
    node->machine.waitForCommands(static_cast<std::size_t>(entries));
    cell.stopAll();
    cell.defaults.snapshotInterval = whole;
    const auto begin = BenchClock::now();
    cell.startAll();
    cell.node(cell.waitForLeader())->machine.waitForCommands(static_cast<std::size_t>(entries));
    return BenchClock::now() - begin;
}

void printRestart(const char *name, int entries, bool snapshot)
{
    constexpr int runs = 9;
    std::vector<double> seconds;
    seconds.reserve(runs);
    for (int run = 0; run < runs; ++run) {
        seconds.push_back(restartTime(entries, snapshot).count());
    }
    printLatencies(name, seconds);
}

} // namespace

int main()
{
    const double single = throughput(1, 2000);
    const double grouped = throughput(ReplicaSettings().maxBatch, 50000);
    std::printf("%-44s %9.0f a second\n", "commits without group commit", single);
    std::printf("%-44s %9.0f a second   ratio %.1f\n", "commits with group commit", grouped,
                grouped / single);
    measureLatencies();
    printRestart("restart with 500 entries", 500, false);
    printRestart("restart with 500 entries and a snapshot", 500, true);
    printRestart("restart with 10,000 entries", 10000, false);
    printRestart("restart with 10,000 entries and a snapshot", 10000, true);
    printLatencies("without a leader after a kill", timesWithoutLeader(50));
    return 0;
}
