#include <policy/ordering.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace gooseberry {

std::vector<WaitingJob> orderJobs(std::vector<WaitingJob> jobs,
                                  const std::vector<TeamStanding> &teams)
{
    std::map<TeamId, double> normalised;
    for (const TeamStanding &standing : teams) {
        normalised[standing.team] = standing.dominantShare / standing.share.weight;
    }
    const auto rank = [&normalised](const WaitingJob &job) {
        const auto found = normalised.find(job.team);
        const double share = found == normalised.end() ? 0.0 : found->second;
        return std::tuple(job.jobClass != JobClass::Urgent, share, job.submittedAt, job.id);
    };
    std::stable_sort(jobs.begin(), jobs.end(), [&rank](const WaitingJob &a, const WaitingJob &b) {
        return rank(a) < rank(b);
    });
    return jobs;
}

} // namespace gooseberry
