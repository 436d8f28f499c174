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

/** What a caller asks, whatever front end it came through. */
struct CallerRequest
{
    CallerAction action = CallerAction::Read;
    std::string host;
    /** The queue's prefix, followed by the workflow's id. */
    std::string path;
    /** The caller's key; empty without one. */
    std::string key;
    /** For Submit, a WorkflowSpec as a record. */
    std::string spec;
};

enum class CallerOutcome : std::uint8_t {
    Accepted, ///< Stored; a resend gets the same answer.
    Phase,
    Cancelled, ///< Also when the workflow had ended before.
    QueueLength,
    NoConfiguration, ///< Not run.
    UnknownQueue, ///< Not run.
    UnknownKey, ///< Not run.
    UnknownWorkflow,
    Invalid, ///< Not run.
    Overloaded, ///< Not run; may succeed after a while.
    Unavailable, ///< Not run; no leader could be asked.
    Uncertain, ///< It may have run; only a resend tells.
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
};

/** What an operator orders. All orders may be resent. */
struct OperatorRequest
{
    OperatorAction action = OperatorAction::ReadConfig;
    RoutingConfig config;
    FailureDomainId domain;
};

struct OperatorReply
{
    bool done = false;
    /** For ReadConfig, the operator's own text. */
    std::string document;
};

/** What a worker says of itself. */
struct WorkerNotice
{
    bool leaving = false;
    /** The heartbeat's number is the record's announcement. */
    WorkerRecord worker;
    std::optional<WorkerTime> clock;
};

/** A worker that was heard and had nothing new to say. */
struct WorkerHeartbeat
{
    InstanceId id;
    WorkerLife life;
    std::optional<WorkerTime> clock;
};

struct WorkerNoticeReply
{
    bool taken = false;
    /** Where the worker's next reports take the shortest way; not set when it is not known. */
    std::optional<Address> nextReports;
};

} // namespace gooseberry
