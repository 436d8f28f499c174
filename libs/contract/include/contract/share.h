#pragma once

namespace gooseberry {

/**
 * The part of the cell that a team or customer is entitled to while the cell is full. Weights are
 * relative: a team gets its weight over the sum of the weights of all teams that want resources.
 */
struct Share
{
    double weight = 1.0;

    bool operator==(const Share &other) const = default;
};

} // namespace gooseberry
