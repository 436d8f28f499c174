// Measures scheduling decisions on generated cells with fixed seeds. Every figure with a goal is a
// ratio or a rate within one run. Tasks end on a simulated clock; there is no network, no log and
// no worker.

#include "bench_cell.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <limits>
#include <thread>

using namespace gooseberry;
using namespace gooseberry::bench;
using namespace std::chrono_literals;

namespace {

const SteadyTime startTime{1h};

void printGoal(const char *name, double value, const char *goal, bool met)
{
    std::printf("%-58s %12.4f  %-14s %s\n", name, value, goal, met ? "met" : "MISSED");
}

void printFigure(const char *name, double value)
{
    std::printf("%-58s %12.4f\n", name, value);
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values[index];
}

struct Rates
{
    double perSecond = 0.0;
    double p50Millis = 0.0;
    double p99Millis = 0.0;
    /** Median over rounds, which other load on the machine affects least; used for ratios. */
    double microsPerDecision = 0.0;
};

struct RateInput
{
    CellSize size;
    unsigned threads = 1;
    std::size_t runningTasks = 0;
    std::size_t perRound = 0;
    int rounds = 0;
    int impossiblePercent = 0;
};

/** Ends random tasks until the target number is running. */
void endRandomTasks(Placer &placer, std::vector<Placed> &running, std::size_t target,
                    JobSource &source)
{
    while (running.size() > target) {
        std::swap(running[source.pick(running.size())], running.back());
        placer.end(running.back(), EndCause::Succeeded, startTime);
        running.pop_back();
    }
}

/**
 * Keeps the given number of tasks running and submits about perRound tasks before each round.
 * Measures only the time of the rounds.
 */
Rates measureRate(const RateInput &input)
{
    SchedulerPlacer placer(input.size, input.threads);
    JobSource source(7, generateConfig(input.size));
    std::vector<Placed> running;
    std::vector<double> perRound;
    std::vector<double> perDecision;
    std::chrono::nanoseconds spent{0};
    std::size_t placedTotal = 0;
    for (int round = -1; round < input.rounds; ++round) {
        const bool warmUp = round < 0;
        std::size_t submitted = 0;
        while (submitted < (warmUp ? input.runningTasks : input.perRound)) {
            if (static_cast<int>(source.pick(100)) < input.impossiblePercent) {
                placer.submit(source.next(JobClass::Batch, 1, sized(1000, 1)));
            }
            const BenchJob job = source.nextMixed(true);
            placer.submit(job);
            submitted += job.spec->taskCount;
        }
        const std::vector<Placed> placed = placer.round(startTime);
        running.insert(running.end(), placed.begin(), placed.end());
        if (!warmUp && !placed.empty()) {
            spent += placer.decisionTime;
            placedTotal += placed.size();
            const double millis
                = std::chrono::duration<double, std::milli>(placer.decisionTime).count();
            perRound.push_back(millis);
            perDecision.push_back(1000.0 * millis / static_cast<double>(placed.size()));
        }
        endRandomTasks(placer, running, input.runningTasks, source);
    }
    const double seconds = std::chrono::duration<double>(spent).count();
    return Rates{.perSecond = static_cast<double>(placedTotal) / seconds,
                 .p50Millis = percentile(perRound, 0.5),
                 .p99Millis = percentile(perRound, 0.99),
                 .microsPerDecision = percentile(perDecision, 0.5)};
}

RateInput largeCellRate(unsigned threads, std::size_t perRound, int rounds)
{
    return RateInput{.size = largeCellSize,
                     .threads = threads,
                     .runningTasks = 9'100,
                     .perRound = perRound,
                     .rounds = rounds,
                     .impossiblePercent = 0};
}

RateInput smallCellRate(std::size_t perRound)
{
    return RateInput{.size = smallCellSize,
                     .threads = 1,
                     .runningTasks = 300,
                     .perRound = perRound,
                     .rounds = 300,
                     .impossiblePercent = 0};
}

void benchRate()
{
    std::printf(
        "\n-- decisions: 1,400 workers, 2,900 accelerators, 40 teams, 9,100 tasks running\n");
    const Rates one = measureRate(largeCellRate(1, 1'000, 60));
    const Rates four = measureRate(largeCellRate(4, 1'000, 60));
    const Rates single = measureRate(largeCellRate(1, 1, 1'000));
    printFigure("placements per second, 1 thread", one.perSecond);
    printGoal("placements per second, 4 threads", four.perSecond, ">= 5000",
              four.perSecond >= 5000);
    const double speedUp = one.microsPerDecision / four.microsPerDecision;
    printGoal("speed-up from 1 to 4 threads (medians)", speedUp, ">= 2.5", speedUp >= 2.5);
    printFigure("round with one job, p50 (ms)", single.p50Millis);
    printGoal("round with one job, p99 (ms)", single.p99Millis, "<= 5", single.p99Millis <= 5.0);
    const Rates smallScaled = measureRate(smallCellRate(34));
    const Rates small = measureRate(smallCellRate(64));
    const Rates large = measureRate(largeCellRate(1, 64, 300));
    const double scaled = one.microsPerDecision / smallScaled.microsPerDecision;
    printGoal("cost per decision, 1,400 over 48, rounds in proportion", scaled, "<= 2",
              scaled <= 2.0);
    const double equal = large.microsPerDecision / small.microsPerDecision;
    printGoal("cost per decision, 1,400 over 48, 64 tasks a round", equal, "<= 2", equal <= 2.0);
}

void benchImpossible()
{
    std::printf("\n-- impossible jobs\n");
    // Alternating the two variants and taking the minimum of each removes other load on the machine
    // from the ratio.
    double without = std::numeric_limits<double>::infinity();
    double with = std::numeric_limits<double>::infinity();
    for (int part = 0; part < 5; ++part) {
        RateInput input = largeCellRate(1, 1'000, 15);
        without = std::min(without, measureRate(input).microsPerDecision);
        input.impossiblePercent = 10;
        with = std::min(with, measureRate(input).microsPerDecision);
    }
    printGoal("decision cost with 10 % impossible jobs over without", with / without, "<= 1.1",
              with / without <= 1.1);
}

void benchShare()
{
    std::printf("\n-- fairness while full\n");
    SchedulerPlacer placer(largeCellSize, 1);
    const CellConfig config = generateConfig(largeCellSize);
    JobSource source(11, config);
    // One class, since classes take precedence over shares, and more tasks than any team's share.
    for (int job = 0; job < 12'000; ++job) {
        const Resources perTask = source.nextMixed(false).spec->perTask;
        placer.submit(source.next(JobClass::Batch, 8, perTask));
    }
    placer.round(startTime);
    std::map<TeamId, double> shares;
    double total = 0.0;
    for (const TeamUsage &usage : placer.usage()) {
        shares[usage.team] = dominantShare(usage.running, placer.capacity());
        total += shares[usage.team];
    }
    double customerWeights = 0.0;
    for (const Customer &customer : config.customers) {
        customerWeights += customer.share.weight;
    }
    double distance = 0.0;
    for (const Customer &customer : config.customers) {
        double teamWeights = 0.0;
        for (const Team &team : customer.teams) {
            teamWeights += team.share.weight;
        }
        for (const Team &team : customer.teams) {
            const double entitled
                = total * customer.share.weight / customerWeights * team.share.weight / teamWeights;
            distance += std::abs(shares[team.id] - entitled);
        }
    }
    printGoal("share distance, 40 teams", distance / total, "<= 0.05", distance / total <= 0.05);
}

/** Returns the used fraction of the most used dimension; no placement can exceed 1. */
double utilisationOfBound(const std::vector<Instance> &instances)
{
    Resources used;
    Resources capacity;
    for (const Instance &instance : instances) {
        used = add(used, instance.allocated).value();
        capacity = add(capacity, instance.spec.capacity).value();
    }
    return dominantShare(used, capacity);
}

void submitMixedJobs(Placer &placer, int jobs, bool withAccelerators)
{
    JobSource source(13, generateConfig(largeCellSize));
    for (int job = 0; job < jobs; ++job) {
        placer.submit(source.nextMixed(withAccelerators));
    }
    placer.round(startTime);
}

void benchPacking()
{
    std::printf("\n-- packing, 1,400 workers\n");
    SchedulerPlacer full(largeCellSize, 1);
    FirstFitPlacer fullBase(largeCellSize);
    submitMixedJobs(full, 4'000, true);
    submitMixedJobs(fullBase, 4'000, true);
    const double scheduled = utilisationOfBound(full.instances());
    const double base = utilisationOfBound(fullBase.instances());
    printGoal("used over the per-dimension bound", scheduled, ">= 0.95", scheduled >= 0.95);
    printGoal("the same, over first fit", scheduled / base, ">= 1", scheduled >= base);
    SchedulerPlacer partly(largeCellSize, 1);
    FirstFitPlacer partlyBase(largeCellSize);
    submitMixedJobs(partly, 750, true);
    submitMixedJobs(partlyBase, 750, true);
    const auto gang = [](const Placer &placer, const Resources &perTask) {
        return static_cast<double>(placeable(placer.instances(), perTask));
    };
    printFigure("load before the gang (fraction of the bound)",
                utilisationOfBound(partly.instances()));
    printFigure("largest gang of 32 cores, 64 GB", gang(partly, sized(32, 64)));
    printFigure("the same, first fit", gang(partlyBase, sized(32, 64)));
    printFigure("largest gang of 16 cores, 32 GB, 4 accelerators", gang(partly, sized(16, 32, 4)));
    printFigure("the same, first fit", gang(partlyBase, sized(16, 32, 4)));
}

/** A running task on the simulated clock. */
struct Running
{
    SteadyTime end;
    Placed placed;
    bool fails = false;

    bool operator>(const Running &other) const
    {
        return this->end > other.end;
    }
};
using EndQueue = std::priority_queue<Running, std::vector<Running>, std::greater<>>;

/** Returns the waiting times of small tasks, in seconds, in a mix of small and large tasks. */
std::vector<double> measureSmallTaskWaits(Placer &placer, double load)
{
    // 48 workers of 64 cores and 8 slots. A small task takes 8 cores for 10 s, a large one 32 for
    // 300 s, so processors run out before slots. The small team requests a fifth of the cores and
    // is entitled to a third.
    constexpr double cores = 48 * 64;
    constexpr double smallShare = 0.2;
    const double smallPerSecond = load * smallShare * cores / (8 * 10);
    const double largePerSecond = load * (1 - smallShare) * cores / (32 * 300);
    const CellConfig config = generateConfig(smallCellSize);
    JobSource source(17, config);
    std::map<JobId, std::pair<SteadyTime, BenchJob>> jobs;
    std::vector<double> waits;
    EndQueue ends;
    SteadyTime now = startTime;
    constexpr auto tick = 200ms;
    double pendingSmall = 0.0;
    double pendingLarge = 0.0;
    while (now < startTime + 1800s) {
        now += tick;
        while (!ends.empty() && ends.top().end <= now) {
            placer.end(ends.top().placed, EndCause::Succeeded, now);
            ends.pop();
        }
        const auto arrive = [&](double &due, double rate, const Resources &size, bool small) {
            due += rate * 0.2 * 2 * source.uniform();
            for (; due >= 1.0; due -= 1.0) {
                BenchJob job = source.next(JobClass::Batch, 1, size);
                job.team = config.customers[small ? 0 : 1].teams[0].id;
                job.runTime = small ? 10s : 300s;
                jobs.emplace(job.id, std::pair(now, job));
                placer.submit(job);
            }
        };
        arrive(pendingSmall, smallPerSecond, sized(8, 8), true);
        arrive(pendingLarge, largePerSecond, sized(32, 32), false);
        for (const Placed &placed : placer.round(now)) {
            const auto &[submitted, job] = jobs.at(placed.task.job);
            if (job.runTime == 10s) {
                waits.push_back(std::chrono::duration<double>(now - submitted).count());
            }
            ends.push(Running{.end = now + job.runTime, .placed = placed});
        }
    }
    return waits;
}

void benchWaiting()
{
    std::printf("\n-- waiting of the small class (seconds, p99), 48 workers, 30 min\n");
    for (const double load : {0.7, 1.0, 1.5}) {
        SchedulerPlacer placer(smallCellSize, 1);
        FirstFitPlacer base(smallCellSize);
        const std::vector<double> scheduled = measureSmallTaskWaits(placer, load);
        const std::vector<double> baseline = measureSmallTaskWaits(base, load);
        std::printf("load %.1f: %9.1f  first fit %9.1f   started %zu and %zu\n", load,
                    percentile(scheduled, 0.99), percentile(baseline, 0.99), scheduled.size(),
                    baseline.size());
    }
}

/** With 60 workers, 3 faulty ones are exactly 5 %. */
constexpr CellSize faultySize{
    .workers = 60, .accelerators = 0, .teams = 8, .domains = 3, .customers = 6};

struct Goodput
{
    std::size_t succeeded = 0;
    /** Tasks that failed three times. */
    std::size_t lost = 0;
};

/** Counts successful tasks in ten minutes while some workers fail every task immediately. */
Goodput measureGoodput(Placer &placer, int failingWorkers)
{
    std::set<InstanceId> failing;
    for (int number = 0; number < failingWorkers; ++number) {
        failing.insert(InstanceId("worker-" + std::to_string(number * 20 + 1)));
    }
    JobSource source(19, generateConfig(faultySize));
    std::map<JobId, BenchJob> jobs;
    EndQueue ends;
    constexpr Attempt lastAttempt(3);
    Goodput result;
    std::size_t open = 0;
    for (SteadyTime now = startTime; now < startTime + 600s; now += 500ms) {
        while (open < 800) {
            const BenchJob job = source.next(JobClass::Batch, 8, sized(4, 8));
            jobs.emplace(job.id, job);
            placer.submit(job);
            open += 8;
        }
        while (!ends.empty() && ends.top().end <= now) {
            const Running ended = ends.top();
            ends.pop();
            placer.end(ended.placed, ended.fails ? EndCause::Failed : EndCause::Succeeded, now);
            if (ended.fails && ended.placed.attempt < lastAttempt) {
                placer.retry(jobs.at(ended.placed.task.job), ended.placed);
                continue;
            }
            ++(ended.fails ? result.lost : result.succeeded);
            --open;
        }
        for (const Placed &placed : placer.round(now)) {
            const bool fails = failing.contains(placed.instance);
            ends.push(
                Running{.end = now + (fails ? 500ms : 30'000ms), .placed = placed, .fails = fails});
        }
    }
    return result;
}

void benchGoodput()
{
    std::printf("\n-- goodput, 60 workers, 3 of them (5 %%) fail everything\n");
    constexpr int failing = 3;
    SchedulerPlacer healthy(faultySize, 1);
    SchedulerPlacer faulty(faultySize, 1);
    FirstFitPlacer baseHealthy(faultySize);
    FirstFitPlacer baseFaulty(faultySize);
    const auto ratio = [](const Goodput &with, const Goodput &without) {
        return static_cast<double>(with.succeeded) / static_cast<double>(without.succeeded);
    };
    const Goodput scheduled = measureGoodput(faulty, failing);
    const Goodput base = measureGoodput(baseFaulty, failing);
    const double scheduledRatio = ratio(scheduled, measureGoodput(healthy, 0));
    printGoal("goodput over that without failing workers", scheduledRatio, ">= 0.93",
              scheduledRatio >= 0.93);
    printFigure("the same, first fit", ratio(base, measureGoodput(baseHealthy, 0)));
    printFigure("tasks lost after three failures", static_cast<double>(scheduled.lost));
    printFigure("the same, first fit", static_cast<double>(base.lost));
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf("scheduler_bench: %u processors seen\n", std::thread::hardware_concurrency());
    std::printf("%-58s %12s  %-14s\n", "figure", "measured", "goal");
    benchRate();
    benchImpossible();
    benchShare();
    benchPacking();
    benchWaiting();
    benchGoodput();
    return 0;
}
