#pragma once

#include <string>

#include <base/base.h>

namespace gooseberry {

/** A worker process as it announces itself: which service it offers and where it listens. */
struct Upstream
{
    /** The service whose work it accepts; empty for any work. */
    std::string service;
    Address address;
    /** Differs for every start of the process; a new one means that nothing from before runs. */
    std::string incarnation;

    bool operator==(const Upstream &other) const = default;
};

} // namespace gooseberry
