#pragma once

#include <string>
#include <string_view>

#include <base/base.h>
#include <cell/cell.h>
#include <protocol/peer_message.h>
#include <quorum/quorum.h>

namespace gooseberry {

/**
 * Returns the message as bytes. Equal messages give equal bytes. In a CellImage, no spec of a job
 * may be null. A single string may have at most 2 GiB, a whole message less than 4 GiB.
 */
std::string encode(const StampedCommand &command);
std::string encode(const CellImage &image);
std::string encode(const QuorumMessage &message);
std::string encode(const PeerMessage &message);

/**
 * Reads a whole message. Any bytes are safe: those that are no complete message of the kind, have
 * an unknown enum value or have bytes left over yield Corrupt at step Parse. Memory is bounded by
 * a small multiple of the input's size and by maxContainerSize entries per container.
 */
Result<StampedCommand> decodeCommand(std::string_view bytes);
Result<CellImage> decodeImage(std::string_view bytes);
Result<QuorumMessage> decodeQuorumMessage(std::string_view bytes);
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

/** The most entries of one list, set or map; far above the jobs kept at the target size. */
constexpr std::size_t maxContainerSize = 1'000'000;

} // namespace gooseberry
