#include <base/base.h>

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace gooseberry;

namespace {

Resources cores(std::int64_t count)
{
    return Resources{
        .cpu = CpuMillis(count * 1000), .memory = Bytes(0), .accelerators = {}, .slots = {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResourcesTest)

// Guards against integer overflow that makes a sum appear small enough to fit.
BOOST_AUTO_TEST_CASE(RefusesSumThatOverflows)
{
    Resources huge;
    huge.memory = Bytes(std::numeric_limits<std::int64_t>::max());
    Resources one;
    one.memory = Bytes(1);
    BOOST_TEST(!add(huge, one).has_value());
    BOOST_TEST(!multiply(huge, 2).has_value());
}

// Guards against capacity that is released twice and falls below zero.
BOOST_AUTO_TEST_CASE(RefusesDifferenceBelowZero)
{
    BOOST_TEST(!subtract(cores(1), cores(2)).has_value());
    BOOST_TEST((subtract(cores(3), cores(2)) == cores(1)));
}

// Guards against a rejection that reports the wrong dimension.
BOOST_AUTO_TEST_CASE(NamesTheDimensionThatFallsShort)
{
    Resources wanted = cores(1);
    wanted.accelerators = AcceleratorCount(1);
    BOOST_TEST((firstShortage(wanted, cores(4)) == Dimension::Accelerators));
    BOOST_TEST(!firstShortage(cores(4), cores(4)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
