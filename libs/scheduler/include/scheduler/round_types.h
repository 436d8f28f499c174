#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <policy/policy.h>

namespace gooseberry {

/** A decision to start one attempt on one instance. Its resources are reserved. */
struct StartDecision
{
    AttemptId attempt;
    InstanceId instance;
    TeamId team;
    Resources amount;
    PlacementChoice choice;
};

/** The decisions that are committed together; for a gang, all of its tasks. */
struct StartGroup
{
    JobId job;
    bool allOrNone = false;
    std::vector<StartDecision> starts;
};

/** What a round needs to know besides what waits and what is in use. */
struct RoundInput
{
    SteadyTime now;
    CellTime cellNow;
    const CellConfig *config = nullptr;
    std::set<FailureDomainId> domainsOut;
};

/**
 * Rules that a test switches off to prove that its checks notice. Nothing else sets them.
 */
struct RuleFaults
{
    bool ignoreInstanceSize = false;
    bool ignoreTeamLimit = false;
    bool ignoreDomainsOut = false;
    bool splitGangs = false;
    bool keepStartedTasks = false;
};

/** How a scheduler works; the defaults suit one decision thread and repeatable rounds. */
struct SchedulerSettings
{
    /** Threads that decide in a round, the caller's included. */
    unsigned decisionThreads = 1;
    /** Equal seeds and equal calls lead to equal decisions with one decision thread. */
    std::uint64_t seed = 1;
    CorrectionSettings correction;
    RuleFaults faults;
};

} // namespace gooseberry
