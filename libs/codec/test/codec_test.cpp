// Records survive encoding and decoding, and invalid bytes are rejected.

#include <boost/test/unit_test.hpp>
#include <codec/codec.h>
#include <rapidcheck.h>

using namespace gooseberry;

namespace {

struct Sample
{
    std::string text;
    std::int64_t number = 0;
    bool flag = false;
    std::vector<std::string> list;
    std::map<std::string, std::uint32_t> map;
    std::optional<std::chrono::milliseconds> time;

    bool operator==(const Sample &other) const = default;
};

template<typename Codec>
void fields(Codec &codec, Sample &value)
{
    codec(value.text, value.number, value.flag, value.list, value.map, value.time);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CodecTest)

BOOST_AUTO_TEST_CASE(RoundTripsEveryValue)
{
    BOOST_TEST(rc::check([]() {
        Sample sample;
        sample.text = *rc::gen::arbitrary<std::string>();
        sample.number = *rc::gen::arbitrary<std::int64_t>();
        sample.flag = *rc::gen::arbitrary<bool>();
        sample.list = *rc::gen::arbitrary<std::vector<std::string>>();
        sample.map = *rc::gen::arbitrary<std::map<std::string, std::uint32_t>>();
        if (*rc::gen::arbitrary<bool>()) {
            sample.time = std::chrono::milliseconds(*rc::gen::arbitrary<std::int32_t>());
        }
        const auto decoded = decodeRecord<Sample>(encodeRecord(sample));
        RC_ASSERT(ok(decoded));
        RC_ASSERT(valueOf(decoded) == sample);
    }));
}

BOOST_AUTO_TEST_CASE(RejectsTruncatedAndArbitraryBytes)
{
    BOOST_TEST(rc::check([]() {
        const std::string bytes = *rc::gen::arbitrary<std::string>();
        // Must neither crash nor allocate much memory; most random bytes are not a valid record.
        const auto decoded = decodeRecord<Sample>(bytes);
        if (ok(decoded)) {
            RC_ASSERT(encodeRecord(valueOf(decoded)).size() <= bytes.size() + 16);
        }
    }));
    Sample sample;
    sample.text = "text";
    sample.number = 7;
    const std::string whole = encodeRecord(sample);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_TEST(!ok(decodeRecord<Sample>(whole.substr(0, length))));
    }
}

BOOST_AUTO_TEST_SUITE_END()
