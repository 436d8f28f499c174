#include <policy/policy.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const SteadyTime start{1h};
const QuarantineSettings settings;

InstanceId worker(int number)
{
    return InstanceId("w" + std::to_string(number));
}

} // namespace

BOOST_AUTO_TEST_SUITE(FaultsTest)

// Guards against a worker that fails every task immediately and, being idle, attracts more tasks.
BOOST_AUTO_TEST_CASE(QuarantinesInstanceOnWhichSeveralJobsFail)
{
    InstanceHealth instance;
    std::array<JobHealth, 3> jobs;
    for (std::uint64_t job = 0; job < 2; ++job) {
        const auto decision
            = recordFailure(instance, jobs.at(job), JobId(job), worker(1), start, settings);
        BOOST_TEST(!decision.quarantineUntil.has_value());
    }
    const auto decision = recordFailure(instance, jobs[2], JobId(2), worker(1), start, settings);
    BOOST_TEST((decision.quarantineUntil == start + settings.initialQuarantine));
    BOOST_TEST(isQuarantined(instance, start + 29s));
    BOOST_TEST(!isQuarantined(instance, start + 30s));
}

// Guards against one faulty job that causes healthy instances to be quarantined.
BOOST_AUTO_TEST_CASE(BacksOffJobThatFailsOnSeveralInstances)
{
    std::array<InstanceHealth, 30> instances;
    JobHealth job;
    int backOffs = 0;
    for (int number = 0; number < 30; ++number) {
        const auto decision = recordFailure(instances.at(static_cast<std::size_t>(number)), job,
                                            JobId(1), worker(number), start, settings);
        BOOST_TEST(!decision.quarantineUntil.has_value());
        backOffs += decision.jobBackOffUntil ? 1 : 0;
    }
    BOOST_TEST(backOffs == 4);
    BOOST_TEST(job.parked);
}

// Guards against counting repeated failures of one job as failures of several jobs.
BOOST_AUTO_TEST_CASE(CountsDifferentJobsOnly)
{
    InstanceHealth instance;
    JobHealth job;
    for (int failure = 0; failure < 50; ++failure) {
        const auto decision = recordFailure(instance, job, JobId(1), worker(1), start, settings);
        BOOST_TEST(!decision.quarantineUntil.has_value());
        BOOST_TEST(!decision.jobBackOffUntil.has_value());
    }
}

// Guards against a faulty worker that returns after the same short quarantine every time.
BOOST_AUTO_TEST_CASE(DoublesQuarantineUntilFirstSuccess)
{
    InstanceHealth instance;
    SteadyTime now = start;
    std::chrono::nanoseconds last{0};
    for (std::uint64_t job = 0; job < 6; ++job) {
        JobHealth health;
        const auto decision = recordFailure(instance, health, JobId(job), worker(1), now, settings);
        if (decision.quarantineUntil) {
            const auto length = *decision.quarantineUntil - now;
            BOOST_TEST((last == 0s || length == 2 * last));
            last = length;
            now = *decision.quarantineUntil;
        }
    }
    BOOST_TEST((last == 8 * settings.initialQuarantine));
    JobHealth health;
    recordSuccess(instance, health);
    const auto decision = recordFailure(instance, health, JobId(99), worker(1), now, settings);
    BOOST_TEST(!decision.quarantineUntil.has_value());
}

// Guards against old failures that accumulate until an instance is quarantined.
BOOST_AUTO_TEST_CASE(ForgetsFailuresOutsideTheWindow)
{
    InstanceHealth instance;
    for (std::uint64_t job = 0; job < 10; ++job) {
        JobHealth health;
        const auto decision = recordFailure(instance, health, JobId(job), worker(1),
                                            start + static_cast<int>(job) * 6min, settings);
        BOOST_TEST(!decision.quarantineUntil.has_value());
    }
}

// Guards against retries that displace first attempts, and against retries that wait forever.
BOOST_AUTO_TEST_CASE(LimitsRetriesToAShareOfFirstTries)
{
    const RetrySettings retry;
    RetryBudget budget;
    budget.lastUnbudgetedRetry = start;
    int taken = 0;
    for (int attempt = 0; attempt < 1000; ++attempt) {
        creditFirstAttempt(budget, retry);
        taken += takeRetry(budget, start, retry) ? 1 : 0;
    }
    BOOST_TEST(taken <= 120);
    BOOST_TEST(taken >= 110);
    budget.remaining = 0.0;
    BOOST_TEST(!takeRetry(budget, start + 9s, retry));
    BOOST_TEST(takeRetry(budget, start + 10s, retry));
    BOOST_TEST(!takeRetry(budget, start + 10s, retry));
}

BOOST_AUTO_TEST_SUITE_END()
