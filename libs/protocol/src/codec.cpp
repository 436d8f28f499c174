#include <protocol/codec.h>

#include <algorithm>
#include <exception>
#include <limits>
#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "convert.h"

namespace gooseberry {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

template<typename Wire>
std::string write(const Wire &message)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

Error corrupt(const std::string &kind, const std::string &reason)
{
    return Error{.code = ErrorCode::Corrupt,
                 .step = Step::Parse,
                 .peer = {},
                 .message = kind + " can't be decoded: " + reason,
                 .outcome = Outcome::NotRun};
}

template<typename Plain, typename Wire>
Result<Plain> read(const std::string &kind, std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > std::numeric_limits<std::int32_t>::max()) {
        return corrupt(kind, "size " + std::to_string(bytes.size()) + " is out of range");
    }
    try {
        // OBSERVE mode only reads the bytes, but Thrift's interface takes a non-const pointer.
        auto *data
            = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(bytes.data()));
        const int size = static_cast<int>(bytes.size());
        // The limits below are stricter than Thrift's own limit of 100 MB for a whole message,
        // which a snapshot may exceed.
        const auto buffer = std::make_shared<TMemoryBuffer>(
            data, static_cast<std::uint32_t>(size), TMemoryBuffer::OBSERVE,
            std::make_shared<TConfiguration>(std::numeric_limits<int>::max()));
        // No string or container can have more elements than the message has bytes.
        const int containerLimit = std::min(size, static_cast<int>(maxContainerSize));
        TCompactProtocolT<TMemoryBuffer> protocol(buffer, size, containerLimit);
        Wire message;
        message.read(&protocol);
        if (buffer->available_read() != 0) {
            return corrupt(kind,
                           std::to_string(buffer->available_read())
                               + " unexpected bytes after the message");
        }
        return fromWire(std::move(message));
    } catch (const std::exception &error) {
        return corrupt(kind, error.what());
    }
}

} // namespace

std::string encode(const StampedCommand &command)
{
    return write(toWire(command));
}

std::string encode(const CellImage &image)
{
    return write(toWire(image));
}

std::string encode(const QuorumMessage &message)
{
    return write(toWire(message));
}

std::string encode(const PeerMessage &message)
{
    return write(toWire(message));
}

Result<StampedCommand> decodeCommand(std::string_view bytes)
{
    return read<StampedCommand, wire::StampedCommand>("command", bytes);
}

Result<CellImage> decodeImage(std::string_view bytes)
{
    return read<CellImage, wire::CellImage>("snapshot", bytes);
}

Result<QuorumMessage> decodeQuorumMessage(std::string_view bytes)
{
    return read<QuorumMessage, wire::QuorumMessage>("quorum message", bytes);
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return read<PeerMessage, wire::PeerMessage>("peer message", bytes);
}

} // namespace gooseberry
