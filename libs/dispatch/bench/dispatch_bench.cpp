// Measures the processor time that a new leader needs to schedule many waiting workflows, for
// several numbers of workers and workflows. Workers and adviser are fakes that answer at once.

#include <cstdio>
#include <ctime>

#include <spdlog/spdlog.h>

#include "../test/dispatch_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t tasksPerWorkflow = 3;

std::chrono::duration<double, std::milli> processorTime()
{
    return std::chrono::duration<double>(static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
}

void measure(std::size_t workers, std::size_t workflows)
{
    DispatchFixture cell(workers);
    cell.changeConfig([](RoutingConfig &config) {
        config.queues.front().advice
            = AdviserTiming{.decision = 10ms, .timePerWorker = 1ms, .ticketValidity = 1500ms};
    });
    cell.log.leads = false;
    for (std::size_t number = 0; number < workflows; ++number) {
        cell.submit("workflow-" + std::to_string(number),
                    {DispatchFixture::step(tasksPerWorkflow, 2000)});
    }
    cell.changeLeader();
    cell.log.leads = true;
    const auto before = processorTime();
    cell.run(1000ms);
    const auto spent = processorTime() - before;
    std::printf("| %zu | %zu | %zu | %.1f | %.3f |\n", workers, workflows,
                cell.workers.runningTasks(), spent.count(),
                spent.count() / static_cast<double>(workflows));
}

/** Whether the adviser answers the waiting steps of a backlog. */
enum class Adviser { Answers, Silent };

/**
 * Measures a second of work while the workers are full and the workflows wait: with a silent
 * adviser, as when its queues are full, or with tickets for workers that have no room.
 */
void measureBacklog(std::size_t workers, std::size_t workflows, Adviser adviser)
{
    constexpr std::int64_t fillingCpu = 13'000;
    DispatchFixture cell(workers);
    cell.adviser.senders = 152;
    cell.submit("filling",
                {DispatchFixture::step(static_cast<std::uint32_t>(workers), fillingCpu)});
    cell.run(200ms);
    cell.changeConfig([](RoutingConfig &config) {
        config.queues.front().advice
            = AdviserTiming{.decision = 10ms, .timePerWorker = 1ms, .ticketValidity = 1500ms};
    });
    cell.adviser.silent = adviser == Adviser::Silent;
    for (std::size_t number = 0; number < workflows; ++number) {
        cell.submit("workflow-" + std::to_string(number),
                    {DispatchFixture::step(tasksPerWorkflow, 4000)});
    }
    cell.run(1000ms);
    const auto before = processorTime();
    cell.run(1000ms);
    const auto spent = processorTime() - before;
    std::printf("| %zu | %zu | %s | %.1f |\n", workers, workflows,
                adviser == Adviser::Silent ? "silent" : "answers", spent.count());
}

} // namespace

int main()
{
    spdlog::set_level(spdlog::level::off);
    std::printf("Backlog that can't be placed; one second of work\n");
    std::printf("| workers | workflows waiting | adviser | processor ms |\n|---|---|---|---|\n");
    for (const std::size_t workers : {350U, 1100U, 3000U}) {
        for (const std::size_t workflows : {100U, 1000U, 2000U}) {
            measureBacklog(workers, workflows, Adviser::Silent);
            measureBacklog(workers, workflows, Adviser::Answers);
        }
    }
    std::printf("New leader, each workflow of %zu tasks asks the adviser; one second of work\n",
                tasksPerWorkflow);
    std::printf(
        "| workers | workflows waiting | tasks running after | processor ms | ms a workflow "
        "|\n|---|---|---|---|---|\n");
    measure(50, 100);
    measure(350, 100);
    measure(350, 400);
    measure(350, 700);
    measure(1100, 1500);
    measure(3000, 1500);
    return 0;
}
