#include <protocol/protocol.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <limits>

#include "message_generators.h"

using namespace gooseberry;

namespace {

/** Runs all property tests of this file with a fixed seed, so that failures are reproducible. */
struct FixedSeed
{
    FixedSeed()
    {
        // Runs before main(), while there is one thread only.
        // NOLINTNEXTLINE(concurrency-mt-unsafe)
        ::setenv("RC_PARAMS", "seed=20261204 max_success=1000 max_size=60", 0);
    }
};

bool equal(const ConfigImage &left, const ConfigImage &right)
{
    return left.version == right.version && left.config == right.config
        && left.digests == right.digests && left.keys == right.keys
        && left.withdrawnKeys == right.withdrawnKeys && left.domainsOut == right.domainsOut;
}

bool equal(const TaskRecord &left, const TaskRecord &right)
{
    const bool sameAnswer = left.answer == nullptr || right.answer == nullptr
        ? left.answer == right.answer
        : *left.answer == *right.answer;
    return sameAnswer && left.state == right.state && left.attempt == right.attempt
        && left.failures == right.failures && left.instance == right.instance
        && left.startedAt == right.startedAt && left.endedAt == right.endedAt;
}

bool equal(const JobRecord &left, const JobRecord &right)
{
    return left.id == right.id && left.request == right.request && left.team == right.team
        && *left.spec == *right.spec && left.submittedAt == right.submittedAt
        && left.endedAt == right.endedAt && left.cancelRequested == right.cancelRequested
        && left.endedTasks == right.endedTasks
        && std::equal(left.tasks.begin(), left.tasks.end(), right.tasks.begin(), right.tasks.end(),
                      [](const auto &a, const auto &b) { return equal(a, b); });
}

bool equal(const CellImage &left, const CellImage &right)
{
    return left.time == right.time && left.lastJob == right.lastJob
        && equal(left.config, right.config) && left.instances == right.instances
        && left.departing == right.departing
        && std::equal(left.jobs.begin(), left.jobs.end(), right.jobs.begin(), right.jobs.end(),
                      [](const auto &a, const auto &b) { return equal(a, b); });
}

template<typename T>
bool isCorrupt(const Result<T> &result)
{
    return !ok(result) && errorOf(result).code == ErrorCode::Corrupt
        && errorOf(result).step == Step::Parse;
}

/** Runs every decoder on the bytes; returns whether each one succeeds or reports Corrupt. */
bool decodesOrIsCorrupt(const std::string &bytes)
{
    const auto command = decodeCommand(bytes);
    const auto image = decodeImage(bytes);
    const auto quorum = decodeQuorumMessage(bytes);
    const auto peer = decodePeerMessage(bytes);
    return (ok(command) || isCorrupt(command)) && (ok(image) || isCorrupt(image))
        && (ok(quorum) || isCorrupt(quorum)) && (ok(peer) || isCorrupt(peer));
}

std::string randomEncodedMessage()
{
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return encode(StampedCommand{
            .proposal = {.origin = 1, .number = *rc::gen::arbitrary<std::uint64_t>()},
            .at = generate::time(),
            .command = generate::command()});
    case 1:
        return encode(generate::cellImage());
    case 2:
        return encode(generate::quorumMessage());
    default:
        return encode(generate::peerMessage());
    }
}

std::string mutate(std::string bytes)
{
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes && !bytes.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            bytes[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
            break;
        case 2:
            // A length of 2^31 - 1 or 2^32 - 1 as a varint.
            bytes.insert(
                at, *rc::gen::arbitrary<bool>() ? "\xff\xff\xff\xff\x07" : "\xff\xff\xff\xff\x0f");
            break;
        default:
            bytes.insert(at, bytes.substr(0, *rc::gen::inRange<std::size_t>(1, 17)));
            break;
        }
    }
    return bytes;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

BOOST_AUTO_TEST_SUITE(CodecTest)

