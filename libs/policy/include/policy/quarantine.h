#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include <base/base.h>
#include <policy/reason.h>

namespace gooseberry {

/** Thresholds that attribute failures to an instance or to a job, and the resulting delays. */
struct QuarantineSettings
{
    /** Different jobs that must fail on an instance, without a success, to quarantine it. */
    std::size_t minFailedJobs = 3;
    /** Different instances on which a job must fail, without a success, to back off. */
    std::size_t minFailedInstances = 3;
    /** Older failures are not counted. */
    std::chrono::milliseconds window{std::chrono::minutes(10)};
    std::chrono::milliseconds initialQuarantine{std::chrono::seconds(30)};
    std::chrono::milliseconds maxQuarantine{std::chrono::minutes(30)};
    std::chrono::milliseconds initialJobBackOff{std::chrono::seconds(10)};
    /** After this many back-offs a job is parked: its tasks wait until it is submitted again. */
    std::uint32_t maxJobBackOffs = 4;
};

/** Failure record of an instance since its last success. */
struct InstanceHealth
{
    /** Time of the latest failure of each job. */
    std::map<JobId, SteadyTime> failures;
    /** Quarantines since the last success; each one doubles the duration of the next. */
    std::uint32_t consecutiveQuarantines = 0;
    std::optional<SteadyTime> quarantinedUntil;
};

/** Failure record of a job since its last success. */
struct JobHealth
{
    /** Time of the latest failure on each instance. */
    std::map<InstanceId, SteadyTime> failures;
    std::uint32_t backOffs = 0;
    bool parked = false;
};

/** The consequences of a failed attempt. The caller stores the updated health records. */
struct FaultDecision
{
    /** Set when the instance gets no new tasks until this time. */
    std::optional<SteadyTime> quarantineUntil;
    /** Set when the job's tasks wait until this time. */
    std::optional<SteadyTime> jobBackOffUntil;
    bool jobParked = false;
    Reason reason = Reason::Accepted;
};

/**
 * Records a failed attempt and attributes it to the job or to the instance. A job that failed on
 * several instances is at fault itself, and from then on its failures don't count against
 * instances. An instance on which several other jobs failed is at fault. After a quarantine, one
 * failure before the first success leads to the next one, which lasts twice as long.
 */
FaultDecision recordFailure(InstanceHealth &instance, JobHealth &job, const JobId &jobId,
                            const InstanceId &instanceId, SteadyTime now,
                            const QuarantineSettings &settings);

/** Clears both failure records, since the success shows that instance and job can work. */
void recordSuccess(InstanceHealth &instance, JobHealth &job);

/** Removes the failures on a faulty instance from the job's record. */
void removeInstanceFailures(JobHealth &job, const InstanceId &instance);

bool isQuarantined(const InstanceHealth &instance, SteadyTime now);

} // namespace gooseberry
