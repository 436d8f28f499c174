#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <base/identifiers.h>

namespace gooseberry {

/** Processor time in thousandths of a core. */
using CpuMillis = StrongId<struct CpuMillisTag, std::int64_t>;
/** Memory or message size in bytes. */
using Bytes = StrongId<struct BytesTag, std::int64_t>;
/** A number of whole accelerators. */
using AcceleratorCount = StrongId<struct AcceleratorTag, std::int64_t>;
/** A number of task slots. */
using SlotCount = StrongId<struct SlotTag, std::int64_t>;

/** The kinds of resources that instances offer and tasks require. */
enum class Dimension {
    Cpu,
    Memory,
    Accelerators,
    Slots,
};

/** Returns the name used in messages: "cpu", "memory", "accelerators" or "slots". */
std::string toString(Dimension dimension);

/** An amount of each resource. Amounts of a valid instance or task are never negative. */
struct Resources
{
    CpuMillis cpu;
    Bytes memory;
    AcceleratorCount accelerators;
    SlotCount slots;

    bool operator==(const Resources &other) const = default;
};

/** Returns the sum, or nullopt when a dimension overflows. */
std::optional<Resources> add(const Resources &left, const Resources &right);

/** Returns left minus right, or nullopt when a dimension would fall below zero. */
std::optional<Resources> subtract(const Resources &left, const Resources &right);

/** Returns the amount times count, or nullopt when a dimension overflows. */
std::optional<Resources> multiply(const Resources &amount, std::uint32_t count);

/** Returns the first dimension in which wanted exceeds available, or nullopt when it fits. */
std::optional<Dimension> firstShortage(const Resources &wanted, const Resources &available);

/** Returns whether every dimension is zero or more. */
bool isNonNegative(const Resources &amount);

/**
 * Returns the dominant share: the largest fraction of the capacity that the amount uses in any
 * dimension, between 0 and 1 for an amount that fits. Dimensions without capacity count as 0.
 */
double dominantShare(const Resources &amount, const Resources &capacity);

} // namespace gooseberry
