#include "request_header.h"

#include <algorithm>
#include <cstdint>

namespace gooseberry {

namespace {

/** Earlier versions send only this value and the next one, for a relayed request. */
constexpr std::uint8_t firstValue = '0';
/** The lowest bit, counted from the first value, tells whether the request is relayed. */
constexpr int relayedValues = 2;
constexpr std::chrono::milliseconds waitingUnit{50};
constexpr std::int64_t maxWaitingUnits = (UINT8_MAX - firstValue) / relayedValues;

} // namespace

char encodeRequestHeader(const RequestHeader &header)
{
    const std::int64_t units
        = std::clamp<std::int64_t>(header.waited / waitingUnit, 0, maxWaitingUnits);
    return static_cast<char>(firstValue + units * relayedValues + (header.relayed ? 1 : 0));
}

RequestHeader decodeRequestHeader(char byte)
{
    const auto value = static_cast<std::uint8_t>(static_cast<std::uint8_t>(byte) - firstValue);
    return RequestHeader{.relayed = value % relayedValues == 1,
                         .waited = waitingUnit * (value / relayedValues)};
}

} // namespace gooseberry
