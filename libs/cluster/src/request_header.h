#pragma once

#include <chrono>

namespace gooseberry {

/** What a node says about a request that it sends to another node; one byte of the frame. */
struct RequestHeader
{
    /** A relayed request is not relayed again, so that it can't circulate. */
    bool relayed = false;
    /** How long ago the first node received the request. */
    std::chrono::milliseconds waited{0};
};

/**
 * Encodes the waiting time in multiples of 50 ms, rounded down, up to 5.15 s. Without a waiting
 * time the byte is what nodes of earlier versions send. Such a node serves a request with any
 * header if it leads, and otherwise relays only those whose header says that they are new.
 */
char encodeRequestHeader(const RequestHeader &header);
RequestHeader decodeRequestHeader(char byte);

} // namespace gooseberry
