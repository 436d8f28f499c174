#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include <base/base.h>
#include <journal/file_system.h>

namespace gooseberry {

/** A small value that is replaced as a whole, such as term and vote. */
class MetadataFile
{
public:
    MetadataFile(FileSystem &fileSystem, std::filesystem::path file);

    /** Durable on success; after a failure the old or the new value is found on recovery. */
    Status save(std::string_view value);
    /** Returns nothing when no value was ever saved. Fails with Corrupt on a failed check. */
    Result<std::optional<std::string>> load() const;

private:
    FileSystem &files;
    std::filesystem::path path;
};

} // namespace gooseberry
