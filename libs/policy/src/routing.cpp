#include <policy/routing.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gooseberry {

namespace {

/** A worker in another failure domain must have this many requests less to be preferred. */
constexpr std::uint32_t localityBias = 2;

double failureRate(const TargetStats &record)
{
    return record.requests == 0
        ? 0.0
        : static_cast<double>(record.failures) / static_cast<double>(record.requests);
}

double medianRate(const std::vector<TargetStats> &records)
{
    std::vector<double> rates;
    rates.reserve(records.size());
    for (const TargetStats &record : records) {
        rates.push_back(failureRate(record));
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

} // namespace

bool canAcceptRequest(const RouteTarget &target)
{
    const RequestCount slots = std::min(target.limit, slotsPerWorker);
    return !target.ejected && target.running < slots && target.connections < connectionsPerWorker;
}

std::optional<std::size_t> chooseRoute(const RouteTarget &first, const RouteTarget &second,
                                       const FailureDomainId &callerDomain)
{
    if (!canAcceptRequest(first) || !canAcceptRequest(second)) {
        if (canAcceptRequest(first)) {
            return 0;
        }
        return canAcceptRequest(second) ? std::optional<std::size_t>(1) : std::nullopt;
    }
    const auto load = [&callerDomain](const RouteTarget &target) {
        const std::uint32_t distance = target.domain == callerDomain ? 0 : localityBias;
        // Doubling and subtracting one avoids a tie: with exactly localityBias requests less, the
        // remote worker is preferred.
        return std::tuple(2 * target.running.value + 2 * distance - (distance > 0 ? 1 : 0),
                          target.connections);
    };
    return load(second) < load(first) ? 1 : 0;
}

void adaptLimit(ConcurrencyLimit &limit, std::chrono::microseconds response, bool succeeded,
                const LimitSettings &settings)
{
    if (succeeded
        && (limit.minResponseTime == std::chrono::microseconds::zero()
            || response < limit.minResponseTime)) {
        limit.minResponseTime = response;
    }
    const double tolerated
        = settings.tolerance * static_cast<double>(limit.minResponseTime.count());
    if (succeeded && static_cast<double>(response.count()) <= tolerated) {
        limit.value += 1.0 / limit.value;
    } else {
        limit.value *= settings.decreaseFactor;
    }
    limit.value = std::clamp(limit.value, settings.minimum, settings.maximum);
}

std::vector<InstanceId> chooseEjections(const std::vector<TargetStats> &records,
                                        const EjectionSettings &settings)
{
    if (records.empty()) {
        return {};
    }
    const double bound = medianRate(records) + settings.excessFailureRate;
    std::vector<const TargetStats *> outliers;
    for (const TargetStats &record : records) {
        if (record.requests >= settings.minRequests && failureRate(record) >= bound) {
            outliers.push_back(&record);
        }
    }
    std::sort(outliers.begin(), outliers.end(), [](const auto *a, const auto *b) {
        return std::tuple(-failureRate(*a), a->instance)
            < std::tuple(-failureRate(*b), b->instance);
    });
    const auto most = static_cast<std::size_t>(
        std::floor(settings.maxEjectedFraction * static_cast<double>(records.size())));
    std::vector<InstanceId> ejected;
    for (std::size_t index = 0; index < std::min(most, outliers.size()); ++index) {
        ejected.push_back(outliers[index]->instance);
    }
    return ejected;
}

} // namespace gooseberry
