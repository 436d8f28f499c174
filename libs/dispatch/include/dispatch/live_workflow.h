#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include <base/base.h>
#include <policy/policy.h>
#include <workflow/workflow.h>

namespace gooseberry {

/** State of a run as the leader knows it. */
enum class RunPhase {
    Proposed, ///< The assignment is being stored; no start was sent.
    Ordered, ///< The start was sent and is not answered yet.
    Running,
    OutcomeUnknown, ///< The start got no answer and may still be carried out.
    Recovered, ///< May execute in the worker's present incarnation; its next report tells.
    Ending, ///< The run has ended and its result is being stored.
};

/** One run of a task on a worker. */
struct LiveRun
{
    RunNumber number;
    RunPhase phase = RunPhase::Proposed;
    InstanceId worker;
    /** The incarnation of the worker that starts of the run were sent to, or that has listed it. */
    WorkerIncarnation incarnation;
    /** When the phase began. */
    SteadyTime since;
    /**
     * The worker incarnation that the start was sent to has reported the run, so the run began in
     * that incarnation.
     */
    bool reported = false;
    bool stopRequested = false;
    bool stopInFlight = false;
    /** When the worker last answered a stop of this run. */
    std::optional<SteadyTime> stopAnsweredAt;
    /** The latest progress that the worker has reported. */
    std::string checkpoint;
    double percent = 0.0;
    std::string ticket;
    /** When the ticket has expired on every clock; not set without a ticket. */
    std::optional<SteadyTime> ticketExpiresBy;
    /** When the ticket is no longer used for a start. */
    SteadyTime ticketUsableUntil;
    /** Starts that this leader has sent. */
    std::uint32_t startsSent = 0;
    /** Starts without an answer, including one that an earlier leader may have sent. */
    std::uint32_t unansweredStarts = 0;
    /** Until then, one of these may be carried out, also by a later incarnation of the worker. */
    SteadyTime startMayArriveUntil;
    /** The worker's present incarnation neither executes the run nor will start it. */
    bool absent = false;
    /** When the last report was requested that did not list the run. */
    SteadyTime absentAsOf;
};

/** A task of a workflow that is not finished. */
struct LiveTask
{
    bool done = false;
    RunNumber lastRun;
    std::string checkpoint;
    std::optional<LiveRun> run;
    /** Earliest start of the next run; later than now after a failure. */
    SteadyTime notBefore;
};

/** A worker that the adviser allows to run a step. */
struct AllowedWorker
{
    /** The scheduler's number of this incarnation of the worker. */
    std::uint32_t slot = 0;
    std::string ticket;
    SteadyTime validUntil;
    /** When the ticket has expired, given the largest clock lag. */
    SteadyTime expiresBy;
};

struct LiveStep
{
    std::vector<LiveTask> tasks;
    std::size_t done = 0;
    /** Tasks that are neither done nor have a run. */
    std::size_t waiting = 0;
    std::vector<AllowedWorker> allowed;
    /** The slots of all workers that earlier requests to the adviser listed. */
    std::unordered_set<std::uint32_t> queriedSlots;
    bool adviceRequested = false;
    SteadyTime nextAdviceRequestAt;
    bool ready = false;
    /** The last placement attempt that found too little room, unless the step has changed since. */
    std::optional<RoomVersion> lastFailedPlacement;
    /** The last search that found no worker to ask the adviser about. */
    std::optional<CandidateSearch> lastEmptySearch;
};

using LiveOccurrence = std::vector<LiveStep>;

/** A workflow that may still run tasks. */
struct LiveWorkflow
{
    WorkflowId id;
    std::string queue;
    CustomerId customer;
    /** The rules in force for the queue and the customer; null if there never were any. */
    const QueueRule *queueRule = nullptr;
    const CustomerRule *customerRule = nullptr;
    std::shared_ptr<const WorkflowSpec> spec;
    /** Estimated time of the longest chain of dependent steps. */
    Duration criticalPath{};
    SteadyTime acceptedAt;
    /**
     * The workflow was cancelled or has ended: its runs are being stopped and no new ones begin.
     */
    bool ended = false;
    /** A worker has answered a start of one of its tasks with success, or has reported a run. */
    bool startConfirmed = false;
    /** The occurrences that have begun and not ended. */
    std::map<std::uint32_t, LiveOccurrence> occurrences;
    /** Those that had ended before this leader's term. */
    OccurrenceSet endedOccurrences;
    std::uint32_t nextOccurrence = 0;
    /** Occurrences that are due wait until earlier ones end. */
    bool occurrencesHeldBack = false;
    std::size_t activeRuns = 0;
};

} // namespace gooseberry
