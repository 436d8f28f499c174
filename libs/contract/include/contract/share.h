#pragma once

namespace gooseberry {

/**
 * The fraction of the cell that a team or customer is entitled to while the cell is full. Weights
 * are relative: a team gets its weight divided by the sum of the weights of all teams with demand.
 */
struct Share
{
    double weight = 1.0;

    bool operator==(const Share &other) const = default;
};

} // namespace gooseberry
