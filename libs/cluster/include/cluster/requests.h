#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <base/base.h>
#include <dispatch/dispatch.h>
#include <workflow/workflow.h>

namespace gooseberry {

enum class CallerAction : std::uint8_t {
    Submit,
    Read, ///< A workflow's phase, or a queue's length when the path names no workflow.
    Cancel,
};

/** A caller's request, independent of the front end that received it. */
struct CallerRequest
{
    CallerAction action = CallerAction::Read;
    std::string host;
    /** The queue's prefix, followed by the workflow's id. */
    std::string path;
    /** The caller's API key; empty if there is none. */
    std::string key;
    /** For Submit, an encoded WorkflowSpec. */
    std::string spec;
    /** Returns whether the caller has gone. Stays on the node that got the request; may be empty.
     */
    std::function<bool()> senderLeft = {};
};

enum class CallerOutcome : std::uint8_t {
    Accepted, ///< Committed; a retry gets the same reply.
    Phase,
    Cancelled, ///< Also if the workflow had ended before.
    QueueLength,
    NoConfiguration, ///< Not run.
    UnknownQueue, ///< Not run.
    UnknownKey, ///< Not run.
    UnknownWorkflow,
    Invalid, ///< Not run.
    Overloaded, ///< Not run; may succeed after a while.
    Unavailable, ///< Not run; no leader was reachable.
    OutcomeUnknown, ///< It may have run; a retry is safe and gives the outcome.
};

struct CallerReply
{
    CallerOutcome outcome = CallerOutcome::Unavailable;
    WorkflowPhase phase = WorkflowPhase::Queued;
    std::uint64_t queued = 0;
    std::chrono::milliseconds retryAfter{0};
    std::string message;
};

enum class OperatorAction : std::uint8_t {
    PutConfig,
    ReadConfig,
    Evacuate,
    EndEvacuation,
    ReadEvacuation, ///< The revision of a failure domain's evacuation.
};

/** A request of an operator. All of them are idempotent. */
struct OperatorRequest
{
    OperatorAction action = OperatorAction::ReadConfig;
    RoutingConfig config;
    FailureDomainId domain;
    /** For Evacuate and EndEvacuation: takes effect only if no later order changed the revision. */
    std::uint64_t expectedRevision = 0;
    /** Returns whether the sender has gone. Stays on the node that got the request; may be empty.
     */
    std::function<bool()> senderLeft = {};
};

struct OperatorReply
{
    bool done = false;
    /** For ReadConfig, the operator's original text; for a refused request, the reason. */
    std::string document;
    /** For ReadEvacuation. */
    std::uint64_t revision = 0;
};

/** A heartbeat or departure notice of a worker. */
struct WorkerStatusReport
{
    /** Set if the worker leaves the cell. */
    bool leaving = false;
    /** Its announcement is the heartbeat's sequence number. */
    WorkerRecord worker;
    std::optional<WorkerTime> clock;
};

/** A heartbeat that did not change the worker's record. */
struct WorkerHeartbeat
{
    InstanceId id;
    WorkerIncarnation incarnation;
    std::optional<WorkerTime> clock;
};

struct WorkerStatusReply
{
    bool accepted = false;
    /** The preferred address for the worker's next heartbeats, if it is known. */
    std::optional<Address> reportAddress;
};

} // namespace gooseberry
