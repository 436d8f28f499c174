#include <policy/placement_retry.h>

namespace gooseberry {

namespace {

/** Interval of the searches of a step while workers that it may use gain room. */
constexpr std::chrono::milliseconds searchInterval{50};
/** Interval of the searches of a step while nothing has changed on its workers. */
constexpr std::chrono::milliseconds idleSearchInterval{400};

} // namespace

bool mayFindRoom(const std::optional<RoomVersion> &lastFailure, RoomVersion newestGain)
{
    return !lastFailure || newestGain > *lastFailure;
}

bool maySearchCandidates(const std::optional<CandidateSearch> &last, RoomVersion newestGain,
                         SteadyTime now)
{
    if (!last) {
        return true;
    }
    return now - last->at >= (newestGain > last->room ? searchInterval : idleSearchInterval);
}

} // namespace gooseberry
