#pragma once

#include <vector>

#include <base/base.h>
#include <contract/limit.h>
#include <contract/share.h>

namespace gooseberry {

/** The unit that submits work. Its keys, share and limit belong to it alone. */
struct Team
{
    TeamId id;
    CustomerId customer;
    Share share;
    Limit limit;
    /** The keys that the team should have; their hashes are granted separately. */
    std::vector<KeyId> keys;
    /**
     * What operators have promised the team while the cell is full. It takes effect through the
     * share; planChange() warns when the promises of all teams exceed the cell.
     */
    Resources guaranteed{};

    bool operator==(const Team &other) const = default;
};

} // namespace gooseberry
