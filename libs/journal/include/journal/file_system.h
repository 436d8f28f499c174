#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** An open file. Other threads may read while one thread appends. */
class File
{
public:
    virtual ~File() = default;

    /**
     * Writes all bytes at the end of the file. Fails with StorageFull when the disk is full; the
     * file may then contain some of the bytes, which the caller must truncate.
     */
    virtual Status append(std::string_view bytes) = 0;
    /** Reads size bytes, or fewer at the end of the file. */
    virtual Result<std::string> read(std::uint64_t offset, std::uint64_t size) const = 0;
    virtual Result<std::uint64_t> size() const = 0;
    virtual Status truncate(std::uint64_t size) = 0;
    /** Makes the contents durable. After a failure the state of unsynced data is unknown. */
    virtual Status sync() = 0;
};

/** The file system operations that the journal uses; tests implement it to inject disk faults. */
class FileSystem
{
public:
    virtual ~FileSystem() = default;

    /** Creates a file, or truncates an existing one, and opens it for appending and reading. */
    virtual Result<std::unique_ptr<File>> create(const std::filesystem::path &path) = 0;
    /** Opens an existing file for appending and reading. Fails with NotFound. */
    virtual Result<std::unique_ptr<File>> open(const std::filesystem::path &path) = 0;
    /** Creates the folder and its missing parents. Durable on success. */
    virtual Status createFolder(const std::filesystem::path &path) = 0;
    /** Returns the sorted names of the regular files in the folder. */
    virtual Result<std::vector<std::string>> list(const std::filesystem::path &folder) = 0;
    /** Replaces an existing target. Durable only after syncFolder(). */
    virtual Status rename(const std::filesystem::path &from, const std::filesystem::path &to) = 0;
    virtual Status remove(const std::filesystem::path &path) = 0;
    virtual Status syncFolder(const std::filesystem::path &folder) = 0;
};

/** The file system of the operating system. */
class PosixFileSystem : public FileSystem
{
public:
    Result<std::unique_ptr<File>> create(const std::filesystem::path &path) override;
    Result<std::unique_ptr<File>> open(const std::filesystem::path &path) override;
    Status createFolder(const std::filesystem::path &path) override;
    Result<std::vector<std::string>> list(const std::filesystem::path &folder) override;
    Status rename(const std::filesystem::path &from, const std::filesystem::path &to) override;
    Status remove(const std::filesystem::path &path) override;
    Status syncFolder(const std::filesystem::path &folder) override;
};

/**
 * Replaces a file atomically: writes a temporary file, syncs it, renames it to path and syncs the
 * folder. After a crash, path has either the old or the new contents.
 */
Status replaceFile(FileSystem &files, const std::filesystem::path &path, std::string_view bytes);

/** Reads a whole file. */
Result<std::string> readFile(FileSystem &files, const std::filesystem::path &path);

} // namespace gooseberry
