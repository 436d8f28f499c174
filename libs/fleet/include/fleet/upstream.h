#pragma once

#include <string>

#include <base/base.h>

namespace gooseberry {

/** A worker process as it announces itself: the service it offers and its address. */
struct Upstream
{
    /** The service whose work it accepts; empty for any work. */
    std::string service;
    Address address;
    /** Differs for every start of the process; a new one means no earlier attempt still runs. */
    std::string incarnation;

    bool operator==(const Upstream &other) const = default;
};

} // namespace gooseberry
