#include "frame.h"

#include "encoding.h"

namespace gooseberry {

namespace {

constexpr std::uint32_t frameMagic = 0x52464C47; // "GLFR"
constexpr std::uint64_t segmentMagic = 0x31304745534C47; // "GLSEG01"
constexpr std::size_t checksumSize = sizeof(std::uint64_t);
constexpr std::size_t magicOffset = 8;
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
    appendNumber(frame, frameMagic);
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

std::optional<FrameHeader> decodeFrameHeader(std::string_view bytes, std::size_t offset)
{
    if (bytes.size() < offset + frameHeaderSize
        || readNumber<std::uint32_t>(bytes, offset + magicOffset) != frameMagic) {
        return std::nullopt;
    }
    const auto bodySize = readNumber<std::uint32_t>(bytes, offset + bodySizeOffset);
    const std::size_t frameSize = frameHeaderSize + bodySize;
    if (bytes.size() - offset < frameSize
        || readNumber<std::uint64_t>(bytes, offset)
            != checksumOf(bytes.substr(offset + checksumSize, frameSize - checksumSize))) {
        return std::nullopt;
    }
    return FrameHeader{.bodySize = bodySize,
                       .first = LogIndex(readNumber<std::uint64_t>(bytes, offset + firstOffset)),
                       .count = readNumber<std::uint32_t>(bytes, offset + countOffset)};
}

bool containsIntactFrame(std::string_view bytes, std::size_t offset)
{
    const std::string_view magic(reinterpret_cast<const char *>(&frameMagic), sizeof frameMagic);
    for (std::size_t found = bytes.find(magic, offset + magicOffset);
         found != std::string_view::npos; found = bytes.find(magic, found + 1)) {
        if (decodeFrameHeader(bytes, found - magicOffset)) {
            return true;
        }
    }
    return false;
}

std::string encodeSegmentHeader(const SegmentHeader &header)
{
    std::string bytes;
    appendNumber(bytes, std::uint64_t{0});
    appendNumber(bytes, segmentMagic);
    appendNumber(bytes, header.sequence);
    appendNumber(bytes, header.first.value);
    storeChecksum(bytes);
    return bytes;
}

std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes)
{
    if (bytes.size() < segmentHeaderSize
        || readNumber<std::uint64_t>(bytes, 0)
            != checksumOf(bytes.substr(checksumSize, segmentHeaderSize - checksumSize))
        || readNumber<std::uint64_t>(bytes, checksumSize) != segmentMagic) {
        return std::nullopt;
    }
    return SegmentHeader{.sequence = readNumber<std::uint64_t>(bytes, 2 * sizeof(std::uint64_t)),
                         .first
                         = LogIndex(readNumber<std::uint64_t>(bytes, 3 * sizeof(std::uint64_t)))};
}

} // namespace gooseberry
