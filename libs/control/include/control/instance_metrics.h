#pragma once

#include <functional>
#include <memory>
#include <string>

#include <cell/cell.h>

namespace gooseberry {

/** Values that are sampled whenever metrics are requested. */
struct InstanceStats
{
    bool isLeader = false;
    Term term;
    Resources capacity;
    Resources allocated;
    double shareDistance = 0.0;
    std::size_t workers = 0;
    std::size_t unreachableWorkers = 0;
};

/** The metrics of one control instance, in the text format of Prometheus. */
class InstanceMetrics : public CoordinatorObserver
{
public:
    /** The callback runs whenever work arrives. */
    explicit InstanceMetrics(std::function<void()> initialWake);
    ~InstanceMetrics() override;

    void workAvailable() override;
    void taskStarted(JobClass jobClass, const TeamId &team,
                     std::chrono::milliseconds waited) override;
    void roundDecided(Duration elapsed, std::size_t placements) override;
    void requestRefused(ErrorCode code) override;

    /** Returns all metrics as text, with the given current values. */
    std::string serialize(const InstanceStats &stats);

private:
    struct Impl;
    std::function<void()> wake;
    std::unique_ptr<Impl> impl;
};

} // namespace gooseberry
