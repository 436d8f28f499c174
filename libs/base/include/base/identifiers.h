#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace gooseberry {

/**
 * A strongly typed identifier. Identifiers with different tags neither compare nor convert, so a
 * job id can't be passed where an instance id is expected.
 */
template<typename Tag, typename Value>
struct StrongId
{
    Value value{};

    constexpr StrongId() = default;
    constexpr explicit StrongId(Value initial)
        : value(std::move(initial))
    {
    }

    auto operator<=>(const StrongId &other) const = default;
};

/** Names chosen by operators, or by upstreams when they register. */
using InstanceId = StrongId<struct InstanceTag, std::string>;
using FailureDomainId = StrongId<struct FailureDomainTag, std::string>;
using RackId = StrongId<struct RackTag, std::string>;
using RegionId = StrongId<struct RegionTag, std::string>;
using CustomerId = StrongId<struct CustomerTag, std::string>;
/** A team's id is unique within the cell: "customer/team". */
using TeamId = StrongId<struct TeamTag, std::string>;
/** A queue's id is unique within the cell: "customer/queue". */
using QueueId = StrongId<struct QueueTag, std::string>;
using KeyId = StrongId<struct KeyTag, std::string>;
/** An idempotency key that the caller chooses; a resend of the request carries the same one. */
using RequestId = StrongId<struct RequestTag, std::string>;

/** Numbers assigned by the system. */
using JobId = StrongId<struct JobTag, std::uint64_t>;
using Attempt = StrongId<struct AttemptTag, std::uint32_t>;
/** Election term of the replicated log; a higher term invalidates lower ones. */
using Term = StrongId<struct TermTag, std::uint64_t>;
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;

/** One task of a job. Tasks are numbered from 0. */
struct TaskId
{
    JobId job;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId &other) const = default;
};

/** One attempt to run a task. A task has at most one running attempt at a time. */
struct AttemptId
{
    TaskId task;
    Attempt attempt;

    auto operator<=>(const AttemptId &other) const = default;
};

/** Returns "job.index", the form used in logs, routes and responses. */
std::string toString(const TaskId &task);

/** Returns "job.index.attempt". */
std::string toString(const AttemptId &attempt);

} // namespace gooseberry

template<typename Tag, typename Value>
struct std::hash<gooseberry::StrongId<Tag, Value>>
{
    std::size_t operator()(const gooseberry::StrongId<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>{}(id.value);
    }
};

template<>
struct std::hash<gooseberry::TaskId>
{
    std::size_t operator()(const gooseberry::TaskId &task) const noexcept
    {
        // The multiplier spreads consecutive task numbers of one job over the hash range.
        constexpr std::size_t mixMultiplier = 0x9E3779B97F4A7C15ULL;
        return std::hash<std::uint64_t>{}(task.job.value) ^ (task.index * mixMultiplier);
    }
};
