#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** One open file. Reads may run on other threads while one thread appends. */
class File
{
public:
    virtual ~File() = default;

    /**
     * Writes all bytes at the end of the file. Fails with StorageFull when the disk is full; a part
     * of the bytes may be in the file then, and the caller truncates it.
     */
    virtual Status append(std::string_view bytes) = 0;
    /** Reads up to size bytes; fewer only at the end of the file. */
    virtual Result<std::string> read(std::uint64_t offset, std::uint64_t size) const = 0;
    virtual Result<std::uint64_t> size() const = 0;
    virtual Status truncate(std::uint64_t size) = 0;
    /** Makes the contents durable. After a failure nothing about unsynced data is known. */
    virtual Status sync() = 0;
};

/** What the journal needs of a file system. */
class FileSystem
{
public:
    virtual ~FileSystem() = default;

    /** Creates an empty file, or empties an existing one, for appending and reading. */
    virtual Result<std::unique_ptr<File>> create(const std::filesystem::path &path) = 0;
    /** Opens an existing file for appending and reading. Fails with NotFound without one. */
    virtual Result<std::unique_ptr<File>> open(const std::filesystem::path &path) = 0;
    /** Creates the folder and its parents, durably. */
    virtual Status createFolder(const std::filesystem::path &path) = 0;
    /** Returns the names of the files in the folder, sorted. */
    virtual Result<std::vector<std::string>> list(const std::filesystem::path &folder) = 0;
    /** Replaces the target. Durable only after syncFolder(). */
    virtual Status rename(const std::filesystem::path &from, const std::filesystem::path &to) = 0;
    virtual Status remove(const std::filesystem::path &path) = 0;
    virtual Status syncFolder(const std::filesystem::path &folder) = 0;
};

/** The file system of the machine. */
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
 * Writes a file under a temporary name, syncs it, renames it to its final name and syncs the
 * folder. After a crash the final name holds either the old or the new contents.
 */
Status replaceFile(FileSystem &files, const std::filesystem::path &path, std::string_view bytes);

/** Reads a whole file. */
Result<std::string> readFile(FileSystem &files, const std::filesystem::path &path);

} // namespace gooseberry
