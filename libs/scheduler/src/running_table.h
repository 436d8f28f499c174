#pragma once

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <policy/policy.h>

namespace gooseberry {

/** Running attempts and the estimates derived from them, in shards with a lock each. */
class RunningTable
{
public:
    explicit RunningTable(CorrectionSettings initialSettings);

    void started(const RunningTask &task);
    /** Removes the attempt and returns it with its peak reported usage. */
    std::optional<TaskUsage> ended(const AttemptId &attempt, const InstanceId &instance);
    /** Records a usage report. Reports for attempts that have already ended are ignored. */
    void reported(const AttemptId &attempt, const InstanceId &instance, const Resources &actual);
    void clear();

    std::vector<RunningTask> all() const;
    std::vector<TaskUsage> on(const InstanceId &instance) const;
    std::vector<InstanceId> instancesOf(const JobId &job) const;

    void learn(const TeamId &team, const std::string &jobTemplate, const RunSample &sample);
    std::optional<TemplateEstimate> estimate(const TeamId &team,
                                             const std::string &jobTemplate) const;

private:
    struct Running
    {
        TaskUsage latest;
        Resources peak;
    };
    struct InstanceShard
    {
        mutable std::mutex mutex;
        std::map<InstanceId, std::map<AttemptId, Running>> instances;
    };
    struct JobShard
    {
        mutable std::mutex mutex;
        std::map<JobId, std::map<AttemptId, InstanceId>> jobs;
    };
    using TemplateKey = std::pair<TeamId, std::string>;
    struct Learned
    {
        TemplateHistory history;
        /** Cached, since it is read for every decision. */
        std::optional<TemplateEstimate> estimate;
    };
    struct TemplateShard
    {
        mutable std::mutex mutex;
        std::map<TemplateKey, Learned> learned;
    };
    static constexpr std::size_t shardCount = 16;

    InstanceShard &instanceShard(const InstanceId &instance);
    const InstanceShard &instanceShard(const InstanceId &instance) const;
    static std::size_t templateShard(const TeamId &team, const std::string &jobTemplate);

    CorrectionSettings settings;
    std::array<InstanceShard, shardCount> instanceShards;
    std::array<JobShard, shardCount> jobShards;
    std::array<TemplateShard, shardCount> templateShards;
};

} // namespace gooseberry
