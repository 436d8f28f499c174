#include <journal/snapshot_store.h>

#include <array>
#include <cstdio>

#include "encoding.h"

namespace gooseberry {

namespace {

constexpr std::string_view prefix = "snapshot-";
constexpr std::string_view suffix = ".snap";
constexpr std::size_t headerSize = 2 * sizeof(std::uint64_t);

std::string fileName(LogIndex lastIndex)
{
    // Zero-padded, so that the names sort by index.
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%020llu",
                  static_cast<unsigned long long>(lastIndex.value));
    return std::string(prefix) + digits.data() + std::string(suffix);
}

bool isSnapshot(const std::string &name)
{
    return name.starts_with(prefix) && name.ends_with(suffix);
}

} // namespace

SnapshotStore::SnapshotStore(FileSystem &fileSystem, std::filesystem::path snapshotFolder)
    : files(fileSystem)
    , folder(std::move(snapshotFolder))
{
}

Status SnapshotStore::save(LogIndex lastIndex, std::string_view bytes)
{
    std::string body;
    body.reserve(headerSize + bytes.size());
    appendNumber(body, std::uint64_t{0});
    appendNumber(body, lastIndex.value);
    body += bytes;
    const std::uint64_t checksum = checksumOf(std::string_view(body).substr(sizeof(std::uint64_t)));
    std::memcpy(body.data(), &checksum, sizeof checksum);
    const std::string name = fileName(lastIndex);
    if (Status status = replaceFile(this->files, this->folder / name, body); !ok(status)) {
        return status;
    }
    const auto names = this->files.list(this->folder);
    if (!ok(names)) {
        return errorOf(names);
    }
    for (const std::string &other : valueOf(names)) {
        if (isSnapshot(other) && other < name) {
            if (Status status = this->files.remove(this->folder / other); !ok(status)) {
                return status;
            }
        }
    }
    return this->files.syncFolder(this->folder);
}

Result<std::optional<StoredSnapshot>> SnapshotStore::load() const
{
    const auto names = this->files.list(this->folder);
    if (!ok(names)) {
        return errorOf(names);
    }
    std::string newest;
    for (const std::string &name : valueOf(names)) {
        newest = isSnapshot(name) ? name : newest;
    }
    if (newest.empty()) {
        return std::optional<StoredSnapshot>();
    }
    auto body = readFile(this->files, this->folder / newest);
    if (!ok(body)) {
        return errorOf(body);
    }
    const std::string &contents = valueOf(body);
    if (contents.size() < headerSize
        || readNumber<std::uint64_t>(contents, 0)
            != checksumOf(std::string_view(contents).substr(sizeof(std::uint64_t)))) {
        return corruptError((this->folder / newest).string(), 0, "checksum mismatch");
    }
    return std::optional(StoredSnapshot{
        .lastIndex = LogIndex(readNumber<std::uint64_t>(contents, sizeof(std::uint64_t))),
        .bytes = contents.substr(headerSize)});
}

} // namespace gooseberry
