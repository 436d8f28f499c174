#include <workflow/occurrence_set.h>

#include <iterator>

namespace gooseberry {

std::uint32_t OccurrenceSet::firstMissing(std::uint32_t from) const
{
    const auto after = this->ranges.upper_bound(from);
    if (after == this->ranges.begin()) {
        return from;
    }
    const auto range = std::prev(after);
    return from < range->second ? range->second : from;
}

bool OccurrenceSet::contains(std::uint32_t number) const
{
    return this->firstMissing(number) != number;
}

void OccurrenceSet::insert(std::uint32_t number)
{
    if (this->contains(number)) {
        return;
    }
    std::uint32_t end = number + 1;
    const auto following = this->ranges.find(end);
    if (following != this->ranges.end()) {
        end = following->second;
        this->ranges.erase(following);
    }
    const auto after = this->ranges.upper_bound(number);
    if (after != this->ranges.begin() && std::prev(after)->second == number) {
        std::prev(after)->second = end;
    } else {
        this->ranges.emplace(number, end);
    }
}

} // namespace gooseberry
