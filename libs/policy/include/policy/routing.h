#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** A number of open connections or requests under way. */
using RequestCount = StrongId<struct RequestCountTag, std::uint32_t>;

constexpr RequestCount slotsPerWorker{8};
constexpr RequestCount connectionsPerWorker{64};

/** A service worker as routing sees it. */
struct RouteTarget
{
    InstanceId instance;
    FailureDomainId domain;
    /** Requests that run on the worker. */
    RequestCount running;
    /** Open connections, those of running requests included. */
    RequestCount connections;
    /** What the adaptive limit allows at present; see adaptLimit(). */
    RequestCount limit = slotsPerWorker;
    bool ejected = false;
};

/** Returns whether the worker may get one more request. */
bool canAcceptRequest(const RouteTarget &target);

/**
 * Compares two workers, which the caller draws at random, and returns the index of the one with
 * less load; 0 and 1 stand for the first and second. A worker in the caller's failure domain wins
 * unless the other has at least two requests less. Nothing when neither has room.
 */
std::optional<std::size_t> chooseRoute(const RouteTarget &first, const RouteTarget &second,
                                       const FailureDomainId &callerDomain);

/** How a worker's concurrency limit follows its response times. */
struct LimitSettings
{
    double minimum = 1.0;
    double maximum = 8.0;
    /** Response times up to this multiple of the best one count as not queued. */
    double tolerance = 2.0;
    double decreaseFactor = 0.8;
};

/** The state of one worker's adaptive limit. */
struct ConcurrencyLimit
{
    double value = 8.0;
    std::chrono::microseconds minResponseTime{0};
};

/** Raises the limit by one per limit's worth of good answers, lowers it by a factor on others. */
void adaptLimit(ConcurrencyLimit &limit, std::chrono::microseconds response, bool succeeded,
                const LimitSettings &settings);

/** When a worker is an outlier among its peers. */
struct EjectionSettings
{
    /** Fewer requests say nothing about a worker. */
    std::uint32_t minRequests = 10;
    /** An outlier fails at least this much more often than the median worker. */
    double excessFailureRate = 0.3;
    /** Never more than this share of the workers is ejected. */
    double maxEjectedFraction = 0.3;
};

/** What a worker answered in the latest window. */
struct TargetStats
{
    InstanceId instance;
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
};

/** Returns the workers to eject, those that fail most first, within the largest share. */
std::vector<InstanceId> chooseEjections(const std::vector<TargetStats> &records,
                                        const EjectionSettings &settings);

} // namespace gooseberry
