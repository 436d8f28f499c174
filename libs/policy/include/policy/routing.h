#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** A number of open connections or running requests. */
using RequestCount = StrongId<struct RequestCountTag, std::uint32_t>;

constexpr RequestCount slotsPerWorker{8};
constexpr RequestCount connectionsPerWorker{64};

/** The state of a service worker that routing depends on. */
struct RouteTarget
{
    InstanceId instance;
    FailureDomainId domain;
    /** Requests in progress on the worker. */
    RequestCount running;
    /** Open connections, including those of running requests. */
    RequestCount connections;
    /** The current value of the adaptive concurrency limit; see adaptLimit(). */
    RequestCount limit = slotsPerWorker;
    bool ejected = false;
};

/** Returns whether the worker can accept another request within its limits. */
bool canAcceptRequest(const RouteTarget &target);

/**
 * Power-of-two-choices load balancing: compares two workers, which the caller picks at random, and
 * returns 0 or 1 for the one with less load. A worker in the caller's failure domain is preferred
 * unless the other has at least two requests less. Returns nothing when neither accepts requests.
 */
std::optional<std::size_t> chooseRoute(const RouteTarget &first, const RouteTarget &second,
                                       const FailureDomainId &callerDomain);

/** Settings of the adaptive concurrency limit. */
struct LimitSettings
{
    double minimum = 1.0;
    double maximum = 8.0;
    /** Response times up to this multiple of the minimum indicate that requests don't queue. */
    double tolerance = 2.0;
    double decreaseFactor = 0.8;
};

/** The adaptive concurrency limit of one worker. */
struct ConcurrencyLimit
{
    double value = 8.0;
    std::chrono::microseconds minResponseTime{0};
};

/**
 * Additive increase, multiplicative decrease: a success within the tolerated response time raises
 * the limit by 1/limit; any other response multiplies it by decreaseFactor.
 */
void adaptLimit(ConcurrencyLimit &limit, std::chrono::microseconds response, bool succeeded,
                const LimitSettings &settings);

/** Settings of outlier ejection. */
struct EjectionSettings
{
    /** Workers with fewer requests are not judged. */
    std::uint32_t minRequests = 10;
    /** An outlier's failure rate exceeds the median by at least this much. */
    double excessFailureRate = 0.3;
    /** Upper bound for the fraction of workers that are ejected. */
    double maxEjectedFraction = 0.3;
};

/** Requests and failures of a worker in the latest window. */
struct TargetStats
{
    InstanceId instance;
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
};

/** Returns the workers to eject, highest failure rate first, within maxEjectedFraction. */
std::vector<InstanceId> chooseEjections(const std::vector<TargetStats> &records,
                                        const EjectionSettings &settings);

} // namespace gooseberry
