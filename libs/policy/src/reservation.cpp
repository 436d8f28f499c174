#include <policy/reservation.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace gooseberry {

namespace {

/** From this time on, the instance holds this many tasks of the gang. */
struct Opening
{
    SteadyTime at;
    std::int64_t tasks = 0;
    const Instance *instance = nullptr;
};

std::int64_t tasksThatFit(Resources free, const GangNeed &need)
{
    std::int64_t count = 0;
    while (count < need.tasks) {
        const auto rest = subtract(free, need.perTask);
        if (!rest) {
            break;
        }
        free = *rest;
        ++count;
    }
    return count;
}

/** Returns when the instance holds most tasks of the gang, counting only ends before the limit. */
Opening openingOf(const Instance &instance, std::vector<const RunningTask *> tasks,
                  const GangNeed &need, SteadyTime now, SteadyTime limit)
{
    std::sort(tasks.begin(), tasks.end(), [](const RunningTask *a, const RunningTask *b) {
        return expectedEnd(*a) < expectedEnd(*b);
    });
    Resources free = freeCapacity(instance);
    Opening opening{.at = now, .tasks = tasksThatFit(free, need), .instance = &instance};
    for (const RunningTask *task : tasks) {
        // A task that runs longer than estimated may end at any time.
        const SteadyTime end = std::max(expectedEnd(*task).value(), now);
        if (end > limit || opening.tasks >= need.tasks) {
            break;
        }
        free = add(free, task->amount).value_or(free);
        const std::int64_t fitting = tasksThatFit(free, need);
        if (fitting > opening.tasks) {
            opening.tasks = fitting;
            opening.at = end;
        }
    }
    return opening;
}

std::vector<Opening> openings(const GangNeed &need, const std::vector<Instance> &instances,
                              const std::vector<RunningTask> &running, SteadyTime now,
                              SteadyTime limit)
{
    std::map<InstanceId, std::vector<const RunningTask *>> tasks;
    for (const RunningTask &task : running) {
        if (expectedEnd(task)) {
            tasks[task.instance].push_back(&task);
        }
    }
    std::vector<Opening> all;
    for (const Instance &instance : instances) {
        const bool offers = need.service.empty() || instance.spec.upstream.service == need.service;
        if (!offers || firstShortage(need.perTask, instance.spec.capacity)) {
            continue;
        }
        const Opening opening = openingOf(instance, tasks[instance.spec.id], need, now, limit);
        if (opening.tasks > 0) {
            all.push_back(opening);
        }
    }
    std::sort(all.begin(), all.end(), [](const Opening &a, const Opening &b) {
        return std::tuple(a.at, -a.tasks, a.instance->spec.id)
            < std::tuple(b.at, -b.tasks, b.instance->spec.id);
    });
    return all;
}

} // namespace

std::optional<RoomForGang> reserveRoom(const GangNeed &need, const std::vector<Instance> &instances,
                                       const std::vector<RunningTask> &running, SteadyTime now,
                                       const ReservationSettings &settings)
{
    const SteadyTime limit = now + settings.longest - settings.slack;
    RoomForGang room;
    room.reservation.job = need.job;
    room.expectedStart = now;
    std::int64_t missing = need.tasks;
    for (const Opening &opening : openings(need, instances, running, now, limit)) {
        if (missing <= 0) {
            break;
        }
        missing -= opening.tasks;
        room.expectedStart = std::max(room.expectedStart, opening.at);
        room.reservation.instances.push_back(opening.instance->spec.id);
    }
    if (missing > 0) {
        return std::nullopt;
    }
    room.reservation.end = room.expectedStart + settings.slack;
    return room;
}

} // namespace gooseberry
