// The occurrences of workflows with a timetable: when they begin, and how many are live at once.

#include <dispatch/upstream_scheduler.h>

#include <algorithm>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

bool waitsForWorkers(const LiveOccurrence &occurrence)
{
    return std::any_of(occurrence.begin(), occurrence.end(),
                       [](const LiveStep &step) { return step.ready && step.waiting > 0; });
}

bool hasEnded(const LiveOccurrence &occurrence)
{
    return std::all_of(occurrence.begin(), occurrence.end(), [](const LiveStep &step) {
        return step.done == step.tasks.size()
            && std::none_of(step.tasks.begin(), step.tasks.end(),
                            [](const LiveTask &task) { return task.run.has_value(); });
    });
}

std::size_t taskCount(const WorkflowSpec &spec)
{
    std::size_t tasks = 0;
    for (const StepSpec &step : spec.steps) {
        tasks += step.count;
    }
    return tasks;
}

OccurrenceLoad loadOf(const LiveWorkflow &workflow)
{
    OccurrenceLoad load{.occurrences = workflow.occurrences.size(),
                        .tasks = workflow.occurrences.size() * taskCount(*workflow.spec),
                        .waiting = 0};
    for (const auto &[number, occurrence] : workflow.occurrences) {
        load.waiting += waitsForWorkers(occurrence) ? 1 : 0;
    }
    return load;
}

/** Adds an occurrence that has just begun, so that its tasks wait. */
void addOccurrence(OccurrenceLoad &load, std::size_t tasks)
{
    ++load.occurrences;
    ++load.waiting;
    load.tasks += tasks;
}

} // namespace

void UpstreamScheduler::beginAllOccurrences(Effects &effects)
{
    this->occurrenceLoad = {};
    for (const auto &[id, workflow] : this->workflows) {
        if (workflow.spec->timetable.occurrences > 0) {
            const OccurrenceLoad load = loadOf(workflow);
            this->occurrenceLoad.occurrences += load.occurrences;
            this->occurrenceLoad.tasks += load.tasks;
            this->occurrenceLoad.waiting += load.waiting;
        }
    }
    for (auto &[id, workflow] : this->workflows) {
        this->beginOccurrences(workflow, effects);
    }
}

void UpstreamScheduler::beginOccurrences(LiveWorkflow &workflow, Effects &effects)
{
    const Timetable &timetable = workflow.spec->timetable;
    const std::uint32_t count = occurrenceCount(*workflow.spec);
    workflow.nextOccurrence = workflow.endedOccurrences.firstMissing(workflow.nextOccurrence);
    if (workflow.ended || workflow.nextOccurrence >= count) {
        return;
    }
    const auto now = this->context.clock.wallNow().time_since_epoch();
    const std::size_t tasks = taskCount(*workflow.spec);
    OccurrenceLoad load = loadOf(workflow);
    while (workflow.nextOccurrence < count) {
        const std::uint32_t number = workflow.nextOccurrence;
        const auto due = timetable.first + timetable.interval * number;
        if (timetable.occurrences > 0 && now < due) {
            // The tick interval is too coarse for the last part of the wait, so a timer covers it.
            if (now + this->settings.tickInterval >= due) {
                this->runLater(due - now, [this, id = workflow.id](Effects &later) {
                    const auto found = this->workflows.find(id);
                    if (found != this->workflows.end()) {
                        this->beginOccurrences(found->second, later);
                    }
                });
            }
            return;
        }
        if (!workflow.occurrences.contains(number)) {
            const bool heldBack = !mayBeginOccurrence(load, this->occurrenceLoad, tasks);
            if (heldBack != workflow.occurrencesHeldBack) {
                workflow.occurrencesHeldBack = heldBack;
                spdlog::info("event=occurrences-held-back workflow={} next={} live={} waiting={} "
                             "held={}",
                             workflow.id.value, number, load.occurrences, load.waiting, heldBack);
            }
            if (heldBack) {
                return;
            }
            const auto begun = workflow.occurrences.emplace(number, this->newOccurrence(workflow));
            updateReady(workflow, begun.first->second);
            addOccurrence(load, tasks);
            if (timetable.occurrences > 0) {
                addOccurrence(this->occurrenceLoad, tasks);
            }
            this->schedulePlacement(effects);
        }
        workflow.nextOccurrence = workflow.endedOccurrences.firstMissing(number + 1);
    }
}

void UpstreamScheduler::eraseEndedOccurrences(LiveWorkflow &workflow)
{
    if (workflow.spec->timetable.occurrences > 0) {
        std::erase_if(workflow.occurrences,
                      [](const auto &entry) { return hasEnded(entry.second); });
    }
}

} // namespace gooseberry
