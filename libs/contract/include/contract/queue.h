#pragma once

#include <cstdint>
#include <set>

#include <base/base.h>
#include <contract/job_spec.h>

namespace gooseberry {

/**
 * Where jobs wait. Work on a queue is accepted only with a key of the team that owns it, unless
 * the queue is open to all; then the work counts against the owning team.
 */
struct Queue
{
    QueueId id;
    TeamId team;
    bool openToAll = false;
    std::set<JobClass> classes;
    /** The most tasks that may wait; further submissions are refused. */
    std::uint32_t maxPendingTasks = 0;

    bool operator==(const Queue &other) const = default;
};

} // namespace gooseberry
