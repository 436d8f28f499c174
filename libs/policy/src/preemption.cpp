#include <policy/preemption.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <tuple>

namespace gooseberry {

namespace {

/** Cost of stopping tasks; members are compared in order and lower is better. */
struct PreemptionCost
{
    /** Compared first, since the callers of a service notice its loss immediately. */
    std::size_t services = 0;
    /** Run time that no checkpoint preserves. */
    std::chrono::nanoseconds progress{0};
    std::size_t victims = 0;

    auto operator<=>(const PreemptionCost &other) const = default;
};

/** The run time that is lost when an attempt is stopped. */
using Progress = std::map<AttemptId, std::chrono::nanoseconds>;

struct VictimPlan
{
    std::vector<const RunningTask *> victims;
    PreemptionCost cost;
};

bool isPreemptible(const RunningTask &task)
{
    return task.jobClass != JobClass::Urgent && task.repeatable;
}

/** Returns the progress lost with each task; a gang ends as a whole, so each task counts it all. */
Progress lostProgress(const std::vector<RunningTask> &running, SteadyTime now)
{
    std::map<JobId, std::chrono::nanoseconds> gangs;
    Progress lost;
    for (const RunningTask &task : running) {
        const auto own = task.checkpointable ? std::chrono::nanoseconds(0)
                                             : std::chrono::nanoseconds(now - task.startedAt);
        lost[task.attempt] = own;
        if (task.jobClass == JobClass::Gang) {
            gangs[task.attempt.task.job] += own;
        }
    }
    for (const RunningTask &task : running) {
        if (task.jobClass == JobClass::Gang) {
            lost[task.attempt] = gangs[task.attempt.task.job];
        }
    }
    return lost;
}

/** Removes victims that are not needed after all, the most expensive first. */
void removeUnneededVictims(VictimPlan &plan, const Resources &free, const Resources &wanted,
                           const Progress &progress)
{
    for (std::size_t index = plan.victims.size(); index-- > 0;) {
        Resources available = free;
        for (std::size_t other = 0; other < plan.victims.size(); ++other) {
            available = other == index
                ? available
                : add(available, plan.victims[other]->amount).value_or(available);
        }
        if (!firstShortage(wanted, available)) {
            plan.victims.erase(plan.victims.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    plan.cost = PreemptionCost{};
    plan.cost.victims = plan.victims.size();
    for (const RunningTask *victim : plan.victims) {
        plan.cost.progress += progress.at(victim->attempt);
        plan.cost.services += victim->jobClass == JobClass::Service ? 1 : 0;
    }
}

/** Chooses victims on the instance, cheapest first; nothing when stopping all is not enough. */
std::optional<VictimPlan> planVictims(const Instance &instance,
                                      std::vector<const RunningTask *> tasks,
                                      const Resources &wanted, const Progress &progress)
{
    std::sort(tasks.begin(), tasks.end(), [&progress](const RunningTask *a, const RunningTask *b) {
        const auto rank = [&progress](const RunningTask *task) {
            return std::tuple(task->jobClass == JobClass::Service, task->jobClass == JobClass::Gang,
                              progress.at(task->attempt), task->attempt);
        };
        return rank(a) < rank(b);
    });
    const Resources free = freeCapacity(instance);
    Resources available = free;
    VictimPlan plan;
    for (const RunningTask *task : tasks) {
        if (!firstShortage(wanted, available)) {
            break;
        }
        available = add(available, task->amount).value_or(available);
        plan.victims.push_back(task);
    }
    if (firstShortage(wanted, available)) {
        return std::nullopt;
    }
    removeUnneededVictims(plan, free, wanted, progress);
    return plan;
}

/** Returns the victims together with all other tasks of their gangs. */
std::vector<Victim> expandGangs(const std::vector<const RunningTask *> &chosen,
                                const std::vector<RunningTask> &running)
{
    std::set<AttemptId> attempts;
    std::set<JobId> gangs;
    for (const RunningTask *task : chosen) {
        attempts.insert(task->attempt);
        if (task->jobClass == JobClass::Gang) {
            gangs.insert(task->attempt.task.job);
        }
    }
    std::vector<Victim> victims;
    for (const RunningTask &task : running) {
        if (attempts.contains(task.attempt) || gangs.contains(task.attempt.task.job)) {
            victims.push_back(Victim{.attempt = task.attempt,
                                     .instance = task.instance,
                                     .checkpoint = task.checkpointable});
        }
    }
    return victims;
}

} // namespace

PreemptionDecision choosePreemption(const UrgentRequest &urgent,
                                    const std::vector<Instance> &instances,
                                    const std::vector<RunningTask> &running, SteadyTime now)
{
    PreemptionDecision decision;
    decision.urgent = urgent.task;
    if (firstShortage(urgent.amount, urgent.remainingLimit)) {
        decision.reason = Reason::TeamAtLimit;
        return decision;
    }
    const Progress progress = lostProgress(running, now);
    std::map<InstanceId, std::vector<const RunningTask *>> candidates;
    for (const RunningTask &task : running) {
        if (isPreemptible(task)) {
            candidates[task.instance].push_back(&task);
        }
    }
    std::optional<VictimPlan> best;
    for (const Instance &instance : instances) {
        const bool offers
            = urgent.service.empty() || instance.spec.upstream.service == urgent.service;
        if (!offers || firstShortage(urgent.amount, instance.spec.capacity)) {
            continue;
        }
        auto plan = planVictims(instance, candidates[instance.spec.id], urgent.amount, progress);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
            decision.instance = instance.spec.id;
        }
    }
    if (best) {
        decision.reason = Reason::PreemptedForUrgent;
        decision.victims = expandGangs(best->victims, running);
    }
    return decision;
}

} // namespace gooseberry
