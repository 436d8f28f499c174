#pragma once

#include <base/base.h>

namespace gooseberry {

/** A part of a region that may fail as a whole and is taken out of service as a whole. */
struct FailureDomain
{
    FailureDomainId id;
    RegionId region;
    /** False while operators have taken it out of service; then no task starts there. */
    bool inService = true;

    bool operator==(const FailureDomain &other) const = default;
};

} // namespace gooseberry
