#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>
#include <cell/command.h>
#include <contract/contract.h>

namespace gooseberry {

/** The credentials of a request: a key, a request id, or both. */
struct Caller
{
    /** "id.secret", or empty without a key. */
    std::string credential;
    RequestId request;
};

struct SubmitRequest
{
    Caller caller;
    JobSpec spec;
};

struct SubmitReply
{
    JobId job;
};

/** A worker's announcement or heartbeat. */
struct WorkerReport
{
    InstanceId worker;
    std::string incarnation;
    /** The term and lease generation in the last reply that the worker received. */
    Term seenTerm;
    std::uint64_t seenGeneration = 0;
    /** Attempts that are running, or whose answer is not delivered yet. */
    std::vector<AttemptId> held;
};

/** The lease granted to a worker, and the attempts that it must stop. */
struct WorkerLease
{
    Term term;
    std::uint64_t generation = 0;
    std::chrono::milliseconds length{0};
    std::vector<AttemptId> stop;
};

/** The resource usage and entitlement of one team. */
struct TeamOverview
{
    TeamId team;
    Resources running;
    Limit limit;
    double dominantShare = 0.0;
    /** The customer's weight times the team's fraction of its customer's team weights. */
    double weight = 0.0;
};

} // namespace gooseberry
