#pragma once

#include <vector>

#include <base/base.h>
#include <contract/limit.h>
#include <contract/share.h>

namespace gooseberry {

/** The unit that submits jobs, with its own keys, share and limit. */
struct Team
{
    TeamId id;
    CustomerId customer;
    Share share;
    Limit limit;
    /** The ids of the team's declared keys; their hashes are granted separately. */
    std::vector<KeyId> keys;
    /**
     * The resources that operators guarantee the team while the cell is full. It has no effect of
     * its own, since the share decides; planChange() warns if the share does not cover it or if the
     * guarantees of all teams exceed the cell.
     */
    Resources guaranteed{};

    bool operator==(const Team &other) const = default;
};

} // namespace gooseberry
