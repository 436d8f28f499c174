#include <dispatch/task_placement.h>

#include <algorithm>
#include <limits>
#include <map>

namespace gooseberry {

namespace {

std::uint32_t timesThatFit(std::int64_t free, std::int64_t size)
{
    constexpr std::int64_t unlimited = std::numeric_limits<std::uint32_t>::max();
    return size <= 0 ? static_cast<std::uint32_t>(unlimited)
                     : static_cast<std::uint32_t>(std::min(free / size, unlimited));
}

std::uint64_t totalTasksThatFit(const std::vector<PlacementCandidate> &candidates,
                                const TaskPlacementRequest &request, const RackId *rack)
{
    std::uint64_t total = 0;
    for (const PlacementCandidate &candidate : candidates) {
        if (rack == nullptr || candidate.rack == *rack) {
            total += tasksThatFit(candidate, request);
        }
    }
    return total;
}

/** If all tasks fit on one rack, keeps only the candidates of the fullest such rack. */
void keepOneRack(std::vector<PlacementCandidate> &candidates, const TaskPlacementRequest &request)
{
    std::map<RackId, std::uint64_t> racks;
    for (const PlacementCandidate &candidate : candidates) {
        racks[candidate.rack] += tasksThatFit(candidate, request);
    }
    const RackId *best = nullptr;
    std::uint64_t smallestFit = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[rack, fit] : racks) {
        if (fit >= request.count && fit < smallestFit) {
            smallestFit = fit;
            best = &rack;
        }
    }
    if (best != nullptr) {
        std::erase_if(candidates,
                      [&](const PlacementCandidate &candidate) { return candidate.rack != *best; });
    }
}

void keepDataRack(std::vector<PlacementCandidate> &candidates, const TaskPlacementRequest &request)
{
    const std::uint64_t fit = totalTasksThatFit(candidates, request, &request.dataRack);
    if (fit >= request.count || (fit > 0 && !request.allOrNone)) {
        std::erase_if(candidates, [&](const PlacementCandidate &candidate) {
            return candidate.rack != request.dataRack;
        });
    }
}

/** Prefers workers with a lower penalty, then those with less free CPU. */
bool isBetterFit(const PlacementCandidate &left, const PlacementCandidate &right)
{
    if (left.penalty != right.penalty) {
        return left.penalty < right.penalty;
    }
    return left.free.cpu.value < right.free.cpu.value;
}

} // namespace

std::uint32_t tasksThatFit(const PlacementCandidate &candidate, const TaskPlacementRequest &request)
{
    const std::uint32_t fit = tasksThatFit(candidate.free, request);
    if (request.maxPerWorker == 0) {
        return fit;
    }
    return std::min(fit,
                    request.maxPerWorker - std::min(request.maxPerWorker, candidate.tasksOfStep));
}

std::uint32_t tasksThatFit(const Resources &free, const TaskPlacementRequest &request)
{
    const std::uint32_t maxTasks
        = request.maxPerWorker == 0 ? request.count : std::min(request.count, request.maxPerWorker);
    return std::min({maxTasks, timesThatFit(free.cpu.value, request.size.cpu.value),
                     timesThatFit(free.memory.value, request.size.memory.value),
                     timesThatFit(free.accelerators.value, request.size.accelerators.value)});
}

std::vector<std::size_t> chooseWorkers(const TaskPlacementRequest &request,
                                       std::vector<PlacementCandidate> candidates)
{
    std::erase_if(candidates, [&](const PlacementCandidate &candidate) {
        return tasksThatFit(candidate, request) == 0;
    });
    if (request.allOrNone && totalTasksThatFit(candidates, request, nullptr) < request.count) {
        return {};
    }
    if (!request.dataRack.value.empty()) {
        keepDataRack(candidates, request);
    }
    if (request.preferOneRack) {
        keepOneRack(candidates, request);
    }
    std::sort(candidates.begin(), candidates.end(), isBetterFit);
    std::vector<std::size_t> chosen;
    for (const PlacementCandidate &candidate : candidates) {
        const std::uint32_t fit = tasksThatFit(candidate, request);
        for (std::uint32_t i = 0; i < fit && chosen.size() < request.count; ++i) {
            chosen.push_back(candidate.worker);
        }
    }
    return chosen;
}

} // namespace gooseberry