// Guards against a command field that is not encoded or is decoded into another field.
BOOST_AUTO_TEST_CASE(DecodesEveryCommandAsItWasEncoded)
{
    BOOST_TEST(rc::check("command", []() {
        const StampedCommand sent{.proposal
                                  = {.origin = *rc::gen::arbitrary<std::uint64_t>(), .number = 2},
                                  .at = generate::time(),
                                  .command = generate::command()};
        const Result<StampedCommand> got = decodeCommand(encode(sent));
        RC_ASSERT(ok(got));
        RC_ASSERT((valueOf(got) == sent));
    }));
}

// Guards against a snapshot that loses part of the state, such as an empty answer.
BOOST_AUTO_TEST_CASE(DecodesEverySnapshotAsItWasEncoded)
{
    BOOST_TEST(rc::check("snapshot", []() {
        const CellImage sent = generate::cellImage();
        const Result<CellImage> got = decodeImage(encode(sent));
        RC_ASSERT(ok(got));
        RC_ASSERT(equal(valueOf(got), sent));
    }));
}

// Guards against a replication message that changes in transit.
BOOST_AUTO_TEST_CASE(DecodesEveryQuorumMessageAsItWasEncoded)
{
    BOOST_TEST(rc::check("quorum message", []() {
        const QuorumMessage sent = generate::quorumMessage();
        const Result<QuorumMessage> got = decodeQuorumMessage(encode(sent));
        RC_ASSERT(ok(got));
        RC_ASSERT((valueOf(got) == sent));
    }));
}

// Guards against a forwarded request, reply or leader hint that changes in transit.
BOOST_AUTO_TEST_CASE(DecodesEveryPeerMessageAsItWasEncoded)
{
    BOOST_TEST(rc::check("peer message", []() {
        const PeerMessage sent = generate::peerMessage();
        const Result<PeerMessage> got = decodePeerMessage(encode(sent));
        RC_ASSERT(ok(got));
        RC_ASSERT((valueOf(got) == sent));
    }));
}

// Guards against an error code or step without a wire value, which would crash the sender.
BOOST_AUTO_TEST_CASE(CarriesEveryErrorCodeAndStep)
{
    for (int code = 0; code <= static_cast<int>(ErrorCode::Internal); ++code) {
        for (int step = 0; step <= static_cast<int>(Step::Recover); ++step) {
            const PeerMessage sent
                = ForwardReply{.id = ForwardId(1),
                               .result = Error{.code = static_cast<ErrorCode>(code),
                                               .step = static_cast<Step>(step),
                                               .peer = "127.0.0.1:1",
                                               .message = {},
                                               .outcome = Outcome::Unknown}};
            const Result<PeerMessage> got = decodePeerMessage(encode(sent));
            BOOST_REQUIRE(ok(got));
            BOOST_TEST((valueOf(got) == sent));
        }
    }
}

// Guards against large unsigned numbers that become negative or are truncated.
BOOST_AUTO_TEST_CASE(CarriesTheLargestNumbers)
{
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    const QuorumMessage sent = AppendReply{.term = Term(largest),
                                           .success = true,
                                           .matchIndex = LogIndex(largest),
                                           .round = largest,
                                           .disk = DiskId(largest)};
    const Result<QuorumMessage> got = decodeQuorumMessage(encode(sent));
    BOOST_REQUIRE(ok(got));
    BOOST_TEST((valueOf(got) == sent));
}

// Guards against a truncated message that is accepted as a complete shorter one.
BOOST_AUTO_TEST_CASE(RefusesEveryTruncation)
{
    BOOST_TEST(rc::check("truncated", []() {
        const std::string bytes = encode(generate::peerMessage());
        const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(isCorrupt(decodePeerMessage(std::string_view(bytes).substr(0, size))));
    }));
}

// Guards against ignoring trailing bytes, which would hide a framing error.
BOOST_AUTO_TEST_CASE(RefusesTrailingBytes)
{
    const StampedCommand sent{.proposal = {}, .at = CellTime{}, .command = Cancel{.job = JobId(7)}};
    BOOST_TEST(isCorrupt(decodeCommand(encode(sent) + '\0')));
    BOOST_TEST(isCorrupt(decodeCommand(encode(sent) + encode(sent))));
}

