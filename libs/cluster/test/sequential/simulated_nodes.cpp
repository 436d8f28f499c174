#include "simulated_nodes.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <codec/codec.h>

#include "cluster_records.h"

namespace gooseberry {

using namespace std::chrono_literals;

namespace {

/** How long a leader that gets no answers from the others may go on. */
constexpr std::chrono::milliseconds leaderLease{1000};
/** After this time without a beacon, a node knows no leader. */
constexpr std::chrono::milliseconds leaderLifetime{1200};
/** A link whose other end is silent is closed after this time. */
constexpr std::chrono::milliseconds linkSilence{1000};

Error failure(ErrorCode code, const std::string &message, Outcome outcome)
{
    return Error{
        .code = code, .step = Step::Forward, .peer = {}, .message = message, .outcome = outcome};
}

} // namespace

void Simulation::after(Duration delay, std::function<void()> task)
{
    this->tasks.emplace(this->clock.steadyNow() + delay, std::move(task));
}

void Simulation::run(std::chrono::milliseconds time)
{
    for (std::chrono::milliseconds passed{0}; passed < time; passed += 1ms) {
        this->clock.advance(1ms);
        while (!this->tasks.empty() && this->tasks.begin()->first <= this->clock.steadyNow()) {
            const auto task = std::move(this->tasks.begin()->second);
            this->tasks.erase(this->tasks.begin());
            task();
        }
    }
}

std::chrono::milliseconds Simulation::between(int low, int high)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(low, high)(this->random));
}

bool Simulation::chance(int percent)
{
    return this->between(1, 100).count() <= percent;
}

SimulatedNode::SimulatedNode(SimulatedNodes &initialCell, std::size_t initialNumber,
                             bool initialHasLog)
    : cell(initialCell)
    , number(initialNumber)
    , hasLog(initialHasLog)
    , id("node-" + std::to_string(initialNumber))
    , dispatcher(
          DispatchSettings{}, initialCell.simulation.clock, this->workers, this->adviser, *this,
          this->state,
          [this](Duration delay, std::function<void()> task) {
              this->after(delay, std::move(task));
          },
          this->metrics)
    , service(this->state, *this, this->dispatcher)
{
    this->restart();
}

void SimulatedNode::restart()
{
    ++this->process;
    this->leaseEnd = SteadyTime{};
    this->frozenUntil = SteadyTime{};
    this->knownLeader.reset();
    this->waiting.clear();
    if (this->requests) {
        this->requests->stop();
        this->ended.push_back(std::move(this->requests));
    }
    this->requests = std::make_unique<LeaderRequests>(
        *this, this->cell.simulation.clock,
        [this](RequestKind kind, const std::string &request,
               const std::function<void(Result<std::string>)> &done) {
            this->serve(kind, request, done);
        });
}

void SimulatedNode::serve(RequestKind /*kind*/, const std::string &request,
                          const std::function<void(Result<std::string>)> &done)
{
    const Result<CallerRequest> decoded = decodeRecord<CallerRequest>(request);
    if (!ok(decoded)) {
        done(errorOf(decoded));
        return;
    }
    this->service.serve(valueOf(decoded), [done](const Result<CallerReply> &reply) {
        done(ok(reply) ? Result<std::string>(encodeRecord(valueOf(reply)))
                       : Result<std::string>(errorOf(reply)));
    });
}

const InstanceId &SimulatedNode::self() const
{
    return this->id;
}

bool SimulatedNode::leads() const
{
    return this->holdsLease();
}

bool SimulatedNode::holdsLease() const
{
    return this->hasLog && this->cell.simulation.clock.steadyNow() < this->leaseEnd;
}

std::optional<InstanceId> SimulatedNode::leader() const
{
    if (this->holdsLease()) {
        return this->id;
    }
    const bool fresh = this->cell.simulation.clock.steadyNow() - this->heardAt < leaderLifetime;
    return fresh && this->knownLeader != this->id ? this->knownLeader : std::nullopt;
}

bool SimulatedNode::isConnected(const InstanceId &node) const
{
    const SimulatedNode *const other = this->cell.find(node);
    return other != nullptr && this->cell.areLinked(*this, *other);
}

std::vector<InstanceId> SimulatedNode::connectedReplicas() const
{
    std::vector<InstanceId> replicas;
    for (const auto &node : this->cell.nodes) {
        if (node->hasLog && node.get() != this && this->cell.areLinked(*this, *node)) {
            replicas.push_back(node->id);
        }
    }
    return replicas;
}

