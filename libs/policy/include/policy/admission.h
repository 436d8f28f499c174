#pragma once

#include <cstdint>
#include <optional>

#include <base/base.h>
#include <contract/contract.h>
#include <policy/reason.h>

namespace gooseberry {

/** What is known when a job arrives. */
struct AdmissionInput
{
    /** The queue that the job names, or null when it does not exist. */
    const Queue *queue = nullptr;
    /** The limit of the queue's team. */
    Limit limit;
    /** The team whose valid key came with the request, or nothing without a key. */
    std::optional<TeamId> caller;
    std::uint32_t pendingTasks = 0;
    bool couldEverFit = false;
    /** Tasks that wait in the whole cell. */
    std::uint32_t cellPendingTasks = 0;
    /** Waiting tasks from which on work is shed, lowest class first; 0 sheds nothing. */
    std::uint32_t shedAbove = 0;
    /** When nothing could ever fit, the dimension that the refusal names; nothing if unknown. */
    std::optional<Dimension> shortage{};
};

/** Returns how many waiting tasks the cell tolerates before it sheds new work of the class. */
std::uint64_t shedThreshold(JobClass jobClass, std::uint32_t shedAbove);

/** Returns Done, or an error with outcome NotRun that names what stands in the way. */
Status checkAdmission(const JobSpec &spec, const AdmissionInput &input);

} // namespace gooseberry
