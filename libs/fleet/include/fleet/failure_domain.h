#pragma once

#include <base/base.h>

namespace gooseberry {

/** A part of a region that fails as a whole and that operators take out as a whole. */
struct FailureDomain
{
    FailureDomainId id;
    RegionId region;
    /** False from the moment operators take it out; then no task starts there. */
    bool inService = true;

    bool operator==(const FailureDomain &other) const = default;
};

} // namespace gooseberry
