#pragma once

#include <map>
#include <mutex>

#include <journal/file_system.h>

namespace gooseberry {

/** Keeps files in memory, for an instance without a data folder. They are lost when the process
 * ends. */
class MemoryFileSystem : public FileSystem
{
public:
    Result<std::unique_ptr<File>> create(const std::filesystem::path &path) override;
    Result<std::unique_ptr<File>> open(const std::filesystem::path &path) override;
    Status createFolder(const std::filesystem::path &path) override;
    Result<std::vector<std::string>> list(const std::filesystem::path &folder) override;
    Status rename(const std::filesystem::path &from, const std::filesystem::path &to) override;
    Status remove(const std::filesystem::path &path) override;
    Status syncFolder(const std::filesystem::path &folder) override;

    struct Contents
    {
        std::mutex mutex;
        std::string bytes;
    };

private:
    std::mutex mutex;
    std::map<std::filesystem::path, std::shared_ptr<Contents>> files;
};

} // namespace gooseberry
