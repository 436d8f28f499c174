#include <control/instance_metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>

namespace gooseberry {

namespace {

using Buckets = prometheus::Histogram::BucketBoundaries;

/** In seconds. 2.8 s is the waiting time limit of urgent work. */
const Buckets &waitingBuckets()
{
    static const Buckets buckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1,   2.8,
                                 5,     10,   30,    60,   120, 300,  900, 3600};
    return buckets;
}

/** In seconds per placement decision. */
const Buckets &decisionBuckets()
{
    static const Buckets buckets{0.00001, 0.00005, 0.0001, 0.0005, 0.001, 0.005, 0.01, 0.1};
    return buckets;
}

double seconds(const timeval &time)
{
    constexpr double microsPerSecond = 1e6;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsPerSecond;
}

double fraction(std::int64_t allocated, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(allocated) / static_cast<double>(capacity) : 0.0;
}

} // namespace

struct InstanceMetrics::Impl
{
    prometheus::Gauge &gauge(const std::string &name, const std::string &help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(this->registry).Add({});
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> &waiting
        = prometheus::BuildHistogram()
              .Name("waiting_time_seconds")
              .Help("Time from submission to the committed start of a task")
              .Register(this->registry);
    prometheus::Histogram &decision = prometheus::BuildHistogram()
                                          .Name("decision_time_seconds")
                                          .Help("Time per placement decision")
                                          .Register(this->registry)
                                          .Add({}, decisionBuckets());
    prometheus::Counter &placements = prometheus::BuildCounter()
                                          .Name("placements_total")
                                          .Help("Placement decisions")
                                          .Register(this->registry)
                                          .Add({});
    prometheus::Family<prometheus::Counter> &refusals = prometheus::BuildCounter()
                                                            .Name("requests_refused_total")
                                                            .Help("Refused submissions by code")
                                                            .Register(this->registry);
    prometheus::Family<prometheus::Gauge> &packing
        = prometheus::BuildGauge()
              .Name("packing_ratio")
              .Help("Promised over declared size, by dimension")
              .Register(this->registry);
    prometheus::Gauge &shareDistance
        = this->gauge("share_distance_ratio",
                      "Sum over teams of |got - entitled| over capacity, by dominant resource");
    prometheus::Gauge &isLeader = this->gauge("leader_info", "1 on the instance that leads");
    prometheus::Gauge &term = this->gauge("term_info", "Latest term known");
    prometheus::Gauge &workers = this->gauge("workers_count", "Announced workers");
    prometheus::Gauge &unreachable
        = this->gauge("workers_unreachable_count", "Workers without a live lease");
    prometheus::Gauge &cpu = this->gauge("process_cpu_seconds", "Processor time used so far");
    prometheus::Gauge &memory = this->gauge("process_max_resident_bytes", "Largest resident size");
};

InstanceMetrics::InstanceMetrics(std::function<void()> initialWake)
    : wake(std::move(initialWake))
    , impl(std::make_unique<Impl>())
{
}

InstanceMetrics::~InstanceMetrics() = default;

void InstanceMetrics::workAvailable()
{
    this->wake();
}

void InstanceMetrics::taskStarted(JobClass jobClass, const TeamId &team,
                                  std::chrono::milliseconds waited)
{
    this->impl->waiting.Add({{"class", toString(jobClass)}, {"team", team.value}}, waitingBuckets())
        .Observe(std::chrono::duration<double>(waited).count());
}

void InstanceMetrics::roundDecided(Duration elapsed, std::size_t placements)
{
    this->impl->placements.Increment(static_cast<double>(placements));
    this->impl->decision.Observe(std::chrono::duration<double>(elapsed).count()
                                 / static_cast<double>(placements));
}

void InstanceMetrics::requestRefused(ErrorCode code)
{
    this->impl->refusals.Add({{"code", toString(code)}}).Increment();
}

std::string InstanceMetrics::serialize(const InstanceStats &stats)
{
    const auto setPacking
        = [this](Dimension dimension, std::int64_t allocated, std::int64_t capacity) {
              this->impl->packing.Add({{"dimension", toString(dimension)}})
                  .Set(fraction(allocated, capacity));
          };
    const Resources &allocated = stats.allocated;
    const Resources &capacity = stats.capacity;
    setPacking(Dimension::Cpu, allocated.cpu.value, capacity.cpu.value);
    setPacking(Dimension::Memory, allocated.memory.value, capacity.memory.value);
    setPacking(Dimension::Accelerators, allocated.accelerators.value, capacity.accelerators.value);
    setPacking(Dimension::Slots, allocated.slots.value, capacity.slots.value);
    this->impl->shareDistance.Set(stats.shareDistance);
    this->impl->isLeader.Set(stats.isLeader ? 1 : 0);
    this->impl->term.Set(static_cast<double>(stats.term.value));
    this->impl->workers.Set(static_cast<double>(stats.workers));
    this->impl->unreachable.Set(static_cast<double>(stats.unreachableWorkers));
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        constexpr double bytesPerKibibyte = 1024;
        this->impl->cpu.Set(seconds(usage.ru_utime) + seconds(usage.ru_stime));
        this->impl->memory.Set(static_cast<double>(usage.ru_maxrss) * bytesPerKibibyte);
    }
    return prometheus::TextSerializer().Serialize(this->impl->registry.Collect());
}

} // namespace gooseberry