// Guards against a missing field that silently takes a default value. A zero byte ends a struct.
BOOST_AUTO_TEST_CASE(RefusesMissingFields)
{
    const std::string emptyStruct(1, '\0');
    BOOST_TEST(isCorrupt(decodeCommand(emptyStruct)));
    BOOST_TEST(isCorrupt(decodeImage(emptyStruct)));
    BOOST_TEST(isCorrupt(decodeQuorumMessage(emptyStruct)));
    BOOST_TEST(isCorrupt(decodePeerMessage(emptyStruct)));
    BOOST_TEST(isCorrupt(decodePeerMessage({})));
}

// Guards against an enum value of a newer version that is decoded as a known value.
BOOST_AUTO_TEST_CASE(RefusesUnknownEnumValue)
{
    std::string bytes = encode(StampedCommand{
        .proposal = {},
        .at = CellTime{},
        .command = Finish{.placement = {}, .result = AttemptResult::Stopped, .answer = {}}});
    // The result is field 2 of type i32 (0x15) with zigzag value 3 (0x06); 0x7e is 63.
    const std::size_t at = bytes.find("\x15\x06");
    BOOST_REQUIRE(at != std::string::npos);
    bytes[at + 1] = '\x7e';
    BOOST_TEST(isCorrupt(decodeCommand(bytes)));
}

// Guards against a short message that makes the receiver allocate gigabytes, such as a list of
// jobs that claims 2^28 entries.
BOOST_AUTO_TEST_CASE(RefusesLengthsBeyondTheMessage)
{
    CellImage image;
    std::string bytes = encode(image);
    // The list of jobs is the last field: header 0x19, empty list of structs 0x0c, end 0x00.
    BOOST_REQUIRE(bytes.ends_with(std::string("\x19\x0c\x00", 3)));
    bytes.resize(bytes.size() - 2);
    bytes += std::string("\xfc\xff\xff\xff\x7f\x00", 6);
    BOOST_TEST(isCorrupt(decodeImage(bytes)));
}

// Guards against input that crashes a decoder or makes it report an error other than Corrupt.
BOOST_AUTO_TEST_CASE(SurvivesArbitraryBytes)
{
    BOOST_TEST(rc::check("arbitrary bytes", []() {
        RC_ASSERT(decodesOrIsCorrupt(*rc::gen::arbitrary<std::string>()));
    }));
}

// Guards against crashes on almost valid input, which gets further into a decoder than random
// bytes.
BOOST_AUTO_TEST_CASE(SurvivesMutatedMessages)
{
    BOOST_TEST(rc::check("mutated messages",
                         []() { RC_ASSERT(decodesOrIsCorrupt(mutate(randomEncodedMessage()))); }));
}

// Guards against records that exceed the sizes assumed by the design's traffic estimates: 120 bytes
// for a start and 80 for a finish, with ids of the length used in deployments.
BOOST_AUTO_TEST_CASE(KeepsStartAndFinishRecordsSmall)
{
    const Placement placement{
        .attempt = {.task = {.job = JobId(16'000'000), .index = 9'999}, .attempt = Attempt(3)},
        .instance = InstanceId("catania-lido-worker-1400")};
    const CellTime at(std::chrono::hours(24 * 365));
    const std::string start = encode(StampedCommand{
        .proposal = {},
        .at = at,
        .command = Start{.job = JobId(16'000'000), .allOrNone = false, .placements = {placement}}});
    const std::string finish = encode(StampedCommand{
        .proposal = {},
        .at = at,
        .command
        = Finish{.placement = placement, .result = AttemptResult::Succeeded, .answer = {}}});
    BOOST_TEST_MESSAGE("start " << start.size() << " bytes, finish " << finish.size() << " bytes");
    BOOST_TEST(start.size() <= 120U);
    BOOST_TEST(finish.size() <= 80U);
}

BOOST_AUTO_TEST_SUITE_END()
