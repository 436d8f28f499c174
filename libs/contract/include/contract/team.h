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

    bool operator==(const Team &other) const = default;
};

} // namespace gooseberry
