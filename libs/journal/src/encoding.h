#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include <xxhash.h>

#include <base/base.h>

namespace gooseberry {

// Numbers are stored in native byte order, since a data folder is not moved between machines.

template<typename Number>
void appendNumber(std::string &bytes, Number number)
{
    bytes.append(reinterpret_cast<const char *>(&number), sizeof number);
}

/** Reads the number at the offset, which must lie within the bytes. */
template<typename Number>
Number readNumber(std::string_view bytes, std::size_t offset)
{
    Number number{};
    std::memcpy(&number, bytes.data() + offset, sizeof number);
    return number;
}

inline std::uint64_t checksumOf(std::string_view bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

inline Error storeError(ErrorCode code, const std::string &message)
{
    return Error{.code = code,
                 .step = Step::Store,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

inline Error corruptError(const std::string &file, std::uint64_t offset, const std::string &what)
{
    return Error{.code = ErrorCode::Corrupt,
                 .step = Step::Recover,
                 .peer = {},
                 .message = file + ": " + what + " at offset " + std::to_string(offset),
                 .outcome = Outcome::NotRun};
}

} // namespace gooseberry