bool SimulatedNode::pausedRecently() const
{
    return this->frozenUntil != SteadyTime{}
    && this->cell.simulation.clock.steadyNow() - this->frozenUntil < 1s;
}

void SimulatedNode::call(const InstanceId &node, const std::string &frame,
                         std::chrono::milliseconds timeout,
                         std::function<void(Result<std::string>)> done)
{
    this->cell.call(*this, node, frame, timeout, done);
}

void SimulatedNode::after(Duration delay, std::function<void()> task)
{
    this->cell.simulation.after(delay, [this, startedIn = this->process, task = std::move(task)]() {
        this->runHere(startedIn, task);
    });
}

bool SimulatedNode::isFrozen() const
{
    return this->cell.simulation.clock.steadyNow() < this->frozenUntil;
}

void SimulatedNode::runHere(int startedIn, const std::function<void()> &task)
{
    if (startedIn != this->process) {
        return;
    }
    if (this->isFrozen()) {
        this->waiting.push_back(task);
    } else {
        task();
    }
}

void SimulatedNode::propose(WorkflowCommand command,
                            std::function<void(Result<CommandOutcome>)> done)
{
    this->cell.propose(*this, std::move(command), std::move(done));
}

SimulatedNodes::SimulatedNodes(Simulation &initialSimulation, std::size_t keepers,
                               std::size_t entries)
    : simulation(initialSimulation)
    , keeperCount(keepers)
{
    for (std::size_t number = 0; number < keepers + entries; ++number) {
        this->nodes.push_back(std::make_unique<SimulatedNode>(*this, number, number < keepers));
    }
    this->beginLeadership(0);
}

SimulatedNode *SimulatedNodes::find(const InstanceId &id) const
{
    const auto found = std::find_if(this->nodes.begin(), this->nodes.end(),
                                    [&](const auto &node) { return node->id == id; });
    return found == this->nodes.end() ? nullptr : found->get();
}

bool SimulatedNodes::areLinked(const SimulatedNode &one, const SimulatedNode &other) const
{
    const SteadyTime now = this->simulation.clock.steadyNow();
    return now >= one.cutUntil && now >= other.cutUntil;
}

void SimulatedNodes::call(SimulatedNode &from, const InstanceId &to, const std::string &frame,
                          std::chrono::milliseconds timeout,
                          const std::function<void(Result<std::string>)> &done)
{
    const auto finished = std::make_shared<bool>(false);
    const auto finish
        = [&from, startedIn = from.process, finished, done](const Result<std::string> &result) {
              from.runHere(startedIn, [finished, done, result]() {
                  if (!std::exchange(*finished, true)) {
                      done(result);
                  }
              });
          };
    SimulatedNode *const target = this->find(to);
    if (target == nullptr || !this->areLinked(from, *target)) {
        this->simulation.after(Duration::zero(), [finish]() {
            finish(failure(ErrorCode::Unavailable, "there is no link", Outcome::NotRun));
        });
        return;
    }
    const Error open = failure(ErrorCode::DeadlineExceeded, "no reply", Outcome::Unknown);
    this->simulation.after(std::min<Duration>(timeout, 10s), [finish, open]() { finish(open); });
    const bool late = this->simulation.chance(this->lostFrames);
    const bool replyLost = this->simulation.chance(this->lostFrames);
    const auto reply = [this, &from, target, finish, replyLost](const std::string &answer) {
        if (!replyLost && this->areLinked(from, *target)) {
            this->simulation.after(this->simulation.between(1, 4),
                                   [finish, answer]() { finish(answer); });
        }
    };
    this->simulation.after(
        late ? this->simulation.between(500, 4000) : this->simulation.between(1, 4),
        [this, &from, target, frame, reply, finish, open, startedIn = target->process]() {
            if (startedIn != target->process || !this->areLinked(from, *target)) {
                this->simulation.after(linkSilence, [finish, open]() { finish(open); });
                return;
            }
            target->runHere(startedIn, [target, frame, reply]() {
                target->requests->serveFrame(frame, reply);
            });
        });
}

SimulatedNode &SimulatedNodes::leadingNode() const
{
    return *this->nodes[this->leading];
}

void SimulatedNodes::propose(SimulatedNode &keeper, WorkflowCommand command,
                             std::function<void(Result<CommandOutcome>)> done)
{
    if (!this->hasLeader || &keeper != &this->leadingNode()) {
        done(failure(ErrorCode::NotLeader, "this node does not lead", Outcome::NotRun));
        return;
    }
    if (keeper.diskFull) {
        done(failure(ErrorCode::StorageFull, "the disk is full", Outcome::NotRun));
        return;
    }
    const auto answer = [&keeper, startedIn = keeper.process,
                         done = std::move(done)](const Result<CommandOutcome> &result) {
        keeper.runHere(startedIn, [done, result]() { done(result); });
    };
    this->uncommitted.push_back(Entry{.command = std::move(command), .done = answer});
    this->simulation.after(this->simulation.between(2, 20), [this, proposedIn = this->term]() {
        this->commitFirstEntry(proposedIn);
    });
}

