#include <journal/journal.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>

#include "faulty_file_system.h"

using namespace gooseberry;

namespace {

template<typename T>
void requireOk(const Result<T> &result)
{
    BOOST_REQUIRE_MESSAGE(ok(result), (ok(result) ? "" : describe(errorOf(result))));
}

struct JournalFixture
{
    JournalFixture()
    {
        std::string pattern
            = (std::filesystem::temp_directory_path() / "gl_journal_XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
    }
    JournalFixture(const JournalFixture &) = delete;
    JournalFixture &operator=(const JournalFixture &) = delete;
    ~JournalFixture()
    {
        std::filesystem::remove_all(this->folder);
    }

    Result<std::unique_ptr<DurableLog>> tryOpen()
    {
        return DurableLog::open(this->files,
                                {.folder = this->folder, .segmentSize = this->segmentSize});
    }
    std::unique_ptr<DurableLog> open()
    {
        auto opened = this->tryOpen();
        requireOk(opened);
        return std::move(valueOf(opened));
    }
    std::filesystem::path lastSegment() const
    {
        std::filesystem::path last;
        for (const auto &entry : std::filesystem::directory_iterator(this->folder)) {
            last = std::max(last, entry.path());
        }
        return last;
    }
    std::size_t fileCount() const
    {
        return static_cast<std::size_t>(
            std::distance(std::filesystem::directory_iterator(this->folder), {}));
    }

    std::filesystem::path folder;
    FaultyFileSystem files;
    Bytes segmentSize{1024};
};

std::string recordFor(std::uint64_t index)
{
    return "record " + std::to_string(index);
}

void appendUpTo(DurableLog &log, std::uint64_t last)
{
    while (log.nextIndex().value <= last) {
        const LogIndex next = log.nextIndex();
        const Status status = log.append(next, {recordFor(next.value)});
        requireOk(status);
    }
}

void checkRecords(const DurableLog &log, std::uint64_t first, std::uint64_t last)
{
    BOOST_TEST(log.nextIndex().value == last + 1);
    for (std::uint64_t index = first; index <= last; ++index) {
        const auto read = log.read(LogIndex(index));
        requireOk(read);
        BOOST_TEST(valueOf(read) == recordFor(index));
    }
}

void flipByte(const std::filesystem::path &path, std::uint64_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const char old = static_cast<char>(file.get());
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(static_cast<char>(old ^ 0x20));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(JournalTest, JournalFixture)

// Guards against records that are lost, or segments that are recovered in the wrong order, when the
// log is reopened many times.
BOOST_AUTO_TEST_CASE(KeepsAllRecordsAcrossRestartsAfterHundredsOfAppends)
{
    for (std::uint64_t last = 100; last <= 800; last += 100) {
        appendUpTo(*this->open(), last);
    }
    BOOST_TEST(this->fileCount() > 10U);
    checkRecords(*this->open(), 1, 800);
    BOOST_TEST(this->files.faults.folderSyncs.load() >= this->fileCount());
}

// Guards against a crash during a write: recovery must truncate a torn frame of any length.
BOOST_AUTO_TEST_CASE(TruncatesTornTailOfEveryLength)
{
    appendUpTo(*this->open(), 3);
    const std::filesystem::path path = this->lastSegment();
    const auto intact = std::filesystem::file_size(path);
    BOOST_REQUIRE(ok(this->open()->append(LogIndex(4), {recordFor(4), recordFor(5)})));
    for (auto size = std::filesystem::file_size(path) - 1; size >= intact; --size) {
        std::filesystem::resize_file(path, size);
        checkRecords(*this->open(), 1, 3);
        appendUpTo(*this->open(), 4);
        std::filesystem::resize_file(path, intact);
        BOOST_REQUIRE(ok(this->open()->append(LogIndex(4), {recordFor(4), recordFor(5)})));
    }
}

// Guards against recovery that fails after a crash when the file size was updated before the data
// reached the disk, or when the segment header is torn.
BOOST_AUTO_TEST_CASE(TruncatesTrailingZeroesAndTornSegmentHeader)
{
    appendUpTo(*this->open(), 3);
    std::filesystem::resize_file(this->lastSegment(),
                                 std::filesystem::file_size(this->lastSegment()) + 100);
    checkRecords(*this->open(), 1, 3);
    std::ofstream(this->folder / "segment-00000000000000000002.log") << "torn";
    checkRecords(*this->open(), 1, 3);
}

// Guards against silently dropping synced records that follow a corrupted byte.
BOOST_AUTO_TEST_CASE(ReportsCorruptFrameBeforeIntactOnesWithFileAndOffset)
{
    appendUpTo(*this->open(), 10);
    const std::filesystem::path path = this->lastSegment();
    const auto size = std::filesystem::file_size(path);
    constexpr std::uint64_t headers = 64; // Segment header and first frame header, in bytes.
    flipByte(path, headers + 6);
    const auto opened = this->tryOpen();
    BOOST_REQUIRE(!ok(opened));
    BOOST_TEST((errorOf(opened).code == ErrorCode::Corrupt));
    BOOST_TEST(errorOf(opened).message.find(path.string()) != std::string::npos);
    BOOST_TEST(errorOf(opened).message.find("offset 32") != std::string::npos,
               errorOf(opened).message);
    BOOST_TEST(std::filesystem::file_size(path) == size);
}

// Guards against treating damage at the end of an older segment as a torn write, and against
// opening a log from which an operator removed a segment file.
BOOST_AUTO_TEST_CASE(RejectsCorruptOrMissingOlderSegment)
{
    appendUpTo(*this->open(), 100);
    const std::filesystem::path second = this->folder / "segment-00000000000000000002.log";
    flipByte(second, std::filesystem::file_size(second) - 1);
    const auto damaged = this->tryOpen();
    BOOST_TEST((!ok(damaged) && errorOf(damaged).code == ErrorCode::Corrupt));
    std::filesystem::remove(second);
    const auto missing = this->tryOpen();
    BOOST_TEST((!ok(missing) && errorOf(missing).code == ErrorCode::Corrupt));
}

// Guards against a full disk that leaves a partial frame in the log or makes it permanently
// unusable.
BOOST_AUTO_TEST_CASE(RecoversAfterDiskFull)
{
    const auto log = this->open();
    appendUpTo(*log, 5);
    for (const std::uint64_t freeSpace : {0U, 10U, 40U}) {
        this->files.faults.freeSpace = freeSpace;
        const Status full = log->append(LogIndex(6), {recordFor(6)});
        BOOST_TEST((!ok(full) && errorOf(full).code == ErrorCode::StorageFull));
        checkRecords(*log, 1, 5);
        checkRecords(*this->open(), 1, 5);
    }
    this->files.faults.freeSpace = UINT64_MAX;
    appendUpTo(*log, 100);
    // Creating a new segment must also fail cleanly when its header does not fit on the disk.
    this->files.faults.freeSpace = 8;
    while (ok(log->append(log->nextIndex(), {std::string(4, 'x')}))) { }
    this->files.faults.freeSpace = UINT64_MAX;
    appendUpTo(*log, 200);
    checkRecords(*this->open(), 1, 200);
}

// Guards against treating data as durable after a failed sync because a later sync of the same file
// succeeded.
BOOST_AUTO_TEST_CASE(StaysFailedAfterFailedSync)
{
    const auto log = this->open();
    appendUpTo(*log, 5);
    this->files.faults.failSync = true;
    BOOST_TEST(!ok(log->append(LogIndex(6), {recordFor(6)})));
    this->files.faults.failSync = false;
    BOOST_TEST(!ok(log->append(LogIndex(6), {recordFor(6)})));
    BOOST_TEST(!ok(log->append(LogIndex(7), {recordFor(7)})));
    checkRecords(*log, 1, 5);
}

// Guards against overwritten records that reappear after a restart, within and across segments.
BOOST_AUTO_TEST_CASE(ReplacesSuffixAcrossSegments)
{
    {
        const auto log = this->open();
        while (log->nextIndex().value <= 100) {
            BOOST_REQUIRE(ok(log->append(log->nextIndex(), {"conflicting"})));
        }
        BOOST_REQUIRE(ok(log->append(LogIndex(1), {recordFor(1), recordFor(2)})));
        appendUpTo(*log, 40);
        BOOST_REQUIRE(ok(log->append(LogIndex(31), {})));
        checkRecords(*log, 1, 30);
    }
    checkRecords(*this->open(), 1, 30);
    BOOST_TEST(!ok(this->open()->append(LogIndex(32), {"gap"})));
}

// Guards against segment files that remain after their records were truncated, and against losing
// records after the truncated prefix.
BOOST_AUTO_TEST_CASE(TruncatePrefixRemovesWholeSegments)
{
    {
        const auto log = this->open();
        appendUpTo(*log, 200);
        const std::size_t before = this->fileCount();
        BOOST_REQUIRE(ok(log->truncatePrefix(LogIndex(150))));
        BOOST_TEST(this->fileCount() < before / 2);
        BOOST_TEST(log->firstIndex().value == 150U);
        BOOST_TEST(!ok(log->read(LogIndex(149))));
        checkRecords(*log, 150, 200);
    }
    const auto log = this->open();
    BOOST_TEST(log->firstIndex().value <= 150U);
    checkRecords(*log, 150, 200);
    BOOST_REQUIRE(ok(log->truncatePrefix(LogIndex(1000))));
    BOOST_TEST(log->nextIndex().value == 1000U);
    appendUpTo(*log, 1010);
    checkRecords(*this->open(), 1000, 1010);
}

// Guards against a replaced value that is partially written or lost, and against loading a value
// whose checksum does not match.
BOOST_AUTO_TEST_CASE(KeepsOldMetadataWhenTheDiskIsFull)
{
    MetadataFile metadata(this->files, this->folder / "metadata");
    BOOST_TEST((ok(metadata.load()) && !valueOf(metadata.load())));
    BOOST_REQUIRE(ok(metadata.save("term 1")));
    this->files.faults.freeSpace = 3;
    BOOST_TEST(!ok(metadata.save("term 2")));
    BOOST_TEST(valueOf(metadata.load()).value() == "term 1");
    flipByte(this->folder / "metadata", 9);
    BOOST_TEST(!ok(metadata.load()));
}

// Guards against loading or keeping an older snapshot, and against loading a damaged one.
BOOST_AUTO_TEST_CASE(KeepsNewestSnapshotOnly)
{
    SnapshotStore store(this->files, this->folder);
    BOOST_TEST((ok(store.load()) && !valueOf(store.load())));
    BOOST_REQUIRE(ok(store.save(LogIndex(9), "nine")));
    BOOST_REQUIRE(ok(store.save(LogIndex(10), "ten")));
    this->files.faults.freeSpace = 10;
    BOOST_TEST(!ok(store.save(LogIndex(11), "eleven")));
    BOOST_TEST(this->fileCount() == 1U);
    const auto loaded = store.load();
    BOOST_REQUIRE(ok(loaded));
    BOOST_TEST(valueOf(loaded)->bytes == "ten");
    BOOST_TEST(valueOf(loaded)->lastIndex.value == 10U);
    flipByte(this->lastSegment(), 17);
    BOOST_TEST((errorOf(store.load()).code == ErrorCode::Corrupt));
}

BOOST_AUTO_TEST_SUITE_END()
