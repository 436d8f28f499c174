#pragma once

#include <cstdint>
#include <map>

namespace gooseberry {

/**
 * A set of occurrence numbers of one workflow, stored as ranges. Occurrences end roughly in order,
 * so a set of a million numbers takes a few ranges.
 */
class OccurrenceSet
{
public:
    void insert(std::uint32_t number);
    bool contains(std::uint32_t number) const;
    /** Returns the lowest number from the given one on that is not in the set. */
    std::uint32_t firstMissing(std::uint32_t from) const;

    bool operator==(const OccurrenceSet &other) const = default;

    /** The first number of each range, and the number after its last one. */
    std::map<std::uint32_t, std::uint32_t> ranges;
};

} // namespace gooseberry
