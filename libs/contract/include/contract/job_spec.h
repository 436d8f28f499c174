#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <base/base.h>

namespace gooseberry {

/** How a job wants to be placed. */
enum class JobClass {
    Service, ///< Long-lived; spread over racks and failure domains and kept at full strength.
    Batch, ///< Runs to its end; packed.
    Gang, ///< All tasks at once or none.
    Urgent, ///< Short; starts before everything else.
};

std::string toString(JobClass jobClass);
Result<JobClass> parseJobClass(const std::string &text);

/** What a caller asks to run. */
struct JobSpec
{
    QueueId queue;
    JobClass jobClass = JobClass::Batch;
    std::uint32_t taskCount = 1;
    Resources perTask;
    /** The run time that the caller expects of one task; often far off. */
    std::chrono::milliseconds expectedRunTime{0};
    /** Whether a task whose fate is unknown may be run again. */
    bool repeatable = true;
    /** How often a repeatable task may be tried before the job fails. */
    std::uint32_t maxAttempts = 3;
    /** Jobs with the same template are expected to behave alike. */
    std::string jobTemplate;
    /** The upstream service that must run the tasks; empty for any worker. */
    std::string service;
    /** Handed to the worker as it is. */
    std::string payload;

    bool operator==(const JobSpec &other) const = default;
};

/** The largest number of tasks in one job. */
constexpr std::uint32_t maxTasksPerJob = 10'000;
/** The largest payload of one job. */
constexpr Bytes maxPayload(1024LL * 1024);

/**
 * Checks quantities and sizes: every dimension zero or more, at least one above zero, one to
 * maxTasksPerJob tasks, a total that does not overflow. Names the offending field.
 */
Status checkJobSpec(const JobSpec &spec);

} // namespace gooseberry
