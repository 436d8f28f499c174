// The proof that workflows of an upstream scheduler have begun: the answer to a start, or the
// worker's report. A stored assignment is not a proof, since its start may be refused or lost.

#include <dispatch/upstream_scheduler.h>

#include <spdlog/spdlog.h>

namespace gooseberry {

namespace {

/**
 * How long confirmed starts are collected for one command. Under the 2 s by which a count of
 * waiting work may be out of date; each command takes a sync of the disks that urgent work waits
 * for.
 */
constexpr std::chrono::milliseconds startStorageDelay{1000};
/** Delay before starts that could not be stored are proposed again. */
constexpr std::chrono::milliseconds startStorageRetryDelay{400};

} // namespace

void UpstreamScheduler::confirmStart(LiveWorkflow &workflow)
{
    if (workflow.startConfirmed) {
        return;
    }
    workflow.startConfirmed = true;
    this->unstoredStarts.push_back(workflow.id);
    this->storeStartsAfter(startStorageDelay);
}

void UpstreamScheduler::storeStartsAfter(std::chrono::milliseconds delay)
{
    if (this->startStorageScheduled) {
        return;
    }
    this->startStorageScheduled = true;
    this->runLater(delay, [this](Effects &later) {
        this->startStorageScheduled = false;
        this->storeStarts(later);
    });
}

void UpstreamScheduler::storeStarts(Effects &effects)
{
    RecordStarts command;
    for (const WorkflowId &id : this->unstoredStarts) {
        // The stored end of a run has recorded the start as well.
        this->context.state.visitWorkflow(id, [&command](const WorkflowRecord &workflow) {
            if (workflow.phase == WorkflowPhase::Queued) {
                command.workflows.push_back(workflow.id);
            }
        });
    }
    this->unstoredStarts.clear();
    if (command.workflows.empty()) {
        return;
    }
    effects.push_back([self = this->shared_from_this(), command = std::move(command)]() {
        self->context.log.propose(command, [self, command](const Result<CommandOutcome> &result) {
            if (ok(result)) {
                spdlog::info("event=starts-stored upstream={} workflows={}", self->upstream,
                             command.workflows.size());
                return;
            }
            self->runLocked([&](Effects &) { self->onStartsNotStored(command, errorOf(result)); });
        });
    });
}

void UpstreamScheduler::onStartsNotStored(const RecordStarts &command, const Error &error)
{
    spdlog::warn("event=starts-not-stored upstream={} workflows={} {}", this->upstream,
                 command.workflows.size(), describe(error));
    this->unstoredStarts.insert(this->unstoredStarts.end(), command.workflows.begin(),
                                command.workflows.end());
    this->storeStartsAfter(startStorageRetryDelay);
}

} // namespace gooseberry
