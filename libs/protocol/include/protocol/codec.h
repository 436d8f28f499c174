#pragma once

#include <string>
#include <string_view>

#include <base/base.h>
#include <cell/cell.h>
#include <protocol/peer_message.h>
#include <quorum/quorum.h>

namespace gooseberry {

/**
 * Serializes the message. The encoding is deterministic: equal messages give equal bytes. In a
 * CellImage, no job's spec may be null. A single string may have at most 2 GiB, and a whole message
 * must be smaller than 4 GiB.
 */
std::string encode(const StampedCommand &command);
std::string encode(const CellImage &image);
std::string encode(const QuorumMessage &message);
std::string encode(const PeerMessage &message);

/**
 * Parses a complete message. Safe for untrusted input: an incomplete message, another kind of
 * message, an unknown enum value or trailing bytes yield Corrupt at step Parse. Memory use is
 * bounded by a small multiple of the input size and by maxContainerSize entries per container.
 */
Result<StampedCommand> decodeCommand(std::string_view bytes);
Result<CellImage> decodeImage(std::string_view bytes);
Result<QuorumMessage> decodeQuorumMessage(std::string_view bytes);
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

/** Maximum entries of one list, set or map; far above the number of jobs at the target size. */
constexpr std::size_t maxContainerSize = 1'000'000;

} // namespace gooseberry
