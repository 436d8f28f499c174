#pragma once

#include <base/base.h>
#include <fleet/upstream.h>

namespace gooseberry {

/** What a worker instance declares about itself. */
struct InstanceSpec
{
    InstanceId id;
    RackId rack;
    FailureDomainId domain;
    Resources capacity;
    Upstream upstream;

    bool operator==(const InstanceSpec &other) const = default;
};

/** A worker instance and what is promised on it, as one consistent reading. */
struct Instance
{
    InstanceSpec spec;
    /** Held by running tasks, according to the committed log. */
    Resources promised;
    /** Held by the leader's decisions that are not committed yet. */
    Resources reserved;
    /** True once the worker has announced its departure; it gets no new work. */
    bool departing = false;
    /** False while the leader has no live lease with the worker. */
    bool reachable = true;

    bool operator==(const Instance &other) const = default;
};

/** Returns what is neither promised nor reserved. */
Resources freeCapacity(const Instance &instance);

} // namespace gooseberry
