#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** The id that a caller chose for a workflow. A resend carries the same one. */
using WorkflowId = StrongId<struct WorkflowTag, std::string>;

/** A number of tasks that do the same kind of work. */
struct StepSpec
{
    std::uint32_t count = 1;
    /** What one task needs. */
    Resources size;
    /** The caller's rough estimate of one task's duration. */
    std::chrono::milliseconds estimate{0};
    /** Earlier steps whose tasks must all be done first. */
    std::vector<std::uint32_t> dependsOn;
    /** The tasks save their progress and can resume from it. */
    bool checkpointing = false;
    /** All tasks start together and work only while all of them run. */
    bool gang = false;
    /** The tasks run several times slower when they are on more than one rack. */
    bool rackSensitive = false;
    /** Copies of a task may run side by side. */
    bool allowDuplicates = false;
    /** The tasks run until the workflow is cancelled and are restarted however they end. */
    bool longRunning = false;
    /** The tasks use what others leave unused and count against no worker's processors. */
    bool fillsIdleCpu = false;
    /** A label that the worker must have; empty means any worker. */
    std::string requiredLabel;
    /** Elsewhere than on this rack the tasks run several times slower; empty means anywhere. */
    std::string dataRack;
    /** Tasks of the same image behave alike. */
    std::string image;
    /** The most tasks of this step on one worker; 0 means no bound. */
    std::uint32_t maxPerWorker = 0;
    /** How slow the tail of a serving task's own responses may be; 0 means no target. */
    std::chrono::milliseconds responseTarget{0};
    /** How many long-running tasks may be away at a time because of a planned action. */
    std::uint32_t maxUnavailable = 0;

    bool operator==(const StepSpec &other) const = default;
};

/** Times at which the steps run again. Occurrence k is due at first + k * interval. */
struct Timetable
{
    std::uint32_t occurrences = 0;
    std::chrono::milliseconds first{0};
    std::chrono::milliseconds interval{0};

    bool operator==(const Timetable &other) const = default;
};

/** What a caller wants done. */
struct WorkflowSpec
{
    /** Passed to every task unchanged. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** Without occurrences, the steps run once, at once. Times count from 1970. */
    Timetable timetable;

    bool operator==(const WorkflowSpec &other) const = default;
};

/** One task of one occurrence of a workflow. */
struct TaskKey
{
    WorkflowId workflow;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskKey &other) const = default;
};

/** Numbers the starts of one task; the members of a gang share the number. */
using RunNumber = StrongId<struct RunTag, std::uint32_t>;

/** Returns "workflow/occurrence/step/index" for logs. */
std::string toString(const TaskKey &task);

/** Returns why no cell could run the workflow, or Done. */
Status checkSpec(const WorkflowSpec &spec);

/** Returns how many occurrences there are; one without a timetable. */
std::uint32_t occurrenceCount(const WorkflowSpec &spec);

/** Returns the longest chain of estimates through the steps. */
std::chrono::milliseconds longestChain(const WorkflowSpec &spec);

} // namespace gooseberry
