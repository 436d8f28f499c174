#include "frame.h"

#include "encoding.h"

namespace gooseberry {

namespace {

constexpr std::uint32_t frameMark = 0x52464C47; // "GLFR"
constexpr std::uint64_t segmentMark = 0x31304745534C47; // "GLSEG01"
constexpr std::size_t checksumSize = sizeof(std::uint64_t);
constexpr std::size_t markOffset = 8;
constexpr std::size_t bodySizeOffset = 12;
constexpr std::size_t firstOffset = 16;
constexpr std::size_t countOffset = 24;

void storeChecksum(std::string &bytes)
{
    const std::uint64_t checksum = checksumOf(std::string_view(bytes).substr(checksumSize));
    std::memcpy(bytes.data(), &checksum, sizeof checksum);
}

} // namespace

std::string encodeFrame(LogIndex first, const std::vector<std::string> &records)
{
    std::size_t bodySize = 0;
    for (const std::string &record : records) {
        bodySize += sizeof(std::uint32_t) + record.size();
    }
    std::string frame;
    frame.reserve(frameHeaderSize + bodySize);
    appendNumber(frame, std::uint64_t{0});
    appendNumber(frame, frameMark);
    appendNumber(frame, static_cast<std::uint32_t>(bodySize));
    appendNumber(frame, first.value);
    appendNumber(frame, static_cast<std::uint32_t>(records.size()));
    appendNumber(frame, std::uint32_t{0});
    for (const std::string &record : records) {
        appendNumber(frame, static_cast<std::uint32_t>(record.size()));
        frame += record;
    }
    storeChecksum(frame);
    return frame;
}

std::optional<FrameHeader> frameAt(std::string_view bytes, std::size_t offset)
{
    if (bytes.size() < offset + frameHeaderSize
        || numberAt<std::uint32_t>(bytes, offset + markOffset) != frameMark) {
        return std::nullopt;
    }
    const auto bodySize = numberAt<std::uint32_t>(bytes, offset + bodySizeOffset);
    const std::size_t frameSize = frameHeaderSize + bodySize;
    if (bytes.size() - offset < frameSize
        || numberAt<std::uint64_t>(bytes, offset)
            != checksumOf(bytes.substr(offset + checksumSize, frameSize - checksumSize))) {
        return std::nullopt;
    }
    return FrameHeader{.bodySize = bodySize,
                       .first = LogIndex(numberAt<std::uint64_t>(bytes, offset + firstOffset)),
                       .count = numberAt<std::uint32_t>(bytes, offset + countOffset)};
}

bool intactFrameFollows(std::string_view bytes, std::size_t offset)
{
    const std::string_view mark(reinterpret_cast<const char *>(&frameMark), sizeof frameMark);
    for (std::size_t found = bytes.find(mark, offset + markOffset); found != std::string_view::npos;
         found = bytes.find(mark, found + 1)) {
        if (frameAt(bytes, found - markOffset)) {
            return true;
        }
    }
    return false;
}

std::string encodeSegmentHeader(const SegmentHeader &header)
{
    std::string bytes;
    appendNumber(bytes, std::uint64_t{0});
    appendNumber(bytes, segmentMark);
    appendNumber(bytes, header.sequence);
    appendNumber(bytes, header.first.value);
    storeChecksum(bytes);
    return bytes;
}

std::optional<SegmentHeader> segmentHeaderOf(std::string_view bytes)
{
    if (bytes.size() < segmentHeaderSize
        || numberAt<std::uint64_t>(bytes, 0)
            != checksumOf(bytes.substr(checksumSize, segmentHeaderSize - checksumSize))
        || numberAt<std::uint64_t>(bytes, checksumSize) != segmentMark) {
        return std::nullopt;
    }
    return SegmentHeader{.sequence = numberAt<std::uint64_t>(bytes, 2 * sizeof(std::uint64_t)),
                         .first
                         = LogIndex(numberAt<std::uint64_t>(bytes, 3 * sizeof(std::uint64_t)))};
}

} // namespace gooseberry
