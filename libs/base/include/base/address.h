#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <base/error.h>

namespace gooseberry {

/** A host and port. The host is a numeric IP address; host names are not resolved. */
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &other) const = default;
};

/** Returns "host:port", with brackets around an IPv6 address. */
std::string toString(const Address &address);

/** Parses "host:port". Fails with InvalidArgument for a host name, a missing port or port 0. */
Result<Address> parseAddress(const std::string &text);

} // namespace gooseberry
