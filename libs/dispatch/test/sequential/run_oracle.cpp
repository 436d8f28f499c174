#include "run_oracle.h"

namespace gooseberry {

std::string toString(const WorkerProcess &process)
{
    return "machine " + std::to_string(process.machine) + " process "
        + std::to_string(process.number);
}

void RunOracle::started(const WorkerProcess &process, const TaskKey &task, RunNumber run,
                        bool sentToEarlierProcess)
{
    const std::string start
        = toString(task) + " run " + std::to_string(run.value) + " on " + toString(process);
    for (const auto &[other, otherRun] : this->running[task]) {
        this->concurrentRuns.push_back(start + " beside run " + std::to_string(otherRun.value)
                                       + " on " + toString(other));
    }
    this->running[task][process] = run;
    for (auto &[other, ends] : this->doneEnds) {
        for (auto &[number, end] : ends) {
            if (end.task != task) {
                continue;
            }
            const std::string violation
                = start + " after run " + std::to_string(end.run.value) + " was done";
            if (end.acknowledged) {
                const bool delayed = sentToEarlierProcess || end.acknowledgedByDelayedOrder;
                (delayed ? this->delayedOrders : this->startsAfterDone).push_back(violation);
            } else if (!end.laterStart || (end.laterStartWasDelayed && !sentToEarlierProcess)) {
                end.laterStart = violation;
                end.laterStartWasDelayed = sentToEarlierProcess;
            }
        }
    }
}

void RunOracle::ended(const WorkerProcess &process, const TaskKey &task)
{
    this->running[task].erase(process);
}

void RunOracle::endedAsDone(const WorkerProcess &process, const TaskKey &task, RunNumber run,
                            std::uint64_t number)
{
    this->ended(process, task);
    this->doneEnds[process].emplace(number,
                                    DoneEnd{.task = task,
                                            .run = run,
                                            .acknowledged = false,
                                            .acknowledgedByDelayedOrder = false,
                                            .laterStart = {},
                                            .laterStartWasDelayed = false});
}

void RunOracle::acknowledged(const WorkerProcess &process, std::uint64_t number,
                             bool sentToEarlierProcess)
{
    for (auto &[endNumber, end] : this->doneEnds[process]) {
        if (endNumber > number || end.acknowledged) {
            continue;
        }
        end.acknowledged = true;
        end.acknowledgedByDelayedOrder = sentToEarlierProcess;
        if (end.laterStart) {
            const bool delayed = sentToEarlierProcess || end.laterStartWasDelayed;
            (delayed ? this->delayedOrders : this->startsAfterDone).push_back(*end.laterStart);
        }
    }
}

void RunOracle::leaseExpired(const WorkerProcess &process)
{
    std::erase_if(this->doneEnds[process],
                  [](const auto &entry) { return !entry.second.acknowledged; });
}

void RunOracle::processEnded(const WorkerProcess &process)
{
    this->leaseExpired(process);
    for (auto &[task, processes] : this->running) {
        processes.erase(process);
    }
}

} // namespace gooseberry
