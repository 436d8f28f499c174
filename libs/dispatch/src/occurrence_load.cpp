#include <dispatch/occurrence_load.h>

namespace gooseberry {

namespace {

/** The same bound as for the tasks of a workflow without a timetable. */
constexpr std::size_t maxTasksOfWorkflow = 20'000;
/** Estimated at 1.2 kB a task with the replicated state, some 50 MB of a keeper's 256 MB. */
constexpr std::size_t maxTasksOfAll = 40'000;
/** Waiting steps are what a placement pass takes time for. */
constexpr std::size_t maxWaitingOfWorkflow = 16;
constexpr std::size_t maxWaitingOfAll = 1024;

} // namespace

bool mayBeginOccurrence(const OccurrenceLoad &ofWorkflow, const OccurrenceLoad &ofAll,
                        std::size_t tasks)
{
    if (ofWorkflow.occurrences == 0) {
        return true;
    }
    return ofWorkflow.waiting < maxWaitingOfWorkflow && ofAll.waiting < maxWaitingOfAll
        && ofWorkflow.tasks + tasks <= maxTasksOfWorkflow && ofAll.tasks + tasks <= maxTasksOfAll;
}

} // namespace gooseberry
