#include <contract/contract.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

BOOST_AUTO_TEST_SUITE(QuantityTest)

// Guards against units or decimals that are read as a wrong amount.
BOOST_AUTO_TEST_CASE(ReadsUnitsAndDecimals)
{
    BOOST_TEST(valueOf(parseMemory("512MiB")).value == 512LL << 20);
    BOOST_TEST(valueOf(parseMemory("1.5GiB")).value == 3LL << 29);
    BOOST_TEST(valueOf(parseMemory("64 GiB")).value == 64LL << 30);
    BOOST_TEST(valueOf(parseMemory("1024TiB")).value == 1LL << 50);
    BOOST_TEST(valueOf(parseCores("0.5")).value == 500);
    BOOST_TEST(valueOf(parseCores("12.345")).value == 12'345);
    BOOST_TEST(valueOf(parseDuration("200ms")).count() == 200);
    BOOST_TEST(valueOf(parseDuration("15m")).count() == 900'000);
    BOOST_TEST(valueOf(parseDuration("2h")).count() == 7'200'000);
}

// Guards against invalid or overflowing amounts that are accepted.
BOOST_AUTO_TEST_CASE(RefusesInvalidAmounts)
{
    for (const char *text : {"", "GiB", "1", "-1GiB", "1.2345GiB", "1.GiB", "1gib", "1025TiB",
                             "1  GiB", "0x1GiB", "9223372036854775807MiB"}) {
        BOOST_TEST(!ok(parseMemory(text)), "accepted as memory: " << text);
    }
    for (const char *text : {"", "-1", "1e3", "+1", "1.", ".5", "1000001", "9223372036854775807"}) {
        BOOST_TEST(!ok(parseCores(text)), "accepted as cores: " << text);
    }
    for (const char *text : {"", "5", "1.5s", "-1s", "1d", "169h", "9223372036854775807h"}) {
        BOOST_TEST(!ok(parseDuration(text)), "accepted as duration: " << text);
    }
}

// Guards against a plan that shows an amount other than the declared one.
BOOST_AUTO_TEST_CASE(WrittenAmountsMatchDeclaredOnes)
{
    for (const char *text : {"512MiB", "1.5GiB", "64GiB", "2TiB", "0.125MiB"}) {
        BOOST_TEST(writeMemory(valueOf(parseMemory(text))) == text);
    }
    for (const char *text : {"0", "0.5", "12.345", "16"}) {
        BOOST_TEST(writeCores(valueOf(parseCores(text))) == text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
