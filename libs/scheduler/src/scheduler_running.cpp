#include <scheduler/scheduler_core.h>

#include "health_table.h"
#include "running_table.h"
#include "waiting_table.h"

namespace gooseberry {

namespace {

/** Updates the instances as if the victims had ended and the urgent task had started. */
void applyPreemption(std::vector<Instance> &instances, const PreemptionDecision &decision,
                     const Resources &amount, const std::vector<RunningTask> &running)
{
    for (Instance &instance : instances) {
        Resources used = add(instance.allocated, instance.reserved).value_or(instance.allocated);
        for (const RunningTask &task : running) {
            for (const Victim &victim : decision.victims) {
                if (victim.attempt == task.attempt && task.instance == instance.spec.id) {
                    used = subtract(used, task.amount).value_or(Resources{});
                }
            }
        }
        if (instance.spec.id == *decision.instance) {
            used = add(used, amount).value_or(used);
        }
        instance.allocated = used;
        instance.reserved = Resources{};
    }
}

} // namespace

void Scheduler::taskStarted(const RunningTask &task)
{
    this->running->started(task);
}

FaultDecision Scheduler::taskEnded(const TaskEnd &end)
{
    {
        const std::lock_guard lock(this->stopMutex);
        this->stopping.erase(end.attempt);
    }
    const auto usage = this->running->ended(end.attempt, end.instance);
    if (end.cause == EndCause::Failed) {
        return this->health->failed(end.attempt.task, end.instance, end.at);
    }
    if (end.cause == EndCause::Succeeded) {
        this->health->succeeded(end.attempt.task, end.instance);
        if (usage) {
            const auto runTime = std::chrono::duration_cast<std::chrono::milliseconds>(
                end.at - usage->task.startedAt);
            this->running->learn(usage->task.team, usage->task.jobTemplate,
                                 RunSample{.runTime = runTime, .peakUsage = usage->actual});
        }
    }
    return {};
}

void Scheduler::reportUsage(const AttemptId &attempt, const InstanceId &instance,
                            const Resources &actual)
{
    this->running->reported(attempt, instance, actual);
}

std::vector<PreemptionDecision> Scheduler::preemptions(const RoundInput &input)
{
    const std::lock_guard lock(this->roundMutex);
    std::vector<UrgentRequest> requests
        = this->waiting->urgentWithoutCapacity(this->settings.maxPreemptionsPerCall);
    std::erase_if(requests, [&](const UrgentRequest &request) {
        return this->isPreemptingFor(request.task, input.now);
    });
    if (requests.empty()) {
        return {};
    }
    std::vector<Instance> instances = this->fleet.snapshot();
    std::erase_if(instances, [&](const Instance &instance) {
        return !acceptsNewTasks(instance, input.domainsOut)
            || this->viewExcluded.contains(instance.spec.id);
    });
    return this->choosePreemptions(std::move(requests), std::move(instances), input);
}

std::vector<PreemptionDecision> Scheduler::choosePreemptions(std::vector<UrgentRequest> requests,
                                                             std::vector<Instance> instances,
                                                             const RoundInput &input)
{
    std::vector<PreemptionDecision> decisions;
    std::map<TeamId, Resources> decided;
    std::vector<RunningTask> candidates = this->tasksNotStopping(input.now);
    for (UrgentRequest &request : requests) {
        Resources &teamDecided = decided[request.team];
        request.remainingLimit = this->remainingLimit(request.team, teamDecided, input);
        PreemptionDecision decision = choosePreemption(request, instances, candidates, input.now);
        if (decision.instance) {
            applyPreemption(instances, decision, request.amount, candidates);
            teamDecided = add(teamDecided, request.amount).value_or(teamDecided);
            const std::lock_guard lock(this->stopMutex);
            this->preemptingFor[request.task] = input.now;
            for (const Victim &victim : decision.victims) {
                this->stopping[victim.attempt] = input.now;
            }
            std::erase_if(candidates, [this](const RunningTask &task) {
                return this->stopping.contains(task.attempt);
            });
        }
        decisions.push_back(std::move(decision));
    }
    return decisions;
}

Resources Scheduler::remainingLimit(const TeamId &team, const Resources &decided,
                                    const RoundInput &input) const
{
    const Team *declared = findTeam(*input.config, team);
    const TeamUsage usage = this->ledger.usage(team);
    Resources allocated = add(usage.running, usage.reserved).value_or(usage.running);
    allocated = add(allocated, decided).value_or(allocated);
    return declared == nullptr ? Resources{}
                               : subtract(declared->limit.maximum, allocated).value_or(Resources{});
}

bool Scheduler::isPreemptingFor(const TaskId &task, SteadyTime now) const
{
    const std::lock_guard lock(this->stopMutex);
    const auto found = this->preemptingFor.find(task);
    return found != this->preemptingFor.end() && now < found->second + this->settings.stopTimeout;
}

std::vector<MoveDecision> Scheduler::evacuations(const RoundInput &input)
{
    std::vector<RunningTask> candidates = this->tasksNotStopping(input.now);
    const std::lock_guard lock(this->stopMutex);
    std::erase_if(this->stopping, [&](const auto &entry) {
        return entry.second + this->settings.stopTimeout <= input.now;
    });
    std::erase_if(this->preemptingFor, [&](const auto &entry) {
        return entry.second + this->settings.stopTimeout <= input.now;
    });
    std::vector<MoveDecision> moves
        = chooseMoves(candidates, this->fleet.snapshot(), input.domainsOut, this->stopping.size(),
                      this->settings.evacuation);
    for (const MoveDecision &move : moves) {
        this->stopping[move.attempt] = input.now;
    }
    return moves;
}

std::vector<CorrectionDecision> Scheduler::corrections(const InstanceId &instance, SteadyTime now)
{
    const auto found = this->fleet.find(instance);
    if (!found) {
        return {};
    }
    std::vector<CorrectionDecision> decisions = correctUsage(
        found->spec.capacity, this->running->on(instance), this->settings.correction);
    const std::lock_guard lock(this->stopMutex);
    std::erase_if(decisions, [&](const CorrectionDecision &decision) {
        const auto entry = this->stopping.find(decision.attempt);
        return entry != this->stopping.end() && now < entry->second + this->settings.stopTimeout;
    });
    for (const CorrectionDecision &decision : decisions) {
        if (decision.action == CorrectiveAction::Stop) {
            this->stopping[decision.attempt] = now;
        }
    }
    return decisions;
}

std::vector<RunningTask> Scheduler::tasksNotStopping(SteadyTime now) const
{
    std::vector<RunningTask> tasks = this->running->all();
    const std::lock_guard lock(this->stopMutex);
    std::erase_if(tasks, [&](const RunningTask &task) {
        const auto found = this->stopping.find(task.attempt);
        return found != this->stopping.end() && now < found->second + this->settings.stopTimeout;
    });
    return tasks;
}

} // namespace gooseberry
