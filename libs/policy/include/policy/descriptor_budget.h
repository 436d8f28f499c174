#pragma once

#include <cstddef>

#include <base/base.h>

namespace gooseberry {

/** What a process uses descriptors for, beside its links. */
struct DescriptorDemand
{
    bool servesCallers = false;
    bool servesControl = false;
};

/** How many descriptors each use may take; the sum is at most the limit of the process. */
struct DescriptorBudget
{
    std::size_t callers = 0;
    std::size_t control = 0;
    /** Readiness checks and metrics, each. */
    std::size_t monitoring = 0;
    /** Orders to workers; a fleet larger than this shares these connections. */
    std::size_t orders = 0;
    std::size_t advice = 0;
};

/**
 * Splits the limit of open descriptors by use. It answers a burst on a cell with more workers than
 * the limit allows connections: without a budget, orders take every descriptor, and then links,
 * files and the calls of workers fail. Returns InvalidArgument if the limit is too low for every
 * use to get its minimum.
 */
Result<DescriptorBudget> splitDescriptors(std::size_t limit, const DescriptorDemand &demand);

} // namespace gooseberry
