#include <policy/reservation.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace gooseberry {

namespace {

/** The number of the gang's tasks that fit on an instance from a time on. */
struct Availability
{
    SteadyTime at;
    std::int64_t tasks = 0;
    const Instance *instance = nullptr;
};

/** Returns how many of the gang's tasks fit into the free capacity. */
std::int64_t tasksThatFit(Resources free, const GangRequest &gang)
{
    std::int64_t count = 0;
    while (count < gang.tasks) {
        const auto rest = subtract(free, gang.perTask);
        if (!rest) {
            break;
        }
        free = *rest;
        ++count;
    }
    return count;
}

/** Returns when the instance first fits as many of the gang's tasks as it can before the limit. */
Availability availabilityOf(const Instance &instance, std::vector<const RunningTask *> tasks,
                            const GangRequest &gang, SteadyTime now, SteadyTime limit)
{
    std::sort(tasks.begin(), tasks.end(), [](const RunningTask *a, const RunningTask *b) {
        return expectedEnd(*a) < expectedEnd(*b);
    });
    Resources free = freeCapacity(instance);
    Availability available{.at = now, .tasks = tasksThatFit(free, gang), .instance = &instance};
    for (const RunningTask *task : tasks) {
        // A task that has exceeded its estimate may end at any time.
        const SteadyTime end = std::max(expectedEnd(*task).value(), now);
        if (end > limit || available.tasks >= gang.tasks) {
            break;
        }
        free = add(free, task->amount).value_or(free);
        const std::int64_t fitting = tasksThatFit(free, gang);
        if (fitting > available.tasks) {
            available.tasks = fitting;
            available.at = end;
        }
    }
    return available;
}

/** Returns the availability of all suitable instances, earliest and then largest first. */
std::vector<Availability> earliestAvailability(const GangRequest &gang,
                                               const std::vector<Instance> &instances,
                                               const std::vector<RunningTask> &running,
                                               SteadyTime now, SteadyTime limit)
{
    std::map<InstanceId, std::vector<const RunningTask *>> tasks;
    for (const RunningTask &task : running) {
        if (expectedEnd(task)) {
            tasks[task.instance].push_back(&task);
        }
    }
    std::vector<Availability> all;
    for (const Instance &instance : instances) {
        const bool offers = gang.service.empty() || instance.spec.upstream.service == gang.service;
        if (!offers || firstShortage(gang.perTask, instance.spec.capacity)) {
            continue;
        }
        const Availability available
            = availabilityOf(instance, tasks[instance.spec.id], gang, now, limit);
        if (available.tasks > 0) {
            all.push_back(available);
        }
    }
    std::sort(all.begin(), all.end(), [](const Availability &a, const Availability &b) {
        return std::tuple(a.at, -a.tasks, a.instance->spec.id)
            < std::tuple(b.at, -b.tasks, b.instance->spec.id);
    });
    return all;
}

} // namespace

std::optional<GangReservation> planGangReservation(const GangRequest &gang,
                                                   const std::vector<Instance> &instances,
                                                   const std::vector<RunningTask> &running,
                                                   SteadyTime now,
                                                   const ReservationSettings &settings)
{
    const SteadyTime limit = now + settings.maxDuration - settings.slack;
    GangReservation planned;
    planned.reservation.job = gang.job;
    planned.expectedStart = now;
    std::int64_t missing = gang.tasks;
    for (const Availability &available :
         earliestAvailability(gang, instances, running, now, limit)) {
        if (missing <= 0) {
            break;
        }
        missing -= available.tasks;
        planned.expectedStart = std::max(planned.expectedStart, available.at);
        planned.reservation.instances.push_back(available.instance->spec.id);
    }
    if (missing > 0) {
        return std::nullopt;
    }
    planned.reservation.end = planned.expectedStart + settings.slack;
    return planned;
}

} // namespace gooseberry
