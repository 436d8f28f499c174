#include <journal/metadata_file.h>

#include "encoding.h"

namespace gooseberry {

MetadataFile::MetadataFile(FileSystem &fileSystem, std::filesystem::path file)
    : files(fileSystem)
    , path(std::move(file))
{
}

Status MetadataFile::save(std::string_view value)
{
    std::string bytes;
    appendNumber(bytes, checksumOf(value));
    bytes += value;
    return replaceFile(this->files, this->path, bytes);
}

Result<std::optional<std::string>> MetadataFile::load() const
{
    auto bytes = readFile(this->files, this->path);
    if (!ok(bytes)) {
        if (errorOf(bytes).code == ErrorCode::NotFound) {
            return std::optional<std::string>();
        }
        return errorOf(bytes);
    }
    const std::string &contents = valueOf(bytes);
    if (contents.size() < sizeof(std::uint64_t)
        || readNumber<std::uint64_t>(contents, 0)
            != checksumOf(std::string_view(contents).substr(sizeof(std::uint64_t)))) {
        return corruptError(this->path.string(), 0, "checksum mismatch");
    }
    return std::optional(contents.substr(sizeof(std::uint64_t)));
}

} // namespace gooseberry
