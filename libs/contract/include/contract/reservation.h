#pragma once

#include <vector>

#include <base/base.h>

namespace gooseberry {

/**
 * Instances whose free capacity is reserved for a job whose tasks must all start at once. It
 * expires, so that two such jobs can't block each other forever.
 */
struct Reservation
{
    JobId job;
    std::vector<InstanceId> instances;
    SteadyTime end;
};

} // namespace gooseberry
