#pragma once

#include <cstdint>
#include <optional>

#include <base/base.h>
#include <contract/contract.h>
#include <policy/reason.h>

namespace gooseberry {

/** Everything that the admission decision for a job depends on. */
struct AdmissionInput
{
    /** The queue that the job names, or null when it does not exist. */
    const Queue *queue = nullptr;
    /** The resource limit of the queue's team. */
    Limit limit;
    /** The team that the request's valid API key belongs to; empty without a key. */
    std::optional<TeamId> caller;
    /** Tasks that wait in the queue. */
    std::uint32_t pendingTasks = 0;
    /** Whether a suitable instance, if it were empty, is large enough for a task of the job. */
    bool couldEverFit = false;
    /** Tasks that wait in the whole cell. */
    std::uint32_t cellPendingTasks = 0;
    /** Waiting tasks from which on jobs are shed, lowest class first; 0 disables shedding. */
    std::uint32_t shedAbove = 0;
    /** The dimension that no instance has enough of, reported in the error; empty if unknown. */
    std::optional<Dimension> shortage{};
};

/** Returns the number of waiting tasks from which new jobs of the class are shed. */
std::uint64_t shedThreshold(JobClass jobClass, std::uint32_t shedAbove);

/** Decides whether to accept a job. A refusal is an error with outcome NotRun and its reason. */
Status checkAdmission(const JobSpec &spec, const AdmissionInput &input);

} // namespace gooseberry
