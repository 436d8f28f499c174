#pragma once

#include <vector>

#include <base/base.h>

namespace gooseberry {

/**
 * Room that is kept for a job whose tasks must all start at once. It ends, so two such jobs never
 * wait for each other.
 */
struct Reservation
{
    JobId job;
    std::vector<InstanceId> instances;
    SteadyTime end;
};

} // namespace gooseberry
