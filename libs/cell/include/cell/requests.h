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

/** Who asks for a job: a key, a request id, or both. */
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
    /** The term and lease generation of the last reply that the worker got. */
    Term seenTerm;
    std::uint64_t seenGeneration = 0;
    /** Attempts that run, or that ended with an answer that is not delivered yet. */
    std::vector<AttemptId> held;
};

/** The lease that a worker gets, and what it must end. */
struct WorkerLease
{
    Term term;
    std::uint64_t generation = 0;
    std::chrono::milliseconds length{0};
    std::vector<AttemptId> stop;
};

/** One line of the overview of teams. */
struct TeamOverview
{
    TeamId team;
    Resources running;
    Limit limit;
    double dominantShare = 0.0;
    /** The customer's weight times the team's part of its customer's weights. */
    double weight = 0.0;
};

} // namespace gooseberry
