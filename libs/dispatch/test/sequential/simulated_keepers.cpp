#include "simulated_keepers.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace gooseberry {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t keeperCount = 3;
/** How long a leader that gets no answers from the others may go on. */
constexpr std::chrono::milliseconds leaderLease{1000};

Error notCommitted(Outcome outcome)
{
    return Error{.code = ErrorCode::NotLeader,
                 .step = Step::Commit,
                 .peer = {},
                 .message = "leadership was lost",
                 .outcome = outcome};
}

} // namespace

SimulatedKeeper::SimulatedKeeper(SimulatedKeepers &initialCell, std::size_t initialNumber)
    : cell(initialCell)
    , number(initialNumber)
    , dispatcher(initialCell.settings, initialCell.clock, *this, initialCell.workers, *this,
                 this->state, this->schedule(), this->observer)
{
}

template<typename... Arguments>
std::function<void(Arguments...)>
SimulatedKeeper::onThisNode(std::function<void(Arguments...)> task)
{
    return [this, task, born = this->life](Arguments... arguments) {
        if (born != this->life) {
            return;
        }
        if (this->isFrozen()) {
            this->deferred.push_back([this, task, born, arguments...]() {
                if (born == this->life) {
                    task(arguments...);
                }
            });
            return;
        }
        task(arguments...);
    };
}

Schedule SimulatedKeeper::schedule()
{
    return [this](Duration delay, std::function<void()> task) {
        this->cell.timers.schedule()(delay, this->onThisNode(std::move(task)));
    };
}

void SimulatedKeeper::propose(WorkflowCommand command,
                              std::function<void(Result<CommandOutcome>)> done)
{
    this->cell.propose(*this, std::move(command), this->onThisNode(std::move(done)));
}

bool SimulatedKeeper::holdsLease() const
{
    return this->cell.clock.steadyNow() < this->leaseEnd;
}

void SimulatedKeeper::start(const WorkerRef &ref, const StartOrder &order,
                            std::function<void(Result<StartReply>)> done)
{
    this->cell.workers.start(ref, order, this->onThisNode(std::move(done)));
}

void SimulatedKeeper::stop(const WorkerRef &ref, const StopOrder &order,
                           std::function<void(Status)> done)
{
    this->cell.workers.stop(ref, order, this->onThisNode(std::move(done)));
}

void SimulatedKeeper::renewLease(const WorkerRef &ref, const LeaseRenewalOrder &order,
                                 std::function<void(Result<LeaseRenewalReply>)> done)
{
    this->cell.workers.renewLease(ref, order, this->onThisNode(std::move(done)));
}

CommandOutcome SimulatedKeeper::apply(const WorkflowCommand &command)
{
    ++this->applied;
    const CellTime now(std::chrono::duration_cast<std::chrono::milliseconds>(
        this->cell.clock.steadyNow().time_since_epoch()));
    CommandOutcome outcome = this->state.apply(
        ProposedCommand{.origin = 1, .number = 1, .at = now, .command = command});
    if (const auto *const accepted = std::get_if<AcceptWorkflow>(&command)) {
        this->dispatcher.workflowAccepted(accepted->id);
    } else if (const auto *const announced = std::get_if<AnnounceWorker>(&command)) {
        if (outcome.changed) {
            this->dispatcher.workerAnnounced(announced->worker);
        }
    } else if (const auto *const forgotten = std::get_if<ForgetWorker>(&command)) {
        this->dispatcher.workerForgotten(forgotten->id, forgotten->incarnation);
    } else if (std::holds_alternative<PutConfig>(command)) {
        this->dispatcher.configurationChanged();
    }
    return outcome;
}

void SimulatedKeeper::kill()
{
    ++this->life;
    this->leaseEnd = SteadyTime{};
    this->frozenUntil = SteadyTime{};
    this->deferred.clear();
    this->dispatcher.endTerm();
}

void SimulatedKeeper::freeze(SteadyTime until)
{
    this->frozenUntil = until;
}

bool SimulatedKeeper::isFrozen() const
{
    return this->cell.clock.steadyNow() < this->frozenUntil;
}

void SimulatedKeeper::thawIfDue()
{
    if (this->isFrozen()) {
        return;
    }
    while (!this->deferred.empty()) {
        const auto task = std::move(this->deferred.front());
        this->deferred.pop_front();
        task();
    }
}

SimulatedKeepers::SimulatedKeepers(ManualClock &initialClock, FakeTimers &initialTimers,
                                   SimulatedWorkers &initialWorkers,
                                   DispatchSettings initialSettings)
    : clock(initialClock)
    , timers(initialTimers)
    , workers(initialWorkers)
    , settings(initialSettings)
{
    for (std::size_t number = 0; number < keeperCount; ++number) {
        this->keepers.push_back(std::make_unique<SimulatedKeeper>(*this, number));
    }
    this->beginLeadership(0, Term(1));
}

