#pragma once

#include <cstdint>
#include <deque>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>
#include <journal/file_system.h>

namespace gooseberry {

/**
 * A log of records with consecutive indexes, in segment files of one folder.
 *
 * Each append writes one frame with one checksum over all its records and syncs it before the next
 * frame is written. A frame replaces everything from its first index on, so cutting a suffix and
 * appending its replacement are one atomic step. On recovery a damaged last frame is a torn write
 * and is cut off; a damaged frame that has an intact one after it is reported as Corrupt.
 *
 * One thread appends and truncates; read() may run on other threads at the same time.
 */
class DurableLog
{
public:
    struct Settings
    {
        std::filesystem::path folder;
        /** A new segment file is begun when the last one has reached this size. */
        Bytes segmentSize{8LL * 1024 * 1024};
    };

    /**
     * Opens the folder, creates it if needed, and recovers the log. Fails with Corrupt, naming file
     * and offset, or with the error of the file system.
     */
    static Result<std::unique_ptr<DurableLog>> open(FileSystem &files, Settings settings);

    /**
     * Stores the records at first, first + 1, ... and discards all earlier records from first on.
     * Durable on success. First may be at most nextIndex(). No records: only discards.
     *
     * After StorageFull nothing has changed and a later append may succeed. Any other failure is
     * final: the state of the file is then unknown, and all later calls fail with the same error.
     */
    Status append(LogIndex first, const std::vector<std::string> &records);

    /** Returns one record. Fails with NotFound outside the log, Corrupt on a failed check. */
    Result<std::string> read(LogIndex index) const;

    /**
     * Discards the records before first, which a snapshot has made superfluous. Files are removed
     * whole, so after a restart the log may begin earlier than first. With first beyond
     * nextIndex(), all records are discarded and the log goes on at first.
     */
    Status truncatePrefix(LogIndex first);

    /** The index of the oldest record, equal to nextIndex() when there is none. */
    LogIndex firstIndex() const;
    /** The index that the next record gets. */
    LogIndex nextIndex() const;
    /** The size of all segment files. */
    Bytes size() const;

private:
    struct Segment
    {
        std::filesystem::path path;
        std::uint64_t sequence = 0;
        std::shared_ptr<File> file;
        std::uint64_t size = 0;
    };
    struct RecordLocation
    {
        std::uint64_t sequence = 0;
        std::shared_ptr<File> file;
        std::uint64_t offset = 0;
        std::uint32_t size = 0;
        std::uint64_t checksum = 0;
    };

    DurableLog(FileSystem &fileSystem, Settings initialSettings);

    Status recover();
    Status recoverSegment(const std::string &name, bool last);
    Status recoverFrames(Segment &segment, const std::string &bytes, bool last);
    Status removeTornSegment(const Segment &segment);
    Status startSegment(LogIndex first);
    Status rollBackAppend(Segment &segment, const Error &cause);
    Status removeSegmentsBefore(std::uint64_t sequence);
    void indexFrame(const Segment &segment, std::uint64_t frameOffset, const std::string &frame);
    Error recordFailure(Error error);

    FileSystem &files;
    Settings settings;
    std::deque<Segment> segments;
    std::optional<Error> failure;
    mutable std::mutex mutex; ///< Guards the two members below.
    LogIndex first{1};
    std::deque<RecordLocation> locations;
};

} // namespace gooseberry
