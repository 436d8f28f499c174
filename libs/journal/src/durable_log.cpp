#include <journal/durable_log.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>

#include "encoding.h"
#include "frame.h"

namespace gooseberry {

namespace {

/** In bytes. Stays well below the limit of the 32-bit size field in the frame header. */
constexpr std::size_t maxFrameSize = std::size_t{1} << 30U;

std::string segmentName(std::uint64_t sequence)
{
    std::array<char, 40> name{};
    std::snprintf(name.data(), name.size(), "segment-%020llu.log",
                  static_cast<unsigned long long>(sequence));
    return name.data();
}

bool isSegment(const std::string &name)
{
    return name.starts_with("segment-") && name.ends_with(".log");
}

} // namespace

DurableLog::DurableLog(FileSystem &fileSystem, Settings initialSettings)
    : files(fileSystem)
    , settings(std::move(initialSettings))
{
}

Result<std::unique_ptr<DurableLog>> DurableLog::open(FileSystem &files, Settings settings)
{
    std::unique_ptr<DurableLog> log(new DurableLog(files, std::move(settings)));
    if (const Status status = log->recover(); !ok(status)) {
        return errorOf(status);
    }
    return log;
}

Status DurableLog::append(LogIndex firstNew, const std::vector<std::string> &records)
{
    if (this->failure) {
        return *this->failure;
    }
    if (firstNew > this->nextIndex() || firstNew < this->firstIndex()) {
        return storeError(ErrorCode::InvalidArgument,
                          "append at index " + std::to_string(firstNew.value)
                              + " is not between first index "
                              + std::to_string(this->firstIndex().value) + " and next index "
                              + std::to_string(this->nextIndex().value));
    }
    const std::string frame = encodeFrame(firstNew, records);
    if (frame.size() > maxFrameSize) {
        return storeError(ErrorCode::TooLarge,
                          "frame of " + std::to_string(frame.size())
                              + " bytes exceeds the limit of " + std::to_string(maxFrameSize));
    }
    if (this->segments.empty()
        || this->segments.back().size
            >= static_cast<std::uint64_t>(this->settings.segmentSize.value)) {
        if (Status status = this->startSegment(this->nextIndex()); !ok(status)) {
            return status;
        }
    }
    Segment &segment = this->segments.back();
    if (const Status status = segment.file->append(frame); !ok(status)) {
        return this->rollBackAppend(segment, errorOf(status));
    }
    if (const Status status = segment.file->sync(); !ok(status)) {
        return this->recordFailure(errorOf(status));
    }
    this->indexFrame(segment, segment.size, frame);
    segment.size += frame.size();
    return Done{};
}

Status DurableLog::rollBackAppend(Segment &segment, const Error &cause)
{
    // The truncation must be durable: recovery reports a partial frame as corrupt unless it is in
    // the last segment.
    Status status = segment.file->truncate(segment.size);
    if (ok(status)) {
        status = segment.file->sync();
    }
    if (!ok(status)) {
        return this->recordFailure(errorOf(status));
    }
    return cause.code == ErrorCode::StorageFull ? cause : this->recordFailure(cause);
}

Result<std::string> DurableLog::read(LogIndex index) const
{
    RecordLocation location;
    {
        const std::lock_guard lock(this->mutex);
        if (index < this->first || index.value >= this->first.value + this->locations.size()) {
            return storeError(ErrorCode::NotFound,
                              "no record at index " + std::to_string(index.value));
        }
        location = this->locations[index.value - this->first.value];
    }
    auto bytes = location.file->read(location.offset, location.size);
    if (ok(bytes) && checksumOf(valueOf(bytes)) != location.checksum) {
        return corruptError((this->settings.folder / segmentName(location.sequence)).string(),
                            location.offset, "checksum mismatch");
    }
    return bytes;
}

Status DurableLog::truncatePrefix(LogIndex newFirst)
{
    if (this->failure) {
        return *this->failure;
    }
    if (newFirst > this->nextIndex()) {
        if (Status status = this->startSegment(newFirst); !ok(status)) {
            return status;
        }
        {
            const std::lock_guard lock(this->mutex);
            this->locations.clear();
            this->first = newFirst;
        }
        return this->removeSegmentsBefore(this->segments.back().sequence);
    }
    std::uint64_t firstKept = this->segments.empty() ? 0 : this->segments.back().sequence;
    {
        const std::lock_guard lock(this->mutex);
        while (this->first < newFirst) {
            this->locations.pop_front();
            this->first.value += 1;
        }
        firstKept = this->locations.empty() ? firstKept : this->locations.front().sequence;
    }
    return this->removeSegmentsBefore(firstKept);
}

LogIndex DurableLog::firstIndex() const
{
    const std::lock_guard lock(this->mutex);
    return this->first;
}

LogIndex DurableLog::nextIndex() const
{
    const std::lock_guard lock(this->mutex);
    return LogIndex(this->first.value + this->locations.size());
}

Bytes DurableLog::size() const
{
    std::uint64_t total = 0;
    for (const Segment &segment : this->segments) {
        total += segment.size;
    }
    return Bytes(static_cast<std::int64_t>(total));
}

Status DurableLog::startSegment(LogIndex firstNew)
{
    Segment segment;
    segment.sequence = this->segments.empty() ? 1 : this->segments.back().sequence + 1;
    segment.path = this->settings.folder / segmentName(segment.sequence);
    auto created = this->files.create(segment.path);
    if (!ok(created)) {
        return errorOf(created);
    }
    segment.file = std::move(valueOf(created));
    segment.size = segmentHeaderSize;
    Status status = segment.file->append(
        encodeSegmentHeader(SegmentHeader{.sequence = segment.sequence, .first = firstNew}));
    if (!ok(status)) {
        // The next attempt truncates and reuses the file.
        return status;
    }
    status = segment.file->sync();
    if (ok(status)) {
        status = this->files.syncFolder(this->settings.folder);
    }
    if (!ok(status)) {
        return this->recordFailure(errorOf(status));
    }
    this->segments.push_back(std::move(segment));
    return Done{};
}

Status DurableLog::removeSegmentsBefore(std::uint64_t sequence)
{
    // Removes the oldest segment first and syncs each removal, so that a crash can't leave a gap in
    // the sequence of segments.
    while (!this->segments.empty() && this->segments.front().sequence < sequence) {
        Status status = this->files.remove(this->segments.front().path);
        if (ok(status)) {
            status = this->files.syncFolder(this->settings.folder);
        }
        if (!ok(status)) {
            return this->recordFailure(errorOf(status));
        }
        this->segments.pop_front();
    }
    return Done{};
}

void DurableLog::indexFrame(const Segment &segment, std::uint64_t frameOffset,
                            const std::string &frame)
{
    const FrameHeader header{.bodySize = 0,
                             .first = LogIndex(readNumber<std::uint64_t>(frame, 16)),
                             .count = readNumber<std::uint32_t>(frame, 24)};
    const std::lock_guard lock(this->mutex);
    if (header.first < this->first) {
        this->first = header.first;
        this->locations.clear();
    }
    this->locations.resize(header.first.value - this->first.value);
    std::size_t position = frameHeaderSize;
    for (std::uint32_t number = 0; number < header.count; ++number) {
        const auto size = readNumber<std::uint32_t>(frame, position);
        position += sizeof size;
        this->locations.push_back(
            RecordLocation{.sequence = segment.sequence,
                           .file = segment.file,
                           .offset = frameOffset + position,
                           .size = size,
                           .checksum = checksumOf(std::string_view(frame).substr(position, size))});
        position += size;
    }
}

Error DurableLog::recordFailure(Error error)
{
    error.message += "; the log is unusable until a restart";
    error.code = error.code == ErrorCode::StorageFull ? ErrorCode::Internal : error.code;
    this->failure = error;
    return error;
}

Status DurableLog::recover()
{
    if (Status status = this->files.createFolder(this->settings.folder); !ok(status)) {
        return status;
    }
    const auto listed = this->files.list(this->settings.folder);
    if (!ok(listed)) {
        return errorOf(listed);
    }
    std::vector<std::string> names = valueOf(listed);
    std::erase_if(names, [](const std::string &name) { return !isSegment(name); });
    for (const std::string &name : names) {
        if (Status status = this->recoverSegment(name, name == names.back()); !ok(status)) {
            return status;
        }
    }
    return Done{};
}

Status DurableLog::recoverSegment(const std::string &name, bool last)
{
    Segment segment;
    segment.path = this->settings.folder / name;
    auto opened = this->files.open(segment.path);
    if (!ok(opened)) {
        return errorOf(opened);
    }
    segment.file = std::move(valueOf(opened));
    const auto size = segment.file->size();
    const auto bytes = ok(size) ? segment.file->read(0, valueOf(size)) : Result<std::string>("");
    if (!ok(size) || !ok(bytes)) {
        return ok(size) ? errorOf(bytes) : errorOf(size);
    }
    const auto header = decodeSegmentHeader(valueOf(bytes));
    if (!header) {
        if (last && !containsIntactFrame(valueOf(bytes), 0)) {
            return this->removeTornSegment(segment);
        }
        return corruptError(segment.path.string(), 0, "damaged segment header");
    }
    segment.sequence = header->sequence;
    if (segmentName(header->sequence) != name
        || (!this->segments.empty() && header->sequence != this->segments.back().sequence + 1)) {
        return corruptError(segment.path.string(), 0, "segment out of sequence");
    }
    if (this->segments.empty() || header->first > this->nextIndex()) {
        this->first = header->first;
        this->locations.clear();
    }
    segment.size = segmentHeaderSize;
    if (Status status = this->recoverFrames(segment, valueOf(bytes), last); !ok(status)) {
        return status;
    }
    this->segments.push_back(std::move(segment));
    return Done{};
}

Status DurableLog::recoverFrames(Segment &segment, const std::string &bytes, bool last)
{
    while (segment.size < bytes.size()) {
        const auto frame = decodeFrameHeader(bytes, segment.size);
        if (!frame) {
            break;
        }
        if (frame->first > this->nextIndex()) {
            return corruptError(segment.path.string(), segment.size, "gap between records");
        }
        const std::size_t frameSize = frameHeaderSize + frame->bodySize;
        this->indexFrame(segment, segment.size, bytes.substr(segment.size, frameSize));
        segment.size += frameSize;
    }
    if (segment.size == bytes.size()) {
        return Done{};
    }
    // A frame is written only after the previous one was synced. Therefore only the last frame can
    // be torn, and an intact frame after a damaged one means that synced data is corrupt.
    if (!last || containsIntactFrame(bytes, segment.size + 1)) {
        return corruptError(segment.path.string(), segment.size, "damaged record");
    }
    Status status = segment.file->truncate(segment.size);
    return ok(status) ? segment.file->sync() : status;
}

Status DurableLog::removeTornSegment(const Segment &segment)
{
    Status status = this->files.remove(segment.path);
    return ok(status) ? this->files.syncFolder(this->settings.folder) : status;
}

} // namespace gooseberry
