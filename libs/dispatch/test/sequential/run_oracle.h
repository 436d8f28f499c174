#pragma once

// What the workers of a simulated cell have really done with each task, whatever their leader
// believes, and the two ways in which a task may wrongly run twice.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <workflow/workflow.h>

namespace gooseberry {

/** One process of a worker; a restart under the same id is another one. */
struct WorkerProcess
{
    std::size_t machine = 0;
    int number = 0;

    friend auto operator<=>(const WorkerProcess &, const WorkerProcess &) = default;
};

/** Records what workers do, and reports each task that runs twice. */
class RunOracle
{
public:
    /**
     * A violation if another run of the task executes, or if it has an acknowledged end as done.
     * The order may have been sent to an earlier process on the machine.
     */
    void started(const WorkerProcess &process, const TaskKey &task, RunNumber run,
                 bool sentToEarlierProcess);
    void ended(const WorkerProcess &process, const TaskKey &task);
    /** The run has ended as done; the process reports this under the number. */
    void endedAsDone(const WorkerProcess &process, const TaskKey &task, RunNumber run,
                     std::uint64_t number);
    /**
     * The process forgets its ends up to the number. A violation if such a task was started again
     * after its end: the end counts, unless the lease expired before it was acknowledged. The order
     * may have been sent to an earlier process on the machine.
     */
    void acknowledged(const WorkerProcess &process, std::uint64_t number,
                      bool sentToEarlierProcess);
    /** Ends of this process that are not acknowledged yet don't count any more. */
    void leaseExpired(const WorkerProcess &process);
    /** The process has crashed or left, and with it all that it ran. */
    void processEnded(const WorkerProcess &process);

    /** Two runs of a task at the same time. */
    std::vector<std::string> concurrentRuns;
    /** Runs that began after an end as done that was acknowledged then or later. */
    std::vector<std::string> startsAfterDone;
    /**
     * The same if the start or the acknowledgement was sent to an earlier process, which no order
     * can prevent (KNOWN-RED.txt, 2 and 17).
     */
    std::vector<std::string> delayedOrders;

private:
    struct DoneEnd
    {
        TaskKey task;
        RunNumber run;
        bool acknowledged = false;
        bool acknowledgedByDelayedOrder = false;
        /** The first start of the task after this end, preferably one sent to its process. */
        std::optional<std::string> laterStart;
        bool laterStartWasDelayed = false;
    };

    std::map<TaskKey, std::map<WorkerProcess, RunNumber>> running;
    /** By the process and the number under which it reports the end. */
    std::map<WorkerProcess, std::map<std::uint64_t, DoneEnd>> doneEnds;
};

/** Returns a readable name for a violation. */
std::string toString(const WorkerProcess &process);

} // namespace gooseberry
