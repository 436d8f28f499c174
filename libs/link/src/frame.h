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
    Request = 5, ///< An 8-byte correlation id, repeated by the reply, precedes the payload.
    Reply = 6,
};

/** Tells whether a queued frame can still be cancelled. */
enum class SendState {
    Queued,
    Written, ///< Passed to a socket, at least in part.
    Cancelled,
};

struct Frame
{
    FrameKind kind = FrameKind::Message;
    /** Matches a Reply to its Request; 0 for other kinds. */
    std::uint64_t correlationId = 0;
    std::string payload;
    /** Shared with a sender that may cancel the frame; null for other frames. */
    std::shared_ptr<std::atomic<SendState>> sendState;
};

/** The content of the first frame on a link, which identifies the sender. */
struct Hello
{
    std::string cellName;
    InstanceId sender;
};

constexpr std::size_t frameLengthSize = 4;
/** Bounds the memory that an unidentified sender can make this instance allocate. */
constexpr std::size_t maxHelloSize = 1024;

/** Returns the bytes that precede the payload: length, kind and correlation id. */
std::string encodeFrameHeader(const Frame &frame);
/** Returns the frame length encoded in the four bytes. */
std::uint32_t decodeFrameLength(const std::array<unsigned char, frameLengthSize> &bytes);
/** Parses the bytes after the length; nullopt for an unknown kind or too few bytes. */
std::optional<Frame> decodeFrame(std::string bytes);

std::string encodeHello(const Hello &hello);
std::optional<Hello> decodeHello(const std::string &payload);

} // namespace gooseberry
