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

/** Tells one life of a worker from another one under the same id: when it began, since 1970. */
using WorkerLife = std::chrono::sys_time<std::chrono::milliseconds>;

/** A worker as it has announced itself. */
struct WorkerRecord
{
    InstanceId id;
    Address address;
    WorkerLife life;
    std::string upstream;
    FailureDomainId domain;
    /** The rack and all other labels, such as the kind of machine. */
    std::set<std::string> labels;
    RackId rack;
    Resources capacity;
    bool draining = false;
    /** The number of the heartbeat that announced this; one with a lower number came late. */
    std::uint64_t announcement = 0;

    bool operator==(const WorkerRecord &other) const = default;
};

/** Returns whether the worker says the same of itself as it did before. */
bool isRepeatedAnnouncement(const WorkerRecord &left, WorkerRecord right);

/** Puts a configuration into force if its version is higher than the present one's. */
struct PutConfig
{
    RoutingConfig config;
};

/** Accepts a workflow. */
struct AcceptWorkflow
{
    WorkflowId id;
    std::string queue;
    std::string upstream;
    CustomerId customer;
    std::uint32_t attempts = 1;
    std::string spec; ///< A WorkflowSpec as a record, kept once for all replicas' snapshots.
};

/** Assigns one run of a task to a worker, before the worker is told. */
struct RunAssignment
{
    TaskKey task;
    RunNumber run;
    InstanceId worker;
    WorkerLife life;
    std::string checkpoint;
};
struct AssignRuns
{
    std::vector<RunAssignment> runs;
};

/** How a run ended, as far as the replicated state is concerned. */
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

/** Takes a failure domain out of service, or back. */
struct SetEvacuation
{
    FailureDomainId domain;
    bool evacuated = false;
};

struct AnnounceWorker
{
    WorkerRecord worker;
};
struct ForgetWorker
{
    InstanceId id;
    WorkerLife life;
};

using WorkflowCommand = std::variant<PutConfig, AcceptWorkflow, AssignRuns, EndRuns, CancelWorkflow,
                                     SetEvacuation, AnnounceWorker, ForgetWorker>;

/** A command with its proposer and the time at which the leader made it. */
struct ProposedCommand
{
    std::uint64_t origin = 0;
    std::uint64_t number = 0;
    /** Never goes back between commands; only used to expire what has ended. */
    CellTime at;
    WorkflowCommand command;
};

std::string encodeCommand(const ProposedCommand &command);
Result<ProposedCommand> decodeProposedCommand(const std::string &bytes);

} // namespace gooseberry
