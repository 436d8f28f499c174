#pragma once

#include <base/base.h>

namespace gooseberry {

/** The most resources that a team may use across the fleet, whether or not the fleet is full. */
struct Limit
{
    Resources maximum;

    bool operator==(const Limit &other) const = default;
};

} // namespace gooseberry
