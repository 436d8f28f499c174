#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include <base/base.h>
#include <journal/file_system.h>

namespace gooseberry {

/** The state after all records up to and including lastIndex. */
struct StoredSnapshot
{
    LogIndex lastIndex;
    std::string bytes;
};

/** Snapshot files of one folder, of which the newest counts. Not safe for several threads. */
class SnapshotStore
{
public:
    SnapshotStore(FileSystem &fileSystem, std::filesystem::path snapshotFolder);

    /** Durable on success. Older snapshots are removed afterwards. */
    Status save(LogIndex lastIndex, std::string_view bytes);
    /** Returns the newest snapshot, if any. Fails with Corrupt, naming the file. */
    Result<std::optional<StoredSnapshot>> load() const;

private:
    FileSystem &files;
    std::filesystem::path folder;
};

} // namespace gooseberry
