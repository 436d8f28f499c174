#include <policy/quarantine.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** Adds a failure and removes those that are older than the window. */
template<typename Id>
void addFailure(std::map<Id, SteadyTime> &failures, const Id &id, SteadyTime now,
                const QuarantineSettings &settings)
{
    failures[id] = now;
    std::erase_if(failures,
                  [&](const auto &entry) { return entry.second + settings.window < now; });
}

/** Returns the initial duration after the given number of doublings, at most the maximum. */
std::chrono::milliseconds backOff(std::chrono::milliseconds initial, std::uint32_t doublings,
                                  std::chrono::milliseconds maximum)
{
    std::chrono::milliseconds duration = initial;
    for (std::uint32_t doubled = 0; doubled < doublings && duration < maximum; ++doubled) {
        duration *= 2;
    }
    return std::min(duration, maximum);
}

bool isJobAtFault(const JobHealth &job, const QuarantineSettings &settings)
{
    return job.parked || job.backOffs > 0 || job.failures.size() >= settings.minFailedInstances;
}

} // namespace

FaultDecision recordFailure(InstanceHealth &instance, JobHealth &job, const JobId &jobId,
                            const InstanceId &instanceId, SteadyTime now,
                            const QuarantineSettings &settings)
{
    FaultDecision decision;
    addFailure(job.failures, instanceId, now, settings);
    if (isJobAtFault(job, settings)) {
        instance.failures.erase(jobId);
        if (job.failures.size() < settings.minFailedInstances) {
            return decision;
        }
        // Counting restarts: the next back-off requires minFailedInstances again.
        job.failures.clear();
        ++job.backOffs;
        if (job.backOffs > settings.maxJobBackOffs) {
            job.parked = true;
            decision.jobParked = true;
            decision.reason = Reason::JobFailsEverywhere;
            return decision;
        }
        decision.reason = Reason::JobBackOff;
        decision.jobBackOffUntil
            = now + backOff(settings.initialJobBackOff, job.backOffs - 1, settings.maxQuarantine);
        return decision;
    }
    addFailure(instance.failures, jobId, now, settings);
    const std::size_t threshold = instance.consecutiveQuarantines > 0 ? 1 : settings.minFailedJobs;
    if (instance.failures.size() < threshold || isQuarantined(instance, now)) {
        return decision;
    }
    decision.reason = Reason::InstanceQuarantined;
    decision.quarantineUntil = now
        + backOff(settings.initialQuarantine, instance.consecutiveQuarantines,
                  settings.maxQuarantine);
    instance.quarantinedUntil = decision.quarantineUntil;
    ++instance.consecutiveQuarantines;
    return decision;
}

void recordSuccess(InstanceHealth &instance, JobHealth &job)
{
    instance = InstanceHealth{};
    job = JobHealth{};
}

void removeInstanceFailures(JobHealth &job, const InstanceId &instance)
{
    job.failures.erase(instance);
}

bool isQuarantined(const InstanceHealth &instance, SteadyTime now)
{
    return instance.quarantinedUntil && now < *instance.quarantinedUntil;
}

} // namespace gooseberry
