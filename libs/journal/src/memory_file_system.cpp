#include <journal/memory_file_system.h>

#include "encoding.h"

namespace gooseberry {

namespace {

class MemoryFile : public File
{
public:
    explicit MemoryFile(std::shared_ptr<MemoryFileSystem::Contents> initialContents)
        : contents(std::move(initialContents))
    {
    }

    Status append(std::string_view bytes) override
    {
        const std::lock_guard lock(this->contents->mutex);
        this->contents->bytes += bytes;
        return Done{};
    }
    Result<std::string> read(std::uint64_t offset, std::uint64_t size) const override
    {
        const std::lock_guard lock(this->contents->mutex);
        const std::string &bytes = this->contents->bytes;
        return offset >= bytes.size() ? std::string() : bytes.substr(offset, size);
    }
    Result<std::uint64_t> size() const override
    {
        const std::lock_guard lock(this->contents->mutex);
        return std::uint64_t{this->contents->bytes.size()};
    }
    Status truncate(std::uint64_t size) override
    {
        const std::lock_guard lock(this->contents->mutex);
        this->contents->bytes.resize(size);
        return Done{};
    }
    Status sync() override
    {
        return Done{};
    }

private:
    std::shared_ptr<MemoryFileSystem::Contents> contents;
};

Error notFoundError(const std::filesystem::path &path)
{
    return storeError(ErrorCode::NotFound, "no file " + path.string());
}

} // namespace

Result<std::unique_ptr<File>> MemoryFileSystem::create(const std::filesystem::path &path)
{
    const std::lock_guard lock(this->mutex);
    auto contents = std::make_shared<Contents>();
    this->files[path] = contents;
    return std::unique_ptr<File>(std::make_unique<MemoryFile>(std::move(contents)));
}

Result<std::unique_ptr<File>> MemoryFileSystem::open(const std::filesystem::path &path)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->files.find(path);
    if (found == this->files.end()) {
        return notFoundError(path);
    }
    return std::unique_ptr<File>(std::make_unique<MemoryFile>(found->second));
}

Status MemoryFileSystem::createFolder(const std::filesystem::path & /*path*/)
{
    return Done{};
}

Result<std::vector<std::string>> MemoryFileSystem::list(const std::filesystem::path &folder)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> names;
    for (const auto &[path, contents] : this->files) {
        if (path.parent_path() == folder) {
            names.push_back(path.filename().string());
        }
    }
    return names;
}

Status MemoryFileSystem::rename(const std::filesystem::path &from, const std::filesystem::path &to)
{
    const std::lock_guard lock(this->mutex);
    auto node = this->files.extract(from);
    if (node.empty()) {
        return notFoundError(from);
    }
    this->files[to] = std::move(node.mapped());
    return Done{};
}

Status MemoryFileSystem::remove(const std::filesystem::path &path)
{
    const std::lock_guard lock(this->mutex);
    return this->files.erase(path) > 0 ? Status(Done{}) : Status(notFoundError(path));
}

Status MemoryFileSystem::syncFolder(const std::filesystem::path & /*folder*/)
{
    return Done{};
}

} // namespace gooseberry
