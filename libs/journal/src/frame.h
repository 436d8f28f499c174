#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <base/base.h>

namespace gooseberry {

// A segment file consists of a segment header followed by frames. The layout of a frame:
//   checksum u64 | magic u32 | body size u32 | first index u64 | record count u32 | zero u32 | body
// The body contains, for each record: size u32 | bytes. The checksum covers everything after it.

constexpr std::size_t frameHeaderSize = 32;
constexpr std::size_t segmentHeaderSize = 32;

struct FrameHeader
{
    std::uint32_t bodySize = 0;
    LogIndex first;
    std::uint32_t count = 0;
};

struct SegmentHeader
{
    std::uint64_t sequence = 0;
    /**
     * The index of the first record. If it is greater than the next index of the previous segment,
     * the earlier records were discarded by truncatePrefix().
     */
    LogIndex first;
};

std::string encodeFrame(LogIndex first, const std::vector<std::string> &records);

/** Returns the frame header at the offset, or nullopt if the frame is incomplete or corrupt. */
std::optional<FrameHeader> decodeFrameHeader(std::string_view bytes, std::size_t offset);

/** Returns whether a complete frame with a valid checksum starts at or after the offset. */
bool containsIntactFrame(std::string_view bytes, std::size_t offset);

std::string encodeSegmentHeader(const SegmentHeader &header);
/** Returns nullopt if the header is incomplete or corrupt. */
std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes);

} // namespace gooseberry
