#pragma once

#include <initializer_list>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <base/base.h>
#include <cell/cell.h>
#include <contract/contract.h>
#include <fleet/fleet.h>
#include <protocol/peer_message.h>
#include <quorum/quorum.h>

#include "gooseberry_types.h"

namespace gooseberry {

/** Thrown when a wire message can't be converted; decode functions turn it into an Error. */
class CorruptMessage : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Throws CorruptMessage unless exactly one member of a union is set. */
void requireExactlyOne(const char *unionName, std::initializer_list<bool> members);

wire::Resources toWire(const Resources &amount);
Resources fromWire(const wire::Resources &in);
wire::CellConfig toWire(const CellConfig &config);
CellConfig fromWire(wire::CellConfig &&in);
wire::Key toWire(const Key &key);
Key fromWire(wire::Key &&in);
wire::JobSpec toWire(const JobSpec &spec);
JobSpec fromWire(wire::JobSpec &&in);
wire::InstanceSpec toWire(const InstanceSpec &spec);
InstanceSpec fromWire(wire::InstanceSpec &&in);

wire::StampedCommand toWire(const StampedCommand &stamped);
StampedCommand fromWire(wire::StampedCommand &&in);
wire::CellImage toWire(const CellImage &image);
CellImage fromWire(wire::CellImage &&in);

wire::QuorumMessage toWire(const QuorumMessage &message);
QuorumMessage fromWire(wire::QuorumMessage &&in);
wire::PeerMessage toWire(const PeerMessage &message);
PeerMessage fromWire(wire::PeerMessage &&in);

/** Thrift has no unsigned types; values are carried in signed types of the same width. */
inline std::int64_t toWire64(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

inline std::int32_t toWire32(std::uint32_t value)
{
    return static_cast<std::int32_t>(value);
}

inline std::uint64_t fromWire64(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

inline std::uint32_t fromWire32(std::int32_t value)
{
    return static_cast<std::uint32_t>(value);
}

inline std::int64_t toWireTime(CellTime time)
{
    return time.time_since_epoch().count();
}

inline CellTime fromWireTime(std::int64_t value)
{
    return CellTime(std::chrono::milliseconds(value));
}

template<typename Id>
std::set<std::string> toWireIds(const std::set<Id> &ids)
{
    std::set<std::string> out;
    for (const Id &id : ids) {
        out.insert(out.end(), id.value);
    }
    return out;
}

template<typename Id>
std::set<Id> fromWireIds(const std::set<std::string> &in)
{
    std::set<Id> out;
    for (const std::string &id : in) {
        out.insert(out.end(), Id(id));
    }
    return out;
}

/** Returns the wire number of an enum value, from a table of (plain, wire) pairs. */
template<typename Table, typename Plain>
std::int32_t enumToWire(const Table &table, Plain plain)
{
    for (const auto &[candidate, wireValue] : table) {
        if (candidate == plain) {
            return static_cast<std::int32_t>(wireValue);
        }
    }
    throw std::logic_error("enum value without a wire form");
}

/** Returns the enum value for a wire number; throws CorruptMessage for an unknown number. */
template<typename Table>
auto enumFromWire(const Table &table, std::int32_t number)
{
    for (const auto &[plain, candidate] : table) {
        if (static_cast<std::int32_t>(candidate) == number) {
            return plain;
        }
    }
    throw CorruptMessage("unknown enum value " + std::to_string(number));
}

} // namespace gooseberry
