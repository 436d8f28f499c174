#pragma once

#include <cstdint>
#include <optional>

#include <base/base.h>

namespace gooseberry {

/**
 * Counts the events by which workers of an upstream gain room: a run's end, a new worker, a worker
 * that may be used again. Each event gets the next number; the first is 1.
 */
using RoomVersion = std::uint64_t;

/**
 * Returns whether another attempt to place a step can succeed. LastFailure is the newest event at
 * the step's last attempt that found too little room, if nothing but room has changed for the step
 * since; newestGain is the newest event among the workers that the step may use. It answers a
 * backlog: with a thousand steps that wait for room, an attempt for each of them in every pass
 * takes more processor time than the leader has.
 */
bool mayFindRoom(const std::optional<RoomVersion> &lastFailure, RoomVersion newestGain);

/** The last search for further workers that the adviser could be asked about. */
struct CandidateSearch
{
    SteadyTime at;
    /** The newest event of room at that time. */
    RoomVersion room = 0;
};

/**
 * Returns whether a step whose last search found no worker to ask about searches again. Room on a
 * worker that the step may use can make a renewal of its ticket useful, so this is noticed soon;
 * other causes, such as new workers, later. It answers the same backlog as mayFindRoom().
 */
bool maySearchCandidates(const std::optional<CandidateSearch> &last, RoomVersion newestGain,
                         SteadyTime now);

} // namespace gooseberry
