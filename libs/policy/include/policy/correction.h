#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <policy/reason.h>
#include <policy/running_task.h>

namespace gooseberry {

/** Run time and peak usage of one finished attempt. */
struct RunSample
{
    std::chrono::milliseconds runTime{0};
    /** The highest reported usage in each dimension; zero without a report. */
    Resources peakUsage;
};

/** The latest samples of one job template, oldest first. */
struct TemplateHistory
{
    std::deque<RunSample> samples;
};

/** Settings of run-time estimates and of usage correction. */
struct CorrectionSettings
{
    /** Number of samples kept for each template. */
    std::size_t window = 64;
    /** With fewer samples there is no estimate, and the declared values are used. */
    std::size_t minSamples = 5;
    /** A high percentile covers most runs and, unlike the maximum, ignores single outliers. */
    double percentile = 0.95;
    /**
     * Factor applied to the declared run time while there is no estimate. Declared run times are
     * off by factors of 2 to 10; the worst case is assumed.
     */
    int declaredRunTimeFactor = 10;
    /** Fraction of an instance's processors above which tasks are throttled. */
    double throttleThreshold = 0.95;
    /** Fraction of an instance's memory above which tasks are stopped; it can't be throttled. */
    double stopThreshold = 0.95;
};

/** The expected run time and usage of a template's next attempt. */
struct TemplateEstimate
{
    std::chrono::milliseconds runTime{0};
    Resources usage;
    /** Number of samples behind the estimate. */
    std::size_t samples = 0;
};

/** Adds a sample and removes the oldest ones that exceed the window. */
void addSample(TemplateHistory &history, const RunSample &sample,
               const CorrectionSettings &settings);

/** Returns the estimate, or nothing with fewer than minSamples samples. */
std::optional<TemplateEstimate> estimateOf(const TemplateHistory &history,
                                           const CorrectionSettings &settings);

/**
 * Returns the run time to schedule with: the estimate if there is one, otherwise the declared run
 * time multiplied by declaredRunTimeFactor. Returns nothing for services and for jobs without a
 * usable declaration.
 */
std::optional<std::chrono::milliseconds>
correctedRunTime(const JobSpec &spec, const std::optional<TemplateEstimate> &estimate,
                 const CorrectionSettings &settings);

/** A running task with its latest reported usage. */
struct TaskUsage
{
    RunningTask task;
    Resources actual;
};

enum class CorrectiveAction {
    Throttle, ///< Cut processor time down to the declared size.
    Stop, ///< End the attempt (with a checkpoint if possible) and place it again later.
};

/** A task to throttle or stop before its instance exceeds its capacity. The caller does so. */
struct CorrectionDecision
{
    AttemptId attempt;
    InstanceId instance;
    CorrectiveAction action = CorrectiveAction::Throttle;
    Dimension dimension = Dimension::Cpu;
    Reason reason = Reason::UsageAboveSize;
};

/**
 * Chooses the tasks to throttle or stop so that actual usage stays below the instance's capacity.
 * Only tasks that exceed their declared size are chosen, largest excess first. Among the tasks to
 * stop, checkpointable ones come first and those that must not be repeated last.
 */
std::vector<CorrectionDecision> correctUsage(const Resources &capacity,
                                             std::vector<TaskUsage> tasks,
                                             const CorrectionSettings &settings);

} // namespace gooseberry
