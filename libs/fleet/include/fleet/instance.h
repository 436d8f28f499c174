#pragma once

#include <base/base.h>
#include <fleet/upstream.h>

namespace gooseberry {

/** The declaration of a worker instance, as it announces itself. */
struct InstanceSpec
{
    InstanceId id;
    RackId rack;
    FailureDomainId domain;
    Resources capacity;
    Upstream upstream;

    bool operator==(const InstanceSpec &other) const = default;
};

/** A worker instance with its allocated and reserved resources, read under one lock. */
struct Instance
{
    InstanceSpec spec;
    /** Resources of running tasks, according to the committed log. */
    Resources allocated;
    /** Resources of the leader's decisions that are not committed yet. */
    Resources reserved;
    /** True once the worker has announced its departure; no new task starts on it. */
    bool departing = false;
    /** False while the worker holds no valid lease from the leader. */
    bool reachable = true;

    bool operator==(const Instance &other) const = default;
};

/** Returns the capacity that is neither allocated nor reserved. */
Resources freeCapacity(const Instance &instance);

} // namespace gooseberry
