#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <scheduler/scheduler.h>

namespace gooseberry::bench {

/** The size of a generated cell. */
struct CellSize
{
    int workers = 48;
    int accelerators = 0;
    int teams = 8;
    int domains = 3;
    int customers = 6;
};

constexpr CellSize largeCellSize{
    .workers = 1400, .accelerators = 2900, .teams = 40, .domains = 5, .customers = 6};
constexpr CellSize smallCellSize{
    .workers = 48, .accelerators = 100, .teams = 8, .domains = 3, .customers = 6};

/** One generated job. */
struct BenchJob
{
    JobId id;
    TeamId team;
    std::shared_ptr<const JobSpec> spec;
    std::chrono::milliseconds runTime{0};
    CellTime submittedAt;
};

/** A task that was placed. */
struct Placed
{
    TaskId task;
    Attempt attempt;
    InstanceId instance;
    TeamId team;
};

Resources sized(std::int64_t cores, std::int64_t gigabytes, std::int64_t accelerators = 0);
std::vector<InstanceSpec> generateFleet(const CellSize &size);
CellConfig generateConfig(const CellSize &size);

/** Generates jobs of mixed shapes with a fixed seed. */
class JobSource
{
public:
    JobSource(std::uint64_t seed, const CellConfig &config);

    BenchJob next(JobClass jobClass, std::uint32_t tasks, const Resources &perTask);
    /** Returns a batch or service job of 1 to 16 tasks with one of several common shapes. */
    BenchJob nextMixed(bool withAccelerators);
    std::size_t pick(std::size_t count);
    double uniform();

private:
    std::mt19937_64 random;
    std::vector<TeamId> teams;
    std::uint64_t lastJob = 0;
};

/** Interface to the scheduler or to the baseline that it is compared with. */
class Placer
{
public:
    virtual ~Placer() = default;
    virtual void submit(const BenchJob &job) = 0;
    /** Decides and commits starts; decisionTime is the duration of the decision alone. */
    virtual std::vector<Placed> round(SteadyTime now) = 0;
    virtual void end(const Placed &placed, EndCause cause, SteadyTime now) = 0;
    virtual void retry(const BenchJob &job, const Placed &placed) = 0;
    /** Returns the instances with the resources in use on each. */
    virtual std::vector<Instance> instances() const = 0;
    std::chrono::nanoseconds decisionTime{0};
};

/** Runs the scheduler on a generated cell. */
class SchedulerPlacer : public Placer
{
public:
    SchedulerPlacer(const CellSize &size, unsigned threads);

    void submit(const BenchJob &job) override;
    std::vector<Placed> round(SteadyTime now) override;
    void end(const Placed &placed, EndCause cause, SteadyTime now) override;
    void retry(const BenchJob &job, const Placed &placed) override;
    std::vector<Instance> instances() const override;
    std::vector<TeamUsage> usage() const;
    Resources capacity() const;
    std::size_t quarantined(SteadyTime now) const;

private:
    Fleet fleet;
    TeamLedger ledger;
    CellConfig config;
    Scheduler scheduler;
    std::map<JobId, BenchJob> jobs;
};

/** Baseline: first come, first served; first fit. Skips what does not fit; gangs start whole. */
class FirstFitPlacer : public Placer
{
public:
    explicit FirstFitPlacer(const CellSize &size);

    void submit(const BenchJob &job) override;
    std::vector<Placed> round(SteadyTime now) override;
    void end(const Placed &placed, EndCause cause, SteadyTime now) override;
    void retry(const BenchJob &job, const Placed &placed) override;
    std::vector<Instance> instances() const override;

private:
    struct Waiting
    {
        BenchJob job;
        std::deque<std::pair<std::uint32_t, Attempt>> tasks;
    };

    std::vector<Instance> fleet;
    std::map<InstanceId, std::size_t> positions;
    std::map<JobId, std::shared_ptr<const JobSpec>> specs;
    std::deque<Waiting> waiting;
};

/** Returns how many tasks of this size fit into the free capacity of the instances. */
std::uint64_t placeable(const std::vector<Instance> &instances, const Resources &perTask);

} // namespace gooseberry::bench