void SimulatedNodes::commitFirstEntry(Term proposedIn)
{
    if (!this->hasLeader || this->term != proposedIn || this->uncommitted.empty()) {
        return;
    }
    const Entry entry = std::move(this->uncommitted.front());
    this->uncommitted.pop_front();
    this->committed.push_back(entry.command);
    SimulatedNode &leader = this->leadingNode();
    ++leader.applied;
    entry.done(leader.state.apply(
        ProposedCommand{.origin = 1, .number = 1, .at = {}, .command = entry.command}));
}

void SimulatedNodes::applyCommitted(SimulatedNode &keeper, std::size_t entries)
{
    for (std::size_t i = 0; i < entries && keeper.applied < this->committed.size(); ++i) {
        keeper.state.apply(ProposedCommand{
            .origin = 1, .number = 1, .at = {}, .command = this->committed[keeper.applied++]});
    }
}

void SimulatedNodes::beginLeadership(std::size_t number)
{
    ++this->term.value;
    this->leading = number;
    for (WorkflowCommand &command : this->surviving) {
        this->committed.push_back(std::move(command));
    }
    this->surviving.clear();
    SimulatedNode &leader = this->leadingNode();
    this->applyCommitted(leader, this->committed.size());
    leader.cutUntil = SteadyTime{};
    leader.leaseEnd = this->simulation.clock.steadyNow() + leaderLease;
    this->hasLeader = true;
}

void SimulatedNodes::endLeadership(std::chrono::milliseconds delay)
{
    this->hasLeader = false;
    const auto kept = static_cast<std::size_t>(
        this->simulation.between(0, static_cast<int>(this->uncommitted.size())).count());
    for (std::size_t index = 0; index < this->uncommitted.size(); ++index) {
        if (index < kept) {
            this->surviving.push_back(this->uncommitted[index].command);
        }
        this->simulation.after(delay, [done = this->uncommitted[index].done]() {
            done(failure(ErrorCode::NotLeader, "leadership was lost", Outcome::Unknown));
        });
    }
    this->uncommitted.clear();
    const std::size_t next
        = (this->leading + static_cast<std::size_t>(this->simulation.between(1, 2).count()))
        % this->keeperCount;
    this->simulation.after(delay, [this, next]() {
        this->nodes[next]->frozenUntil = SteadyTime{};
        this->beginLeadership(next);
    });
}

void SimulatedNodes::killLeader()
{
    if (this->hasLeader) {
        this->leadingNode().restart();
        this->endLeadership(this->simulation.between(200, 3500));
    }
}

void SimulatedNodes::freezeLeader()
{
    if (this->hasLeader) {
        this->leadingNode().frozenUntil
            = this->simulation.clock.steadyNow() + this->simulation.between(1000, 6000);
        this->endLeadership(leaderLease + this->simulation.between(200, 3500));
    }
}

void SimulatedNodes::cutLeader()
{
    if (this->hasLeader) {
        this->leadingNode().cutUntil
            = this->simulation.clock.steadyNow() + this->simulation.between(1000, 6000);
        this->endLeadership(leaderLease + this->simulation.between(200, 3500));
    }
}

void SimulatedNodes::tick()
{
    const SteadyTime now = this->simulation.clock.steadyNow();
    for (const auto &node : this->nodes) {
        while (!node->isFrozen() && !node->waiting.empty()) {
            const auto task = std::move(node->waiting.front());
            node->waiting.pop_front();
            task();
        }
        const bool leads = this->hasLeader && node.get() == &this->leadingNode();
        if (leads) {
            node->leaseEnd = now + leaderLease;
        } else if (node->hasLog && this->simulation.chance(30)) {
            this->applyCommitted(*node, 1);
        }
        if (!this->hasLeader || leads || node->isFrozen()
            || !this->areLinked(*node, this->leadingNode()) || !this->simulation.chance(10)) {
            continue;
        }
        const bool changed = node->knownLeader != this->leadingNode().id;
        node->knownLeader = this->leadingNode().id;
        node->heardAt = now;
        if (changed) {
            node->requests->retryWithNewLeader(*node->knownLeader);
        }
    }
}

} // namespace gooseberry
