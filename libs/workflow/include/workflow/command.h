#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <base/base.h>
#include <workflow/routing_config.h>
#include <workflow/workflow_spec.h>

namespace gooseberry {

/**
 * Identifies one incarnation of a worker, the time between two starts of its process: the start
 * time since the Unix epoch. A worker that restarts under the same id has a later incarnation.
 */
using WorkerIncarnation = std::chrono::sys_time<std::chrono::milliseconds>;

/** A worker as described by its own heartbeats. */
struct WorkerRecord
{
    InstanceId id;
    Address address;
    WorkerIncarnation incarnation;
    std::string upstream;
    FailureDomainId domain;
    /** All labels, such as the rack and the kind of machine. */
    std::set<std::string> labels;
    RackId rack;
    Resources capacity;
    bool draining = false;
    /**
     * Sequence number, within the incarnation, of the heartbeat that this record comes from.
     * Heartbeats with a lower number were delayed in transit and are ignored.
     */
    std::uint64_t announcement = 0;

    bool operator==(const WorkerRecord &other) const = default;
};

/** Returns whether the records differ in nothing but the heartbeat's sequence number. */
bool isRepeatedAnnouncement(const WorkerRecord &known, WorkerRecord received);

/** Activates a configuration if its version is higher than the active one's. */
struct PutConfig
{
    RoutingConfig config;
};

/** Adds a workflow to the cell; has no effect if the id is known already. */
struct AcceptWorkflow
{
    WorkflowId id;
    std::string queue;
    std::string upstream;
    CustomerId customer;
    std::uint32_t attempts = 1;
    std::string spec; ///< An encoded WorkflowSpec, decoded when the command is applied.
};

/** Assigns one run of a task to a worker. Committed before the worker gets the start order. */
struct RunAssignment
{
    TaskKey task;
    RunNumber run;
    InstanceId worker;
    WorkerIncarnation incarnation;
    std::string checkpoint;
};
struct AssignRuns
{
    std::vector<RunAssignment> runs;
};

/**
 * Records that workers have begun a task of each workflow. An assignment doesn't tell, since its
 * start may be refused or lost. Workflows that have begun, have ended or aren't known stay as they
 * are.
 */
struct RecordStarts
{
    std::vector<WorkflowId> workflows;
};

/** The result of a run in the replicated state, which tells only success from failure. */
enum class StoredResult : std::uint8_t {
    Done,
    Failed,
};
struct RunEnd
{
    TaskKey task;
    RunNumber run;
    StoredResult result = StoredResult::Done;
    std::string checkpoint;
};
struct EndRuns
{
    std::vector<RunEnd> ends;
};

struct CancelWorkflow
{
    WorkflowId id;
};

/**
 * Takes a failure domain out of service, or puts it back into service, whatever was ordered before.
 * Only in logs of earlier versions; see OrderEvacuation.
 */
struct SetEvacuation
{
    FailureDomainId domain;
    bool evacuated = false;
};

/**
 * The same if no other order for the domain was applied since its sender read the revision, which
 * counts these orders. So an order that was delayed can't undo a later one. An order for what is in
 * force anyway is accepted, since it may be a copy of one that was applied.
 */
struct OrderEvacuation
{
    FailureDomainId domain;
    bool evacuated = false;
    std::uint64_t expectedRevision = 0;
};

/** Registers a worker or updates its record. Delayed announcements have no effect. */
struct AnnounceWorker
{
    WorkerRecord worker;
};
/** Removes a worker if its current incarnation is the given one. */
struct ForgetWorker
{
    InstanceId id;
    WorkerIncarnation incarnation;
};

using WorkflowCommand
    = std::variant<PutConfig, AcceptWorkflow, AssignRuns, EndRuns, CancelWorkflow, SetEvacuation,
                   AnnounceWorker, ForgetWorker, RecordStarts, OrderEvacuation>;

/** A command with the node that proposed it and the cell time of the proposal. */
struct ProposedCommand
{
    /** Random id of the proposing process. */
    std::uint64_t origin = 0;
    /** Sequence number within the origin. */
    std::uint64_t number = 0;
    /** Never decreases between commands; used only to expire ended workflows. */
    CellTime at;
    WorkflowCommand command;
};

std::string encodeCommand(const ProposedCommand &command);
Result<ProposedCommand> decodeProposedCommand(const std::string &bytes);

} // namespace gooseberry
