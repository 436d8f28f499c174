#pragma once

#include <rapidcheck.h>

#include <protocol/protocol.h>

/** RapidCheck generators of random messages. Call them only from within a property. */
namespace gooseberry::generate {

template<typename T>
T any()
{
    return *rc::gen::arbitrary<T>();
}

template<typename Enum>
Enum oneOf(std::initializer_list<Enum> values)
{
    return *rc::gen::elementOf(std::vector<Enum>(values));
}

template<typename Make>
auto listOf(Make make)
{
    std::vector<decltype(make())> out;
    const int count = *rc::gen::inRange(0, 4);
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        out.push_back(make());
    }
    return out;
}

template<typename Id>
Id id()
{
    return Id(any<decltype(Id{}.value)>());
}

template<typename Id>
std::set<Id> idSet()
{
    const std::vector<Id> ids = listOf([]() { return id<Id>(); });
    return {ids.begin(), ids.end()};
}

inline CellTime time()
{
    return CellTime(std::chrono::milliseconds(any<std::int64_t>()));
}

Resources resources();
CellConfig cellConfig();
JobSpec jobSpec();
InstanceSpec instanceSpec();
Command command();
CellImage cellImage();
QuorumMessage quorumMessage();
PeerMessage peerMessage();

} // namespace gooseberry::generate
