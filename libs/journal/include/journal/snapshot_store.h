#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include <base/base.h>
#include <journal/file_system.h>

namespace gooseberry {

/** The serialized state after applying all records up to and including lastIndex. */
struct StoredSnapshot
{
    LogIndex lastIndex;
    std::string bytes;
};

/** Stores snapshots as files in one folder and keeps only the newest. Not thread-safe. */
class SnapshotStore
{
public:
    SnapshotStore(FileSystem &fileSystem, std::filesystem::path snapshotFolder);

    /** Stores a snapshot, then removes older ones. Durable on success. */
    Status save(LogIndex lastIndex, std::string_view bytes);
    /** Returns the newest snapshot, if any. Fails with Corrupt, stating the file. */
    Result<std::optional<StoredSnapshot>> load() const;

private:
    FileSystem &files;
    std::filesystem::path folder;
};

} // namespace gooseberry
