#pragma once

#include <journal/journal.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>

namespace gooseberry {

/** Disk faults to inject, and a counter of folder syncs. */
struct DiskFaults
{
    /** Bytes left on the disk; a write that exceeds them is partial and fails with StorageFull. */
    std::atomic<std::uint64_t> freeSpace = UINT64_MAX;
    std::atomic<bool> failSync = false;
    std::atomic<std::size_t> folderSyncs = 0;
};

class FaultyFile : public File
{
public:
    FaultyFile(std::unique_ptr<File> initialFile, DiskFaults &initialFaults)
        : file(std::move(initialFile))
        , faults(initialFaults)
    {
    }

    Status append(std::string_view bytes) override
    {
        const auto fitting = std::min<std::uint64_t>(bytes.size(), this->faults.freeSpace);
        this->faults.freeSpace -= this->faults.freeSpace == UINT64_MAX ? 0 : fitting;
        Status status = this->file->append(bytes.substr(0, fitting));
        return fitting == bytes.size() ? status : injected(ErrorCode::StorageFull);
    }
    Result<std::string> read(std::uint64_t offset, std::uint64_t size) const override
    {
        return this->file->read(offset, size);
    }
    Result<std::uint64_t> size() const override
    {
        return this->file->size();
    }
    Status truncate(std::uint64_t size) override
    {
        return this->file->truncate(size);
    }
    Status sync() override
    {
        return this->faults.failSync ? injected(ErrorCode::Internal) : this->file->sync();
    }

private:
    static Status injected(ErrorCode code)
    {
        return Error{.code = code,
                     .step = Step::Store,
                     .peer = {},
                     .message = "injected",
                     .outcome = Outcome::NotRun};
    }

    std::unique_ptr<File> file;
    DiskFaults &faults;
};

/** A PosixFileSystem that injects the configured faults. */
class FaultyFileSystem : public PosixFileSystem
{
public:
    Result<std::unique_ptr<File>> create(const std::filesystem::path &path) override
    {
        return this->wrap(PosixFileSystem::create(path));
    }
    Result<std::unique_ptr<File>> open(const std::filesystem::path &path) override
    {
        return this->wrap(PosixFileSystem::open(path));
    }
    Status syncFolder(const std::filesystem::path &folder) override
    {
        this->faults.folderSyncs += 1;
        return PosixFileSystem::syncFolder(folder);
    }

    DiskFaults faults;

private:
    Result<std::unique_ptr<File>> wrap(Result<std::unique_ptr<File>> opened)
    {
        if (!ok(opened)) {
            return opened;
        }
        return std::unique_ptr<File>(
            std::make_unique<FaultyFile>(std::move(valueOf(opened)), this->faults));
    }
};

} // namespace gooseberry
