#include <policy/quarantine.h>

#include <algorithm>

namespace gooseberry {

namespace {

template<typename Id>
void record(std::map<Id, SteadyTime> &failures, const Id &id, SteadyTime now,
            const QuarantineSettings &settings)
{
    failures[id] = now;
    std::erase_if(failures,
                  [&](const auto &entry) { return entry.second + settings.window < now; });
}

/** Doubles the first duration level times, up to the longest. */
std::chrono::milliseconds backOff(std::chrono::milliseconds first, std::uint32_t level,
                                  std::chrono::milliseconds longest)
{
    std::chrono::milliseconds duration = first;
    for (std::uint32_t step = 0; step < level && duration < longest; ++step) {
        duration *= 2;
    }
    return std::min(duration, longest);
}

bool atFault(const JobHealth &job, const QuarantineSettings &settings)
{
    return job.parked || job.backOffs > 0 || job.failures.size() >= settings.instancesForJob;
}

} // namespace

FaultDecision recordFailure(InstanceHealth &instance, JobHealth &job, const JobId &jobId,
                            const InstanceId &instanceId, SteadyTime now,
                            const QuarantineSettings &settings)
{
    FaultDecision decision;
    record(job.failures, instanceId, now, settings);
    if (atFault(job, settings)) {
        instance.failures.erase(jobId);
        if (job.failures.size() < settings.instancesForJob) {
            return decision;
        }
        // The next back-off needs the same number of instances again.
        job.failures.clear();
        ++job.backOffs;
        if (job.backOffs > settings.jobBackOffs) {
            job.parked = true;
            decision.jobParked = true;
            decision.reason = Reason::JobFailsEverywhere;
            return decision;
        }
        decision.reason = Reason::JobBackOff;
        decision.jobBackOffUntil
            = now + backOff(settings.firstJobBackOff, job.backOffs - 1, settings.longestQuarantine);
        return decision;
    }
    record(instance.failures, jobId, now, settings);
    const std::size_t needed = instance.level > 0 ? 1 : settings.jobsForInstance;
    if (instance.failures.size() < needed || isQuarantined(instance, now)) {
        return decision;
    }
    decision.reason = Reason::InstanceQuarantined;
    decision.quarantineUntil
        = now + backOff(settings.firstQuarantine, instance.level, settings.longestQuarantine);
    instance.quarantinedUntil = decision.quarantineUntil;
    ++instance.level;
    return decision;
}

void recordSuccess(InstanceHealth &instance, JobHealth &job)
{
    instance = InstanceHealth{};
    job = JobHealth{};
}

void exonerate(JobHealth &job, const InstanceId &instance)
{
    job.failures.erase(instance);
}

bool isQuarantined(const InstanceHealth &instance, SteadyTime now)
{
    return instance.quarantinedUntil && now < *instance.quarantinedUntil;
}

} // namespace gooseberry
