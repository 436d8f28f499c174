#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <base/error.h>

namespace gooseberry {

/** Where a process listens. The host is an IP number, since the system resolves no names. */
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &other) const = default;
};

/** Returns "host:port", with brackets around an IPv6 number. */
std::string toString(const Address &address);

/** Reads "host:port". Fails with InvalidArgument for a name, a missing port or a port of 0. */
Result<Address> parseAddress(const std::string &text);

} // namespace gooseberry
