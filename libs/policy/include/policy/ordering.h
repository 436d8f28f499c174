#pragma once

#include <vector>

#include <base/base.h>
#include <contract/contract.h>

namespace gooseberry {

/** What ordering needs to know of one waiting job. */
struct WaitingJob
{
    JobId id;
    JobClass jobClass = JobClass::Batch;
    TeamId team;
    CellTime submittedAt;
};

/** What ordering needs to know of a team. */
struct TeamStanding
{
    TeamId team;
    Share share;
    /** The team's dominant share of the cell, running and reserved together. */
    double dominantShare = 0.0;
};

/**
 * Returns the waiting jobs in the order in which they should be offered room: urgent work first,
 * then the teams that have least for their weight, then the oldest.
 */
std::vector<WaitingJob> orderJobs(std::vector<WaitingJob> jobs,
                                  const std::vector<TeamStanding> &teams);

} // namespace gooseberry