SimulatedKeeper *SimulatedKeepers::leader()
{
    return this->hasLeader ? this->keepers[this->leading].get() : nullptr;
}

void SimulatedKeepers::commit(const WorkflowCommand &command)
{
    this->committed.push_back(command);
    SimulatedKeeper &leader = *this->keepers[this->leading];
    if (this->hasLeader && leader.applied + 1 == this->committed.size()) {
        leader.apply(command);
    }
}

void SimulatedKeepers::propose(SimulatedKeeper &keeper, WorkflowCommand command,
                               std::function<void(Result<CommandOutcome>)> done)
{
    if (!this->hasLeader || &keeper != this->keepers[this->leading].get()) {
        done(notCommitted(Outcome::NotRun));
        return;
    }
    this->uncommitted.push_back(Entry{.command = std::move(command), .done = std::move(done)});
    this->timers.schedule()(this->workers.between(1, 12), [this, proposedIn = this->term]() {
        this->commitFirstEntry(proposedIn);
    });
}

void SimulatedKeepers::commitFirstEntry(Term proposedIn)
{
    if (!this->hasLeader || this->term != proposedIn || this->uncommitted.empty()) {
        return;
    }
    const Entry entry = std::move(this->uncommitted.front());
    this->uncommitted.pop_front();
    this->committed.push_back(entry.command);
    entry.done(this->keepers[this->leading]->apply(entry.command));
}

void SimulatedKeepers::endLeadership(std::chrono::milliseconds delay)
{
    this->hasLeader = false;
    const auto kept = static_cast<std::size_t>(
        this->workers.between(0, static_cast<int>(this->uncommitted.size())).count());
    for (std::size_t index = 0; index < this->uncommitted.size(); ++index) {
        if (index < kept) {
            this->surviving.push_back(this->uncommitted[index].command);
        }
        this->uncommitted[index].done(notCommitted(Outcome::Unknown));
    }
    this->uncommitted.clear();
    const std::size_t next
        = (this->leading + static_cast<std::size_t>(this->workers.between(1, 2).count()))
        % keeperCount;
    const Term newTerm(this->term.value + 1);
    this->timers.schedule()(delay,
                            [this, next, newTerm]() { this->beginLeadership(next, newTerm); });
}

void SimulatedKeepers::beginLeadership(std::size_t number, Term newTerm)
{
    this->term = newTerm;
    this->leading = number;
    for (WorkflowCommand &command : this->surviving) {
        this->committed.push_back(std::move(command));
    }
    this->surviving.clear();
    SimulatedKeeper &leader = *this->keepers[number];
    leader.freeze(SteadyTime{});
    leader.thawIfDue();
    while (leader.applied < this->committed.size()) {
        leader.apply(this->committed[leader.applied]);
    }
    this->hasLeader = true;
    leader.leaseEnd = this->clock.steadyNow() + leaderLease;
    leader.dispatcher.beginTerm(newTerm);
}

void SimulatedKeepers::killLeader()
{
    if (!this->hasLeader) {
        return;
    }
    this->keepers[this->leading]->kill();
    this->endLeadership(this->workers.between(200, 1500));
}

void SimulatedKeepers::freezeLeader()
{
    if (!this->hasLeader) {
        return;
    }
    SimulatedKeeper &frozen = *this->keepers[this->leading];
    const SteadyTime until = this->clock.steadyNow() + this->workers.between(1000, 8000);
    frozen.freeze(until);
    this->endLeadership(leaderLease + this->workers.between(200, 1000));
    // The node learns of the new term a moment after it goes on.
    this->endTermLater(frozen, until - this->clock.steadyNow() + this->workers.between(1, 200));
}

void SimulatedKeepers::handOver()
{
    if (!this->hasLeader) {
        return;
    }
    SimulatedKeeper &earlier = *this->keepers[this->leading];
    earlier.leaseEnd = SteadyTime{};
    this->endLeadership(this->workers.between(1, 50));
    this->endTermLater(earlier, this->workers.between(0, 100));
}

void SimulatedKeepers::endTermLater(SimulatedKeeper &keeper, Duration delay)
{
    this->timers.schedule()(delay, [this, &keeper]() {
        if (this->leader() != &keeper) {
            keeper.dispatcher.endTerm();
        }
    });
}

void SimulatedKeepers::tick()
{
    for (const auto &keeper : this->keepers) {
        keeper->thawIfDue();
        const bool leads = this->hasLeader && keeper->number == this->leading;
        if (leads && !keeper->isFrozen()) {
            keeper->leaseEnd = this->clock.steadyNow() + leaderLease;
        } else if (!leads && !keeper->isFrozen() && this->workers.chance(30)
                   && keeper->applied < this->committed.size()) {
            keeper->apply(this->committed[keeper->applied]);
        }
    }
}

} // namespace gooseberry
