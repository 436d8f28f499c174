#include "frame.h"

#include <utility>

namespace gooseberry {

namespace {

constexpr std::size_t kindSize = 1;
constexpr std::size_t correlationIdSize = 8;
constexpr unsigned bitsPerByte = 8;
/** First byte of a hello; changes with every incompatible change of the frame format. */
constexpr char formatVersion = 1;

bool hasCorrelationId(FrameKind kind)
{
    return kind == FrameKind::Request || kind == FrameKind::Reply;
}

void appendBigEndian(std::string &out, std::uint64_t value, std::size_t size)
{
    for (std::size_t i = size; i > 0; --i) {
        out.push_back(static_cast<char>(value >> ((i - 1) * bitsPerByte)));
    }
}

template<typename Bytes>
std::uint64_t readBigEndian(const Bytes &bytes, std::size_t offset, std::size_t size)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
        value = (value << bitsPerByte) | static_cast<unsigned char>(bytes[offset + i]);
    }
    return value;
}

} // namespace

std::string encodeFrameHeader(const Frame &frame)
{
    std::string header;
    const std::size_t idSize = hasCorrelationId(frame.kind) ? correlationIdSize : 0;
    appendBigEndian(header, kindSize + idSize + frame.payload.size(), frameLengthSize);
    header.push_back(static_cast<char>(frame.kind));
    if (idSize > 0) {
        appendBigEndian(header, frame.correlationId, correlationIdSize);
    }
    return header;
}

std::uint32_t decodeFrameLength(const std::array<unsigned char, frameLengthSize> &bytes)
{
    return static_cast<std::uint32_t>(readBigEndian(bytes, 0, frameLengthSize));
}

std::optional<Frame> decodeFrame(std::string bytes)
{
    if (bytes.empty() || bytes[0] < static_cast<char>(FrameKind::Hello)
        || bytes[0] > static_cast<char>(FrameKind::Reply)) {
        return std::nullopt;
    }
    Frame frame;
    frame.kind = static_cast<FrameKind>(bytes[0]);
    std::size_t start = kindSize;
    if (hasCorrelationId(frame.kind)) {
        if (bytes.size() < kindSize + correlationIdSize) {
            return std::nullopt;
        }
        frame.correlationId = readBigEndian(bytes, kindSize, correlationIdSize);
        start += correlationIdSize;
    }
    bytes.erase(0, start);
    frame.payload = std::move(bytes);
    return frame;
}

std::string encodeHello(const Hello &hello)
{
    std::string payload(1, formatVersion);
    payload += hello.cellName + '\0' + hello.sender.value;
    return payload;
}

std::optional<Hello> decodeHello(const std::string &payload)
{
    const std::size_t separator = payload.find('\0');
    if (payload.empty() || payload[0] != formatVersion || separator == std::string::npos
        || separator + 1 == payload.size()) {
        return std::nullopt;
    }
    return Hello{.cellName = payload.substr(1, separator - 1),
                 .sender = InstanceId(payload.substr(separator + 1))};
}

} // namespace gooseberry
