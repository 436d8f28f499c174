#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <base/base.h>

namespace gooseberry {

enum class FrameKind : std::uint8_t {
    Hello = 1,
    Heartbeat = 2,
    HeartbeatReply = 3,
    Message = 4,
    Request = 5, ///< The payload is preceded by 8 bytes that the reply repeats.
    Reply = 6,
};

/** Whether a frame that was queued may still be taken back. */
enum class SendState {
    Queued,
    Written, ///< Handed to a socket, at least in part.
    Cancelled,
};

struct Frame
{
    FrameKind kind = FrameKind::Message;
    /** Identifies a Request and its Reply; 0 for other kinds. */
    std::uint64_t correlationId = 0;
    std::string payload;
    /** Set for a frame whose sender may withdraw it. */
    std::shared_ptr<std::atomic<SendState>> sendState;
};

/** The parties of a hello. */
struct Hello
{
    std::string cellName;
    InstanceId sender;
};

constexpr std::size_t frameLengthSize = 4;
/** Bounds what an unknown sender may make this instance store. */
constexpr std::size_t maxHelloSize = 1024;

/** Returns the bytes that precede the payload: length, kind and correlationId. */
std::string encodeFrameHeader(const Frame &frame);
/** Returns the length that the four bytes hold. */
std::uint32_t decodeFrameLength(const std::array<unsigned char, frameLengthSize> &bytes);
/** Splits the bytes after the length; nothing for an unknown kind or too few bytes. */
std::optional<Frame> decodeFrame(std::string bytes);

std::string encodeHello(const Hello &hello);
std::optional<Hello> decodeHello(const std::string &payload);

} // namespace gooseberry
