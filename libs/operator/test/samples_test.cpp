#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include <contract/contract.h>
#include <gateway/gateway.h>

#include "job_request.h"

using namespace gooseberry;

namespace {

const std::filesystem::path samples = std::filesystem::path(GL_SOURCE_DIR) / "samples";
const std::vector<std::string> deployments{"sicilia-est", "valle-central"};

std::string read(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::vector<std::filesystem::path> filesIn(const std::filesystem::path &folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

CellConfig load(const std::string &deployment)
{
    std::vector<std::filesystem::path> files{samples / deployment / "templates.yaml"};
    for (const auto &file : filesIn(samples / deployment / "customers")) {
        files.push_back(file);
    }
    CellConfig config;
    for (const auto &file : files) {
        Result<CellConfig> next = applyDeclaration(config, read(file), file.string());
        BOOST_REQUIRE_MESSAGE(ok(next), (ok(next) ? "" : errorOf(next).message));
        config = valueOf(next);
    }
    return config;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SamplesTest)

// Guards against samples that no longer parse, and against onboarding that outgrows 15 lines.
BOOST_AUTO_TEST_CASE(DeclarationsParseAndOnboardingFilesAreShort)
{
    for (const std::string &deployment : deployments) {
        const CellConfig config = load(deployment);
        BOOST_TEST(config.domains.size() == 3U);
        BOOST_TEST(config.customers.size() == 6U);
        for (const auto &file : filesIn(samples / deployment / "customers")) {
            const std::string text = read(file);
            const auto lines = std::count(text.begin(), text.end(), '\n');
            BOOST_TEST(lines <= 15, file << " has " << lines << " lines");
        }
    }
}

// Guards against job files that the system refuses.
BOOST_AUTO_TEST_CASE(JobFilesFitTheirQueues)
{
    for (const std::string &deployment : deployments) {
        const CellConfig config = load(deployment);
        const auto files = filesIn(samples / deployment / "jobs");
        BOOST_TEST(files.size() == 3U);
        for (const auto &file : files) {
            const Result<std::string> body = makeJobRequest(read(file), file.string(), {});
            BOOST_REQUIRE_MESSAGE(ok(body), (ok(body) ? "" : errorOf(body).message));
            const Result<JobSpec> spec = readJobSpec(valueOf(body));
            BOOST_REQUIRE_MESSAGE(ok(spec), (ok(spec) ? "" : errorOf(spec).message));
            BOOST_TEST(ok(checkJobSpec(valueOf(spec))));
            const Queue *queue = findQueue(config, valueOf(spec).queue);
            BOOST_REQUIRE_MESSAGE(queue != nullptr, valueOf(spec).queue.value);
            BOOST_TEST(queue->classes.contains(valueOf(spec).jobClass));
            BOOST_TEST(file.stem().string() == toString(valueOf(spec).jobClass));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
