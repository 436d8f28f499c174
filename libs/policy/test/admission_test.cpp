#include <policy/policy.h>

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

struct Fixture
{
    Fixture()
    {
        this->queue.id = QueueId("c/q");
        this->queue.team = TeamId("c/t");
        this->queue.classes
            = {JobClass::Batch, JobClass::Gang, JobClass::Service, JobClass::Urgent};
        this->queue.maxPendingTasks = 1000;
        this->input.queue = &this->queue;
        this->input.limit.maximum.cpu = CpuMillis(8000);
        this->input.caller = TeamId("c/t");
        this->input.couldEverFit = true;
        this->spec.perTask.cpu = CpuMillis(1000);
    }

    Queue queue;
    AdmissionInput input;
    JobSpec spec;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionTest, Fixture)

// Guards against load shedding that refuses all classes at the same threshold, or that reports an
// outcome other than not-run.
BOOST_AUTO_TEST_CASE(ShedsLowestClassFirst)
{
    this->input.shedAbove = 100;
    const auto admits = [this](JobClass jobClass, std::uint32_t pending) {
        this->spec.jobClass = jobClass;
        this->input.cellPendingTasks = pending;
        const Status status = checkAdmission(this->spec, this->input);
        if (!ok(status)) {
            BOOST_TEST(toString(errorOf(status).code) == "overloaded");
            BOOST_TEST(toString(errorOf(status).outcome) == "not-run");
        }
        return ok(status);
    };
    BOOST_TEST(admits(JobClass::Batch, 99));
    BOOST_TEST(!admits(JobClass::Batch, 100));
    BOOST_TEST(admits(JobClass::Gang, 100));
    BOOST_TEST(!admits(JobClass::Gang, 125));
    BOOST_TEST(admits(JobClass::Service, 125));
    BOOST_TEST(!admits(JobClass::Service, 200));
    BOOST_TEST(admits(JobClass::Urgent, 200));
    BOOST_TEST(!admits(JobClass::Urgent, 400));
}

// Guards against a job that waits forever because it alone exceeds the team's limit.
BOOST_AUTO_TEST_CASE(RefusesGangAboveTheTeamsLimit)
{
    this->spec.jobClass = JobClass::Gang;
    this->spec.taskCount = 9;
    const Status status = checkAdmission(this->spec, this->input);
    BOOST_REQUIRE(!ok(status));
    BOOST_TEST(toString(errorOf(status).code) == "impossible");
    BOOST_TEST(errorOf(status).message.find("cpu") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
