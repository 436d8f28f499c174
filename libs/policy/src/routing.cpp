#include <policy/routing.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gooseberry {

namespace {

/** A worker far away must have this many requests less to be preferred. */
constexpr std::uint32_t localAdvantage = 2;

double failureRate(const TargetRecord &record)
{
    return record.requests == 0
        ? 0.0
        : static_cast<double>(record.failures) / static_cast<double>(record.requests);
}

double medianRate(const std::vector<TargetRecord> &records)
{
    std::vector<double> rates;
    rates.reserve(records.size());
    for (const TargetRecord &record : records) {
        rates.push_back(failureRate(record));
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

} // namespace

bool hasRoom(const RouteTarget &target)
{
    const RequestCount slots = std::min(target.limit, slotsPerWorker);
    return !target.ejected && target.running < slots && target.connections < connectionsPerWorker;
}

std::optional<std::size_t> chooseRoute(const RouteTarget &first, const RouteTarget &second,
                                       const FailureDomainId &callerDomain)
{
    if (!hasRoom(first) || !hasRoom(second)) {
        if (hasRoom(first)) {
            return 0;
        }
        return hasRoom(second) ? std::optional<std::size_t>(1) : std::nullopt;
    }
    const auto load = [&callerDomain](const RouteTarget &target) {
        const std::uint32_t distance = target.domain == callerDomain ? 0 : localAdvantage;
        // Doubling lets an advantage of two requests decide exactly, without a tie.
        return std::tuple(2 * target.running.value + 2 * distance - (distance > 0 ? 1 : 0),
                          target.connections);
    };
    return load(second) < load(first) ? 1 : 0;
}

void adaptLimit(ConcurrencyLimit &limit, std::chrono::microseconds response, bool succeeded,
                const LimitSettings &settings)
{
    if (succeeded
        && (limit.bestResponse == std::chrono::microseconds::zero()
            || response < limit.bestResponse)) {
        limit.bestResponse = response;
    }
    const double tolerated = settings.tolerance * static_cast<double>(limit.bestResponse.count());
    if (succeeded && static_cast<double>(response.count()) <= tolerated) {
        limit.value += 1.0 / limit.value;
    } else {
        limit.value *= settings.decrease;
    }
    limit.value = std::clamp(limit.value, settings.smallest, settings.largest);
}

std::vector<InstanceId> chooseEjections(const std::vector<TargetRecord> &records,
                                        const EjectionSettings &settings)
{
    if (records.empty()) {
        return {};
    }
    const double bound = medianRate(records) + settings.excessFailureRate;
    std::vector<const TargetRecord *> outliers;
    for (const TargetRecord &record : records) {
        if (record.requests >= settings.fewestRequests && failureRate(record) >= bound) {
            outliers.push_back(&record);
        }
    }
    std::sort(outliers.begin(), outliers.end(), [](const auto *a, const auto *b) {
        return std::tuple(-failureRate(*a), a->instance)
            < std::tuple(-failureRate(*b), b->instance);
    });
    const auto most = static_cast<std::size_t>(
        std::floor(settings.largestShare * static_cast<double>(records.size())));
    std::vector<InstanceId> ejected;
    for (std::size_t index = 0; index < std::min(most, outliers.size()); ++index) {
        ejected.push_back(outliers[index]->instance);
    }
    return ejected;
}

} // namespace gooseberry
