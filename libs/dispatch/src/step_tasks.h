#pragma once

#include <cstdint>
#include <map>

#include <dispatch/live_workflow.h>
#include <dispatch/task_placement.h>
#include <dispatch/upstream_worker.h>

namespace gooseberry {

/** The tasks of a step that have runs, by worker. Counted only if the step limits their number. */
class StepTasks
{
public:
    StepTasks(const LiveStep &step, const StepSpec &spec)
    {
        if (spec.maxPerWorker == 0) {
            return;
        }
        for (const LiveTask &task : step.tasks) {
            if (task.run) {
                ++this->tasks[task.run->worker];
            }
        }
    }

    std::uint32_t on(const UpstreamWorker &worker) const
    {
        const auto found = this->tasks.find(worker.record.id);
        return found == this->tasks.end() ? 0 : found->second;
    }

    /** Returns how many further tasks of the step the worker can take. */
    std::uint32_t thatFit(const UpstreamWorker &worker, const Resources &free,
                          const TaskPlacementRequest &request) const
    {
        return tasksThatFit(PlacementCandidate{.worker = worker.slot,
                                               .free = free,
                                               .tasksOfStep = this->on(worker),
                                               .rack = {},
                                               .penalty = 0.0},
                            request);
    }

private:
    std::map<InstanceId, std::uint32_t> tasks;
};

} // namespace gooseberry
