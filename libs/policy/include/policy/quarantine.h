#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include <base/base.h>
#include <policy/reason.h>

namespace gooseberry {

/** When an instance or a job counts as the cause of its failures. */
struct QuarantineSettings
{
    /** Different jobs that must fail on an instance, with no success in between. */
    std::size_t minFailedJobs = 3;
    /** Different instances on which a job must fail, with no success in between. */
    std::size_t minFailedInstances = 3;
    /** Failures longer ago than this no longer count. */
    std::chrono::milliseconds window{std::chrono::minutes(10)};
    std::chrono::milliseconds initialQuarantine{std::chrono::seconds(30)};
    std::chrono::milliseconds maxQuarantine{std::chrono::minutes(30)};
    std::chrono::milliseconds initialJobBackOff{std::chrono::seconds(10)};
    /** A job that would back off more often than this is parked until it is resubmitted. */
    std::uint32_t maxJobBackOffs = 4;
};

/** What is remembered of an instance since its last success. */
struct InstanceHealth
{
    /** The latest failure of each job. */
    std::map<JobId, SteadyTime> failures;
    /** How often in a row the instance was quarantined; the time doubles with each. */
    std::uint32_t consecutiveQuarantines = 0;
    std::optional<SteadyTime> quarantinedUntil;
};

/** What is remembered of a job since its last success. */
struct JobHealth
{
    std::map<InstanceId, SteadyTime> failures;
    std::uint32_t backOffs = 0;
    bool parked = false;
};

/** What a failed attempt leads to. The caller stores the changed health records. */
struct FaultDecision
{
    /** Set when the instance gets no new work until this time. */
    std::optional<SteadyTime> quarantineUntil;
    /** Set when the job's tasks wait until this time. */
    std::optional<SteadyTime> jobBackOffUntil;
    bool jobParked = false;
    Reason reason = Reason::Accepted;
};

/**
 * Records a failed attempt and decides who is at fault. A job that failed on several instances is
 * at fault itself, and its failures don't count against instances from then on. An instance on
 * which several other jobs failed is at fault. After a quarantine, one failure before
 * the first success is enough for the next one, which lasts twice as long.
 */
FaultDecision recordFailure(InstanceHealth &instance, JobHealth &job, const JobId &jobId,
                            const InstanceId &instanceId, SteadyTime now,
                            const QuarantineSettings &settings);

/** Forgets what was held against both, since something works on one and of the other. */
void recordSuccess(InstanceHealth &instance, JobHealth &job);

/** Removes what an instance at fault has caused from a job's record. */
void removeInstanceFailures(JobHealth &job, const InstanceId &instance);

bool isQuarantined(const InstanceHealth &instance, SteadyTime now);

} // namespace gooseberry
