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
 * A log of records with consecutive indexes, stored in segment files in one folder.
 *
 * Each append writes one frame with one checksum over all its records and syncs it before the next
 * frame is written. A frame replaces all records from its first index on, so truncating a suffix
 * and appending its replacement is one atomic operation. On recovery, a damaged last frame is
 * treated as a torn write and truncated; a damaged frame followed by an intact one is reported as
 * Corrupt.
 *
 * append() and truncatePrefix() must be called from one thread; read() may run concurrently on
 * other threads.
 */
class DurableLog
{
public:
    struct Settings
    {
        std::filesystem::path folder;
        /** A new segment file is started when the current one has reached this size. */
        Bytes segmentSize{8LL * 1024 * 1024};
    };

    /**
     * Opens the folder, creating it if needed, and recovers the log. Fails with Corrupt, stating
     * file and offset, or with the error of the file system.
     */
    static Result<std::unique_ptr<DurableLog>> open(FileSystem &files, Settings settings);

    /**
     * Stores the records at first, first + 1, ... and discards the existing records from first on.
     * Durable on success. first must lie between firstIndex() and nextIndex(). An empty list of
     * records only truncates the log.
     *
     * After StorageFull the log is unchanged and a later append may succeed. Any other I/O failure
     * is permanent: the state of the file is unknown, and all later calls fail with the same error.
     */
    Status append(LogIndex first, const std::vector<std::string> &records);

    /** Returns one record. Fails with NotFound outside the log, Corrupt on a checksum mismatch. */
    Result<std::string> read(LogIndex index) const;

    /**
     * Discards the records before first, which a snapshot covers. Only whole segment files are
     * removed, so after a restart the log may begin before first. If first is greater than
     * nextIndex(), all records are discarded and the next record gets the index first.
     */
    Status truncatePrefix(LogIndex first);

    /** The index of the oldest record, equal to nextIndex() when there is none. */
    LogIndex firstIndex() const;
    /** The index that the next record will get. */
    LogIndex nextIndex() const;
    /** The total size of all segment files. */
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
    /** Adds the records of a frame to locations, replacing those from its first index on. */
    void indexFrame(const Segment &segment, std::uint64_t frameOffset, const std::string &frame);
    /** Makes all later writes fail with this error, and returns it. */
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
