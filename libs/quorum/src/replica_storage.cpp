#include "replica_storage.h"

namespace gooseberry {

namespace {

Error inconsistent(const std::filesystem::path &folder, const std::string &what)
{
    return Error{.code = ErrorCode::Corrupt,
                 .step = Step::Recover,
                 .peer = {},
                 .message = folder.string() + ": " + what,
                 .outcome = Outcome::NotRun};
}

} // namespace

ReplicaStorage::ReplicaStorage(const std::optional<std::filesystem::path> &dataFolder,
                               const std::shared_ptr<FileSystem> &fileSystem)
    : files(dataFolder ? fileSystem : std::make_shared<MemoryFileSystem>())
    , folder(dataFolder.value_or("memory"))
    , voteFile(*this->files, this->folder / "vote")
    , snapshotStore(*this->files, this->folder)
{
}

Result<RecoveredState> ReplicaStorage::recover()
{
    RecoveredState recovered;
    auto opened = DurableLog::open(*this->files, {.folder = this->folder / "log"});
    if (!ok(opened)) {
        return errorOf(opened);
    }
    this->log = std::move(valueOf(opened));
    const auto storedVote = this->voteFile.load();
    if (!ok(storedVote)) {
        return errorOf(storedVote);
    }
    if (valueOf(storedVote)) {
        const auto decoded = decodeVote(*valueOf(storedVote));
        if (!ok(decoded)) {
            return errorOf(decoded);
        }
        recovered.vote = valueOf(decoded);
    }
    const auto snapshot = this->snapshotStore.load();
    if (!ok(snapshot)) {
        return errorOf(snapshot);
    }
    if (valueOf(snapshot)) {
        auto content = decodeSnapshot(valueOf(snapshot)->lastIndex, valueOf(snapshot)->bytes);
        if (!ok(content)) {
            return errorOf(content);
        }
        recovered.snapshot = valueOf(content).info;
        recovered.state = std::move(valueOf(content).state);
    }
    if (Status status = this->recoverLog(recovered); !ok(status)) {
        return errorOf(status);
    }
    return recovered;
}

Status ReplicaStorage::recoverLog(RecoveredState &recovered)
{
    const SnapshotInfo &snapshot = recovered.snapshot;
    const LogIndex after(snapshot.lastIndex.value + 1);
    if (this->log->firstIndex() > after) {
        return inconsistent(this->folder, "entries between the snapshot and the log are missing");
    }
    if (!valueOf(this->voteFile.load())
        && (this->log->nextIndex() > LogIndex(1) || recovered.state)) {
        return inconsistent(this->folder, "the file with term and vote is missing");
    }
    bool keep = this->log->nextIndex() > snapshot.lastIndex;
    if (keep && this->log->firstIndex() <= snapshot.lastIndex) {
        // A crash between storing a received snapshot and replacing the log may leave a log that
        // conflicts with the snapshot.
        const auto last = this->read(snapshot.lastIndex);
        if (!ok(last)) {
            return errorOf(last);
        }
        keep = valueOf(last).term == snapshot.lastTerm;
    }
    if (!keep) {
        if (Status status = this->log->append(this->log->firstIndex(), {}); !ok(status)) {
            return status;
        }
    }
    if (Status status = this->log->truncatePrefix(after); !ok(status)) {
        return status;
    }
    return this->recoverEntries(recovered);
}

Status ReplicaStorage::recoverEntries(RecoveredState &recovered)
{
    if (recovered.state) {
        resetLog(recovered.log, recovered.snapshot.lastIndex, recovered.snapshot.lastTerm,
                 recovered.snapshot.membership);
    }
    for (LogIndex index = this->log->firstIndex(); index < this->log->nextIndex();
         index = LogIndex(index.value + 1)) {
        const auto entry = this->read(index);
        if (!ok(entry)) {
            return errorOf(entry);
        }
        addEntry(recovered.log, valueOf(entry));
    }
    return Done{};
}

Status ReplicaStorage::saveVote(const StoredVote &newVote)
{
    return this->voteFile.save(encodeVote(newVote));
}

Status ReplicaStorage::append(const std::vector<LogEntry> &entries)
{
    std::vector<std::string> records;
    records.reserve(entries.size());
    for (const LogEntry &entry : entries) {
        records.push_back(encodeEntry(entry));
    }
    return this->log->append(entries.front().index, records);
}

Result<LogEntry> ReplicaStorage::read(LogIndex index) const
{
    const auto bytes = this->log->read(index);
    if (!ok(bytes)) {
        return errorOf(bytes);
    }
    return decodeEntry(index, valueOf(bytes));
}

Status ReplicaStorage::install(const IncomingSnapshot &snapshot)
{
    {
        const std::lock_guard lock(this->snapshotMutex);
        if (Status status = this->snapshotStore.save(snapshot.lastIndex, snapshot.bytes);
            !ok(status)) {
            return status;
        }
    }
    if (Status status = this->log->append(this->log->firstIndex(), {}); !ok(status)) {
        return status;
    }
    Status status = this->truncatePrefix(snapshot.lastIndex);
    if (!ok(status)) {
        // The previous log was discarded; only recovery can restore a log that matches the
        // snapshot.
        Error final = errorOf(status);
        final.code = ErrorCode::Internal;
        return final;
    }
    return status;
}

Status ReplicaStorage::saveSnapshot(const SnapshotInfo &info, const std::string &state)
{
    const std::lock_guard lock(this->snapshotMutex);
    return this->snapshotStore.save(info.lastIndex, encodeSnapshot(info, state));
}

Status ReplicaStorage::truncatePrefix(LogIndex index)
{
    return this->log->truncatePrefix(LogIndex(index.value + 1));
}

std::shared_ptr<const std::string> ReplicaStorage::snapshotBytes(LogIndex lastIndex)
{
    if (!this->cachedSnapshot || this->cachedSnapshotIndex != lastIndex) {
        const std::lock_guard lock(this->snapshotMutex);
        auto loaded = this->snapshotStore.load();
        if (!ok(loaded) || !valueOf(loaded) || valueOf(loaded)->lastIndex != lastIndex) {
            return nullptr;
        }
        this->cachedSnapshot
            = std::make_shared<const std::string>(std::move(valueOf(loaded)->bytes));
        this->cachedSnapshotIndex = lastIndex;
    }
    return this->cachedSnapshot;
}

void ReplicaStorage::releaseSnapshotBytes()
{
    this->cachedSnapshot.reset();
}

} // namespace gooseberry
