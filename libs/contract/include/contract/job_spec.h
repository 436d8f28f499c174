#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <base/base.h>

namespace gooseberry {

/** How the tasks of a job are placed. */
enum class JobClass {
    Service, ///< Long-running; spread over racks and failure domains; lost tasks are replaced.
    Batch, ///< Runs to completion; packed onto few instances.
    Gang, ///< All tasks start at once or none does.
    Urgent, ///< Short; starts before jobs of all other classes.
};

std::string toString(JobClass jobClass);
Result<JobClass> parseJobClass(const std::string &text);

/** The specification of a job, as submitted. */
struct JobSpec
{
    QueueId queue;
    JobClass jobClass = JobClass::Batch;
    std::uint32_t taskCount = 1;
    Resources perTask;
    /** The run time that the caller expects of one task; often inaccurate. */
    std::chrono::milliseconds expectedRunTime{0};
    /** Whether a task may run again after a failure or an attempt whose outcome is unknown. */
    bool repeatable = true;
    /** The number of failed attempts after which a repeatable task fails. */
    std::uint32_t maxAttempts = 3;
    /** Jobs with the same template are expected to behave similarly. */
    std::string jobTemplate;
    /** The upstream service that must run the tasks; empty for any worker. */
    std::string service;
    /** Passed to the worker unchanged. */
    std::string payload;

    bool operator==(const JobSpec &other) const = default;
};

/** The largest number of tasks in one job. */
constexpr std::uint32_t maxTasksPerJob = 10'000;
/** The largest payload of one job. */
constexpr Bytes maxPayload(1024LL * 1024);

/**
 * Checks amounts and sizes: no negative amount and at least one above zero, one to maxTasksPerJob
 * tasks, a total that does not overflow, a run time that is not negative, at least one attempt, and
 * a payload up to maxPayload. Errors name the invalid field.
 */
Status checkJobSpec(const JobSpec &spec);

} // namespace gooseberry
