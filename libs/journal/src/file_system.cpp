#include <journal/file_system.h>

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

#include "encoding.h"

namespace gooseberry {

namespace {

constexpr ::mode_t fileMode = 0640;

Error systemError(int errorNumber, const std::string &action, const std::filesystem::path &path)
{
    const bool full = errorNumber == ENOSPC || errorNumber == EDQUOT;
    const bool missing = errorNumber == ENOENT;
    return storeError(full          ? ErrorCode::StorageFull
                          : missing ? ErrorCode::NotFound
                                    : ErrorCode::Internal,
                      action + " " + path.string() + ": "
                          + std::generic_category().message(errorNumber));
}

class PosixFile : public File
{
public:
    PosixFile(int initialDescriptor, std::filesystem::path initialPath)
        : descriptor(initialDescriptor)
        , path(std::move(initialPath))
    {
    }
    PosixFile(const PosixFile &) = delete;
    PosixFile &operator=(const PosixFile &) = delete;
    ~PosixFile() override
    {
        ::close(this->descriptor);
    }

    Status append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ::ssize_t written = ::write(this->descriptor, bytes.data(), bytes.size());
            if (written < 0 && errno != EINTR) {
                return systemError(errno, "write", this->path);
            }
            bytes.remove_prefix(static_cast<std::size_t>(std::max<::ssize_t>(written, 0)));
        }
        return Done{};
    }

    Result<std::string> read(std::uint64_t offset, std::uint64_t size) const override
    {
        std::string bytes(size, '\0');
        std::size_t totalRead = 0;
        while (totalRead < size) {
            const ::ssize_t bytesRead
                = ::pread(this->descriptor, bytes.data() + totalRead, size - totalRead,
                          static_cast<::off_t>(offset + totalRead));
            if (bytesRead == 0) {
                break;
            }
            if (bytesRead < 0 && errno != EINTR) {
                return systemError(errno, "read", this->path);
            }
            totalRead += static_cast<std::size_t>(std::max<::ssize_t>(bytesRead, 0));
        }
        bytes.resize(totalRead);
        return bytes;
    }

    Result<std::uint64_t> size() const override
    {
        struct ::stat info = {};
        if (::fstat(this->descriptor, &info) != 0) {
            return systemError(errno, "stat", this->path);
        }
        return static_cast<std::uint64_t>(info.st_size);
    }

    Status truncate(std::uint64_t size) override
    {
        if (::ftruncate(this->descriptor, static_cast<::off_t>(size)) != 0) {
            return systemError(errno, "truncate", this->path);
        }
        return Done{};
    }

    Status sync() override
    {
        // fdatasync also flushes the file size, the only metadata that recovery needs.
        if (::fdatasync(this->descriptor) != 0) {
            return systemError(errno, "sync", this->path);
        }
        return Done{};
    }

private:
    int descriptor;
    std::filesystem::path path;
};

Result<std::unique_ptr<File>> openFile(const std::filesystem::path &path, int flags)
{
    const int descriptor = ::open(path.c_str(), flags | O_RDWR | O_APPEND | O_CLOEXEC, fileMode);
    if (descriptor < 0) {
        return systemError(errno, "open", path);
    }
    return std::unique_ptr<File>(std::make_unique<PosixFile>(descriptor, path));
}

} // namespace

Result<std::unique_ptr<File>> PosixFileSystem::create(const std::filesystem::path &path)
{
    return openFile(path, O_CREAT | O_TRUNC);
}

Result<std::unique_ptr<File>> PosixFileSystem::open(const std::filesystem::path &path)
{
    return openFile(path, 0);
}

Status PosixFileSystem::createFolder(const std::filesystem::path &path)
{
    std::error_code error;
    if (std::filesystem::is_directory(path, error)) {
        return Done{};
    }
    const std::filesystem::path parent = std::filesystem::absolute(path).parent_path();
    if (Status status = this->createFolder(parent); !ok(status)) {
        return status;
    }
    if (::mkdir(path.c_str(), fileMode | S_IXUSR | S_IXGRP) != 0 && errno != EEXIST) {
        return systemError(errno, "create folder", path);
    }
    return this->syncFolder(parent);
}

Result<std::vector<std::string>> PosixFileSystem::list(const std::filesystem::path &folder)
{
    std::error_code error;
    std::vector<std::string> names;
    std::filesystem::directory_iterator entry(folder, error);
    for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        if (entry->is_regular_file(error)) {
            names.push_back(entry->path().filename().string());
        }
    }
    if (error) {
        return systemError(error.value(), "list", folder);
    }
    std::sort(names.begin(), names.end());
    return names;
}

Status PosixFileSystem::rename(const std::filesystem::path &from, const std::filesystem::path &to)
{
    if (::rename(from.c_str(), to.c_str()) != 0) {
        return systemError(errno, "rename", from);
    }
    return Done{};
}

Status PosixFileSystem::remove(const std::filesystem::path &path)
{
    if (::unlink(path.c_str()) != 0) {
        return systemError(errno, "remove", path);
    }
    return Done{};
}

Status PosixFileSystem::syncFolder(const std::filesystem::path &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return systemError(errno, "open folder", folder);
    }
    const int result = ::fsync(descriptor);
    const int errorNumber = errno;
    ::close(descriptor);
    if (result != 0) {
        return systemError(errorNumber, "sync folder", folder);
    }
    return Done{};
}

Status replaceFile(FileSystem &files, const std::filesystem::path &path, std::string_view bytes)
{
    const std::filesystem::path temporary = path.string() + ".tmp";
    Status status = Done{};
    {
        auto created = files.create(temporary);
        if (!ok(created)) {
            return errorOf(created);
        }
        File &file = *valueOf(created);
        status = file.append(bytes);
        if (ok(status)) {
            status = file.sync();
        }
    }
    if (!ok(status)) {
        // Reports the failed write, not a failure to remove the temporary file: the next call
        // truncates a leftover file.
        files.remove(temporary);
        return status;
    }
    status = files.rename(temporary, path);
    return ok(status) ? files.syncFolder(path.parent_path()) : status;
}

Result<std::string> readFile(FileSystem &files, const std::filesystem::path &path)
{
    auto opened = files.open(path);
    if (!ok(opened)) {
        return errorOf(opened);
    }
    const auto size = valueOf(opened)->size();
    if (!ok(size)) {
        return errorOf(size);
    }
    return valueOf(opened)->read(0, valueOf(size));
}

} // namespace gooseberry
