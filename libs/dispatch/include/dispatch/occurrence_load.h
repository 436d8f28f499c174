#pragma once

#include <cstddef>

namespace gooseberry {

/** The occurrences of workflows with a timetable that have begun and not ended. */
struct OccurrenceLoad
{
    std::size_t occurrences = 0;
    /** All tasks of these occurrences. */
    std::size_t tasks = 0;
    /** Occurrences among them with tasks that wait for a worker. */
    std::size_t waiting = 0;
};

/**
 * Returns whether another occurrence of the workflow that is due may begin. A workflow may always
 * have one, so that each makes progress. Beyond that, the memory of live occurrences and the time
 * of placement passes are bounded, for each workflow and for all: callers may submit any number of
 * overdue occurrences at once. The others begin in order as earlier ones are placed and end.
 */
bool mayBeginOccurrence(const OccurrenceLoad &ofWorkflow, const OccurrenceLoad &ofAll,
                        std::size_t tasks);

} // namespace gooseberry
