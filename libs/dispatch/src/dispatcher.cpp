#include <dispatch/dispatcher.h>

#include <spdlog/spdlog.h>

namespace gooseberry {

Dispatcher::Dispatcher(DispatchSettings initialSettings, const Clock &initialClock,
                       WorkerOrders &initialOrders, AdviserAccess &initialAdviser,
                       CommandSink &initialLog, const WorkflowState &initialState,
                       Schedule initialSchedule, DispatchObserver &initialObserver)
    : settings(initialSettings)
    , clock(initialClock)
    , orders(initialOrders)
    , adviser(initialAdviser)
    , log(initialLog)
    , state(initialState)
    , schedule(std::move(initialSchedule))
    , observer(initialObserver)
{
}

std::shared_ptr<UpstreamBoard> Dispatcher::makeBoard(const std::string &upstream)
{
    const auto [found, added] = this->boards.try_emplace(upstream);
    if (added) {
        found->second = std::make_shared<UpstreamBoard>(upstream, *this->term, this->settings,
                                                        BoardContext{.clock = this->clock,
                                                                     .orders = this->orders,
                                                                     .adviser = this->adviser,
                                                                     .log = this->log,
                                                                     .ledger = this->ledger,
                                                                     .state = this->state,
                                                                     .schedule = this->schedule,
                                                                     .observer = this->observer});
    }
    return found->second;
}

void Dispatcher::beginTerm(Term newTerm)
{
    std::map<std::string, std::shared_ptr<UpstreamBoard>> begun;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[upstream, board] : this->boards) {
            board->close();
        }
        this->boards.clear();
        this->term = newTerm;
        this->ledger = std::make_shared<CustomerLedger>();
        for (const auto &[id, worker] : this->state.workers()) {
            this->makeBoard(worker.upstream)->recoverWorker(worker);
        }
        // Copied first, since a board takes its own lock, and boards look into the state.
        std::vector<WorkflowRecord> workflows;
        this->state.visitLive(
            [&](const WorkflowRecord &workflow) { workflows.push_back(workflow); });
        for (const WorkflowRecord &workflow : workflows) {
            this->makeBoard(workflow.upstream)->recoverWorkflow(workflow);
        }
        begun = this->boards;
        spdlog::info("event=term-began term={} workflows={} upstreams={}", newTerm.value,
                     workflows.size(), begun.size());
    }
    for (const auto &[upstream, board] : begun) {
        board->begin();
    }
}

void Dispatcher::endTerm()
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[upstream, board] : this->boards) {
        board->close();
    }
    this->boards.clear();
    if (this->term) {
        spdlog::info("event=term-ended term={}", this->term->value);
    }
    this->term.reset();
}

std::shared_ptr<UpstreamBoard> Dispatcher::boardOf(const std::string &upstream)
{
    std::shared_ptr<UpstreamBoard> board;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->term) {
            return nullptr;
        }
        const auto found = this->boards.find(upstream);
        if (found != this->boards.end()) {
            return found->second;
        }
        board = this->makeBoard(upstream);
    }
    board->begin();
    return board;
}

std::map<std::string, std::shared_ptr<UpstreamBoard>> Dispatcher::allBoards() const
{
    const std::lock_guard lock(this->mutex);
    return this->boards;
}

void Dispatcher::workflowAccepted(const WorkflowId &id)
{
    std::optional<WorkflowRecord> workflow;
    this->state.visitOne(id, [&](const WorkflowRecord &found) { workflow = found; });
    if (workflow) {
        if (const auto board = this->boardOf(workflow->upstream)) {
            board->addWorkflow(*workflow);
        }
    }
}

void Dispatcher::workflowCancelled(const WorkflowId &id)
{
    for (const auto &[upstream, board] : this->allBoards()) {
        board->endWorkflow(id);
    }
}

void Dispatcher::workerAnnounced(const WorkerRecord &worker)
{
    if (const auto board = this->boardOf(worker.upstream)) {
        board->workerChanged(worker);
    }
}

void Dispatcher::workerForgotten(const InstanceId &id, WorkerLife life)
{
    for (const auto &[upstream, board] : this->allBoards()) {
        board->workerLeft(id, life);
    }
}

void Dispatcher::configurationChanged()
{
    for (const auto &[upstream, board] : this->allBoards()) {
        board->reconsider();
    }
}

void Dispatcher::workerHeard(const WorkerRecord &worker, std::optional<WorkerTime> workerClock)
{
    if (const auto board = this->boardOf(worker.upstream)) {
        board->workerHeard(worker.id, worker.life, workerClock);
    }
}

std::map<std::string, BoardReadings> Dispatcher::readings() const
{
    std::map<std::string, BoardReadings> all;
    for (const auto &[upstream, board] : this->allBoards()) {
        all.emplace(upstream, board->readings());
    }
    return all;
}

} // namespace gooseberry
