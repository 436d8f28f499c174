#pragma once

#include <vector>

#include <base/base.h>
#include <contract/queue.h>
#include <contract/share.h>
#include <contract/team.h>

namespace gooseberry {

/** A tenant of the cell with its teams and queues. */
struct Customer
{
    CustomerId id;
    Share share;
    std::vector<Team> teams;
    std::vector<Queue> queues;

    bool operator==(const Customer &other) const = default;
};

} // namespace gooseberry
