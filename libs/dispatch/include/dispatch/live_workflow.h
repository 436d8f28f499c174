#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include <base/base.h>
#include <workflow/workflow.h>

namespace gooseberry {

/** How far a run has come, as far as the leader knows. */
enum class RunPhase {
    Proposed, ///< Being stored; the worker has not been told.
    Ordered, ///< The worker was told and has not answered.
    Running,
    OutcomeUnknown, ///< The order got no answer and may still be carried out.
    Recovered, ///< Known from the log of an earlier leader only.
    Ending, ///< It has ended and the end is being stored.
};

/** One run of a task on a worker. */
struct LiveRun
{
    RunNumber number;
    RunPhase phase = RunPhase::Proposed;
    InstanceId worker;
    /** When the phase began. */
    SteadyTime since;
    /** A list of the worker's life that it was meant for has named it, so it began in that life. */
    bool reported = false;
    bool stopRequested = false;
    bool stopInFlight = false;
    /** When a stop was last sent that the worker has answered. */
    std::optional<SteadyTime> stopAnsweredAt;
    /** The latest progress that the worker has reported. */
    std::string checkpoint;
    double percent = 0.0;
    std::string ticket;
};

/** A task of a workflow that is not finished. */
struct LiveTask
{
    bool done = false;
    RunNumber lastRun;
    std::string checkpoint;
    std::optional<LiveRun> run;
    /** After a failure, the task waits until then. */
    SteadyTime notBefore;
};

/** A worker that the adviser allows to run a step. */
struct AllowedWorker
{
    /** The scheduler's number for this life of the worker. */
    std::uint32_t slot = 0;
    std::string ticket;
    SteadyTime validUntil;
};

struct LiveStep
{
    std::vector<LiveTask> tasks;
    std::size_t done = 0;
    /** Tasks that neither run nor are done. */
    std::size_t waiting = 0;
    std::vector<AllowedWorker> allowed;
    /** The slots of all workers that the adviser was asked about. */
    std::unordered_set<std::uint32_t> queriedSlots;
    bool adviceRequested = false;
    SteadyTime nextAdviceRequestAt;
    bool ready = false;
};

using LiveOccurrence = std::vector<LiveStep>;

/** A workflow that may still run tasks. */
struct LiveWorkflow
{
    WorkflowId id;
    std::string queue;
    CustomerId customer;
    std::shared_ptr<const WorkflowSpec> spec;
    /** The longest criticalPath of estimates through the steps. */
    Duration criticalPath{};
    SteadyTime acceptedAt;
    /** Cancelled or failed: runs are being stopped and none begins. */
    bool ended = false;
    std::map<std::uint32_t, LiveOccurrence> occurrences;
    std::uint32_t nextOccurrence = 0;
    std::size_t activeRuns = 0;
};

} // namespace gooseberry
