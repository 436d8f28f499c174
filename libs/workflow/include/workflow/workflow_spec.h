#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** The id of a workflow, chosen by the caller. A retried submission carries the same id. */
using WorkflowId = StrongId<struct WorkflowTag, std::string>;

/** A group of tasks of the same kind. */
struct StepSpec
{
    std::uint32_t count = 1;
    /** The resources of one task. */
    Resources size;
    /** The caller's rough estimate of one task's duration. */
    std::chrono::milliseconds estimate{0};
    /** Indexes of earlier steps that must be complete before this one starts. */
    std::vector<std::uint32_t> dependsOn;
    /** The tasks write checkpoints and can resume from them. */
    bool checkpointing = false;
    /** Gang scheduling: all tasks start together and make progress only while all of them run. */
    bool gang = false;
    /** The tasks run several times slower when they are on more than one rack. */
    bool rackSensitive = false;
    /** Several runs of one task may execute at the same time. */
    bool allowDuplicates = false;
    /** The tasks run until the workflow is cancelled and are restarted however they end. */
    bool longRunning = false;
    /** The tasks use idle processor time and are not counted against a worker's processors. */
    bool fillsIdleCpu = false;
    /** A label that the worker must have; empty means any worker. */
    std::string requiredLabel;
    /** Rack of the input data; tasks run several times slower elsewhere. Empty means none. */
    std::string dataRack;
    /** Tasks of the same image are expected to behave alike. */
    std::string image;
    /** The most tasks of this step on one worker; 0 means no limit. */
    std::uint32_t maxPerWorker = 0;
    /** Tail latency target for the responses of a serving task; 0 means no target. */
    std::chrono::milliseconds responseTarget{0};
    /** How many long-running tasks may be down at a time because of planned maintenance. */
    std::uint32_t maxUnavailable = 0;

    bool operator==(const StepSpec &other) const = default;
};

/** Recurrence of a workflow. Occurrence k is due at first + k * interval. */
struct Timetable
{
    std::uint32_t occurrences = 0;
    std::chrono::milliseconds first{0};
    std::chrono::milliseconds interval{0};

    bool operator==(const Timetable &other) const = default;
};

/** A workflow as submitted by a caller. */
struct WorkflowSpec
{
    /** Passed to every task unchanged. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** Without occurrences the steps run once, immediately. Times count from the Unix epoch. */
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

/** Numbers the runs of one task; all members of a gang run share the number. */
using RunNumber = StrongId<struct RunTag, std::uint32_t>;

/** Returns the key as "workflow/occurrence/step/index", for logs. */
std::string toString(const TaskKey &task);

/** Returns Done if the workflow is valid, or an error that says what is wrong. */
Status checkSpec(const WorkflowSpec &spec);

/** Returns the number of occurrences, which is one without a timetable. */
std::uint32_t occurrenceCount(const WorkflowSpec &spec);

/** Returns the length of the critical path through the steps, by their estimates. */
std::chrono::milliseconds criticalPathLength(const WorkflowSpec &spec);

} // namespace gooseberry
