#include <dispatch/placement_choice.h>

#include <algorithm>
#include <limits>
#include <map>

namespace gooseberry {

namespace {

std::uint32_t quotient(std::int64_t free, std::int64_t size)
{
    constexpr std::int64_t many = std::numeric_limits<std::uint32_t>::max();
    return size <= 0 ? static_cast<std::uint32_t>(many)
                     : static_cast<std::uint32_t>(std::min(free / size, many));
}

std::uint64_t totalFit(const std::vector<Seat> &seats, const SeatRequest &request,
                       const RackId *rack)
{
    std::uint64_t total = 0;
    for (const Seat &seat : seats) {
        if (rack == nullptr || seat.rack == *rack) {
            total += tasksThatFit(seat, request);
        }
    }
    return total;
}

/** Keeps only the seats of one rack when all tasks fit there; the fullest such rack. */
void keepOneRack(std::vector<Seat> &seats, const SeatRequest &request)
{
    std::map<RackId, std::uint64_t> racks;
    for (const Seat &seat : seats) {
        racks[seat.rack] += tasksThatFit(seat, request);
    }
    const RackId *best = nullptr;
    std::uint64_t least = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[rack, fit] : racks) {
        if (fit >= request.count && fit < least) {
            least = fit;
            best = &rack;
        }
    }
    if (best != nullptr) {
        std::erase_if(seats, [&](const Seat &seat) { return seat.rack != *best; });
    }
}

void keepDataRack(std::vector<Seat> &seats, const SeatRequest &request)
{
    const std::uint64_t fit = totalFit(seats, request, &request.dataRack);
    if (fit >= request.count || (fit > 0 && !request.together)) {
        std::erase_if(seats, [&](const Seat &seat) { return seat.rack != request.dataRack; });
    }
}

/** Lower is better: sound workers first, then the one that is left with least. */
bool fitsBetter(const Seat &left, const Seat &right)
{
    if (left.penalty != right.penalty) {
        return left.penalty < right.penalty;
    }
    return left.free.cpu.value < right.free.cpu.value;
}

} // namespace

std::uint32_t tasksThatFit(const Seat &seat, const SeatRequest &request)
{
    const std::uint32_t fit = tasksThatFit(seat.free, request);
    if (request.maxPerWorker == 0) {
        return fit;
    }
    return std::min(fit, request.maxPerWorker - std::min(request.maxPerWorker, seat.sameStep));
}

std::uint32_t tasksThatFit(const Resources &free, const SeatRequest &request)
{
    const std::uint32_t most
        = request.maxPerWorker == 0 ? request.count : std::min(request.count, request.maxPerWorker);
    return std::min({most, quotient(free.cpu.value, request.size.cpu.value),
                     quotient(free.memory.value, request.size.memory.value),
                     quotient(free.accelerators.value, request.size.accelerators.value)});
}

std::vector<std::size_t> choosePlaces(const SeatRequest &request, std::vector<Seat> seats)
{
    std::erase_if(seats, [&](const Seat &seat) { return tasksThatFit(seat, request) == 0; });
    if (request.together && totalFit(seats, request, nullptr) < request.count) {
        return {};
    }
    if (!request.dataRack.value.empty()) {
        keepDataRack(seats, request);
    }
    if (request.oneRack) {
        keepOneRack(seats, request);
    }
    std::sort(seats.begin(), seats.end(), fitsBetter);
    std::vector<std::size_t> places;
    for (const Seat &seat : seats) {
        const std::uint32_t fit = tasksThatFit(seat, request);
        for (std::uint32_t i = 0; i < fit && places.size() < request.count; ++i) {
            places.push_back(seat.worker);
        }
    }
    return places;
}

} // namespace gooseberry
