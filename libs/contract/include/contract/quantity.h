#pragma once

#include <chrono>
#include <string>

#include <base/base.h>
#include <contract/document.h>

namespace gooseberry {

/** The largest amounts that a declaration may contain; sums of many of them don't overflow. */
constexpr std::int64_t maxDeclaredCores = 1'000'000;
constexpr Bytes maxDeclaredMemory(1LL << 50);
constexpr std::int64_t maxDeclaredCount = 1'000'000;

/** Reads cores with up to three decimals, such as "16" or "0.5". Fails with InvalidArgument. */
Result<CpuMillis> parseCores(const std::string &text);
/** Reads memory as a number with up to three decimals and a unit: "512MiB", "1.5GiB", "2TiB". */
Result<Bytes> parseMemory(const std::string &text);
/** Reads a duration as a whole number with a unit: "200ms", "6s", "15m", "2h". */
Result<std::chrono::milliseconds> parseDuration(const std::string &text);

/** Returns the shortest text from which the matching parser reads the same amount. */
std::string writeCores(CpuMillis cores);
std::string writeMemory(Bytes memory);
/** Returns a text for display, such as "16 cores, 64GiB, 2 accelerators, 8 slots". */
std::string writeResources(const Resources &amount);

/** The resource that a quantity measures. */
enum class QuantityKind {
    Cores,
    Memory,
    Accelerators,
    Slots,
};

std::string toString(QuantityKind kind);

/** Reads a quantity: cores in thousandths, memory in bytes, all others as whole numbers. */
Result<std::int64_t> parseQuantity(QuantityKind kind, const std::string &text);

/**
 * Reads a map with cores, memory, accelerators and slots. With requireNonZero, all of them except
 * accelerators are required and must be above zero.
 */
Resources readResources(const DocumentNode &node, const std::string &description,
                        bool requireNonZero, Problems &problems);

} // namespace gooseberry
