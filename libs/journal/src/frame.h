#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <base/base.h>

namespace gooseberry {

// Layout of a segment file: a header, then frames. A frame is
//   checksum u64 | magic u32 | body size u32 | first index u64 | record count u32 | zero u32 | body
// and its body is, for each record, size u32 | bytes. The checksum covers everything after it.

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
    /** The index that the first record gets. A gap before it means that the log was restarted. */
    LogIndex first;
};

std::string encodeFrame(LogIndex first, const std::vector<std::string> &records);

/** Returns the frame at the offset, or nothing when it is incomplete or fails its check. */
std::optional<FrameHeader> decodeFrameHeader(std::string_view bytes, std::size_t offset);

/** Returns whether an intact frame begins anywhere at or after the offset. */
bool containsIntactFrame(std::string_view bytes, std::size_t offset);

std::string encodeSegmentHeader(const SegmentHeader &header);
std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes);

} // namespace gooseberry
