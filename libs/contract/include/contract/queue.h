#pragma once

#include <cstdint>
#include <set>

#include <base/base.h>
#include <contract/job_spec.h>

namespace gooseberry {

/**
 * A queue of jobs. Jobs are accepted only with a key of the team that owns the queue, unless the
 * queue is open to all; in both cases they count against the limit of the owning team.
 */
struct Queue
{
    QueueId id;
    TeamId team;
    bool openToAll = false;
    std::set<JobClass> classes;
    /** The maximum number of waiting tasks; further submissions are refused. */
    std::uint32_t maxPendingTasks = 0;

    bool operator==(const Queue &other) const = default;
};

} // namespace gooseberry
