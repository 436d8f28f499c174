#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include <base/base.h>
#include <journal/file_system.h>

namespace gooseberry {

/** Stores a small checksummed value that is replaced atomically, such as term and vote. */
class MetadataFile
{
public:
    MetadataFile(FileSystem &fileSystem, std::filesystem::path file);

    /** Durable on success; after a failure, load() returns either the old or the new value. */
    Status save(std::string_view value);
    /** Returns nullopt if no value was ever saved. Fails with Corrupt on a checksum mismatch. */
    Result<std::optional<std::string>> load() const;

private:
    FileSystem &files;
    std::filesystem::path path;
};

} // namespace gooseberry
