#pragma once

#include <base/base.h>

namespace gooseberry {

/** The most that a team may have running across the fleet at any time, full or not. */
struct Limit
{
    Resources maximum;

    bool operator==(const Limit &other) const = default;
};

} // namespace gooseberry
