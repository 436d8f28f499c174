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

/** What one finished attempt of a template took. */
struct RunSample
{
    std::chrono::milliseconds runTime{0};
    /** The most that the reports showed in each dimension; zero without a report. */
    Resources peakUsage;
};

/** The latest samples of one job template, oldest first. */
struct TemplateHistory
{
    std::deque<RunSample> samples;
};

/** How much history is kept and how it is read. */
struct CorrectionSettings
{
    std::size_t window = 64;
    /** Fewer samples say nothing; the declared values stand. */
    std::size_t minSamples = 5;
    /** A high percentile is robust against single outliers and still covers most runs. */
    double percentile = 0.95;
    /** Declared run times are off by factors of 2 to 10; until samples exist, 10 is assumed. */
    int declaredRunTimeFactor = 10;
    /** Fraction of an instance's size from which tasks are throttled (processors). */
    double throttleThreshold = 0.95;
    /** Fraction of an instance's size from which tasks are stopped (memory can't be throttled). */
    double stopThreshold = 0.95;
};

/** What to expect of a template's next attempt. */
struct TemplateEstimate
{
    std::chrono::milliseconds runTime{0};
    Resources usage;
    std::size_t samples = 0;
};

/** Adds a sample and drops the oldest beyond the window. */
void addSample(TemplateHistory &history, const RunSample &sample,
               const CorrectionSettings &settings);

/** Returns the estimate, or nothing with too few samples. */
std::optional<TemplateEstimate> estimateOf(const TemplateHistory &history,
                                           const CorrectionSettings &settings);

/**
 * Returns the run time to plan with: the learned one, or the declared one times the factor by
 * which declarations are off. Nothing for services and for jobs that declare none.
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

/** A task that must be held back before its instance is over its size. The caller tells it. */
struct CorrectionDecision
{
    AttemptId attempt;
    InstanceId instance;
    CorrectiveAction action = CorrectiveAction::Throttle;
    Dimension dimension = Dimension::Cpu;
    Reason reason = Reason::UsageAboveSize;
};

/**
 * Names the tasks to hold back so that actual usage stays below the instance's size. Only tasks
 * above their own declared size are named, those that are furthest above it first; a task that must
 * not be repeated is stopped only when nothing else helps.
 */
std::vector<CorrectionDecision> correctUsage(const Resources &capacity,
                                             std::vector<TaskUsage> tasks,
                                             const CorrectionSettings &settings);

} // namespace gooseberry
