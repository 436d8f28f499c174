#include <base/address.h>

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace gooseberry {

namespace {

Error invalidAddress(const std::string &text, const std::string &reason)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Parse,
                 .peer = {},
                 .message = "address '" + text + "' " + reason,
                 .outcome = Outcome::NotRun};
}

bool isIpNumber(const std::string &host)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, host.c_str(), buffer.data()) == 1
        || inet_pton(AF_INET6, host.c_str(), buffer.data()) == 1;
}

} // namespace

std::string toString(const Address &address)
{
    const bool isV6 = address.host.find(':') != std::string::npos;
    const std::string host = isV6 ? '[' + address.host + ']' : address.host;
    return host + ':' + std::to_string(address.port);
}

Result<Address> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return invalidAddress(text, "has no port; expected IP:PORT");
    }
    Address address;
    address.host = text.substr(0, colon);
    if (address.host.size() > 2 && address.host.front() == '[' && address.host.back() == ']') {
        address.host = address.host.substr(1, address.host.size() - 2);
    }
    if (!isIpNumber(address.host)) {
        return invalidAddress(text, "does not start with a numeric IP address");
    }
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, address.port);
    if (error != std::errc() || end != last || address.port == 0) {
        return invalidAddress(text, "has no port between 1 and 65535");
    }
    return address;
}

} // namespace gooseberry
