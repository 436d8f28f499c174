#include "simulated_cell.h"

#include <algorithm>

#include "leader_lease.h"
#include "leadership_transfer.h"
#include "membership.h"
#include "replication.h"
#include "snapshot_transfer.h"

namespace gooseberry {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t simulatedChunkSize = 16;

std::uint64_t extendHash(std::uint64_t prefixHash, const LogEntry &entry)
{
    const std::size_t content = std::hash<std::string>{}(entry.payload);
    return (prefixHash ^ (content + entry.term.value)) * 0x9E3779B97F4A7C15ULL + entry.index.value;
}

} // namespace

SimulatedCell::SimulatedCell(std::uint64_t seed, std::size_t voters, FaultRates initialRates,
                             InjectedBugs initialInjectedBugs, bool votersForgetVotes)
    : rates(initialRates)
    , injectedBugs(initialInjectedBugs)
    , forgetVotes(votersForgetVotes)
    , random(seed)
    , nodes(voters)
{
    for (std::size_t number = 0; number < voters; ++number) {
        Node &node = this->nodes[number];
        node.id = InstanceId(std::string(1, static_cast<char>('a' + number)));
        // Any two clocks differ by less than the drift bound of 1 %.
        node.clockRate = 0.996 + 0.008 * static_cast<double>(this->randomBelow(1000)) / 1000.0;
        node.disk.vote.disk = DiskId(++this->diskIdsIssued);
    }
    for (Node &node : this->nodes) {
        this->startNode(node);
    }
}

void SimulatedCell::startNode(Node &node)
{
    node.state = {};
    ProtocolSettings &settings = node.state.settings;
    settings.self = node.id;
    settings.disk = node.disk.vote.disk;
    settings.bootstrap = true;
    for (const Node &each : this->nodes) {
        settings.initialMembership.voters.insert(each.id);
    }
    settings.heartbeatInterval = milliseconds(20);
    settings.leaderLease = milliseconds(100);
    settings.minElectionTimeout = milliseconds(100);
    settings.maxElectionTimeout = milliseconds(200);
    settings.injectedBugs = this->injectedBugs;
    node.state.random.seed(static_cast<std::minstd_rand::result_type>(this->random()));
    node.state.term = node.disk.vote.term;
    if (!this->forgetVotes || node.state.term <= Term(1)) {
        node.state.votedFor = node.disk.vote.votedFor;
    }
    node.state.log = node.disk.summary;
    node.state.snapshot = node.disk.snapshot;
    node.inbox.clear();
    node.pendingProposals.clear();
    node.running = true;
    node.pausedUntil = milliseconds(0);
    initialize(node.state, this->localTime(node));
}

void SimulatedCell::run(milliseconds duration)
{
    for (const milliseconds end = this->now + duration; this->now < end && !this->violation;) {
        this->step();
    }
}

bool SimulatedCell::runUntil(const std::function<bool()> &condition, milliseconds duration)
{
    const milliseconds end = this->now + duration;
    while (this->now < end && !this->violation && !condition()) {
        this->step();
    }
    return !this->violation && condition();
}

bool SimulatedCell::recovers()
{
    this->rates = FaultRates{.propose = 0};
    this->cutLinks.clear();
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        this->isolate(number, false, false);
        if (!this->nodes[number].running) {
            this->restart(number);
        }
    }
    const LogIndex target(this->committed().value + 1);
    return this->runUntil(
        [&] {
            if (this->committed() < target && this->now.count() % 50 == 0) {
                this->propose();
            }
            return !this->nodeWithLostDisk
                && std::all_of(this->nodes.begin(), this->nodes.end(), [&](const Node &node) {
                       return node.state.commit >= target && mayVote(node.state);
                   });
        },
        milliseconds(10000));
}

void SimulatedCell::step()
{
    this->now += milliseconds(1);
    this->injectFaults();
    if (this->nodeWithLostDisk && this->now.count() % 16 == 0) {
        this->repairLostDisk();
    }
    this->deliver();
    for (Node &node : this->nodes) {
        if (!node.running && node.restartAt > milliseconds(0) && this->now >= node.restartAt) {
            this->startNode(node);
        }
        if (node.running && this->now >= node.pausedUntil
            && (!node.inbox.empty() || !node.pendingProposals.empty() || node.transferRequested
                || this->localTime(node) >= nextTick(node.state))) {
            this->processBatch(node);
            this->check(node);
        }
    }
    this->checkLeases();
}

void SimulatedCell::injectFaults()
{
    if (this->chance(this->rates.propose)) {
        this->propose();
    }
    Node &node = this->nodes[this->randomBelow(this->nodes.size())];
    const auto number = static_cast<std::size_t>(&node - this->nodes.data());
    if (this->chance(this->rates.crash) && node.running) {
        this->crash(number);
        node.restartAt
            = this->now + milliseconds(1 + this->randomBelow(this->chance(0.5) ? 20 : 800));
    }
    if (this->chance(this->rates.quickRestart) && node.running) {
        this->crash(number);
        node.restartAt = this->now + milliseconds(1);
    }
    if (const auto leader = this->latestLeader(); leader && this->chance(this->rates.crashLeader)) {
        this->crash(*leader);
        this->nodes[*leader].restartAt = this->now + milliseconds(1 + this->randomBelow(600));
    }
    if (this->chance(this->rates.cutLink)) {
        const std::size_t other = this->randomBelow(this->nodes.size());
        this->cutLinks[std::minmax(number, other)]
            = this->now + milliseconds(this->randomBelow(600));
    }
    if (this->chance(this->rates.pause)) {
        this->pause(number, milliseconds(this->randomBelow(400)));
    }
    if (this->chance(this->rates.isolate)) {
        const std::uint64_t kind = this->randomBelow(3);
        this->isolate(number, kind != 1, kind != 0);
        node.isolatedUntil = this->now + milliseconds(this->randomBelow(800));
    }
    if (this->chance(this->rates.eraseDisk) && !this->nodeWithLostDisk
        && node.state.term > Term(0)) {
        this->crash(number);
        this->eraseDisk(number);
        node.restartAt = this->now + milliseconds(1 + this->randomBelow(100));
    }
    node.transferRequested = node.transferRequested || this->chance(this->rates.leadershipTransfer);
    if (this->chance(this->rates.snapshot) && node.running) {
        this->takeSnapshot(node);
    }
    for (Node &each : this->nodes) {
        if (each.isolatedUntil > milliseconds(0) && this->now >= each.isolatedUntil) {
            each.cutSends = each.cutReceives = false;
            each.isolatedUntil = milliseconds(0);
        }
    }
}

void SimulatedCell::repairLostDisk()
{
    const auto leader = this->latestLeader();
    const Node &lost = this->nodes[*this->nodeWithLostDisk];
    if (!leader || this->now < this->nodes[*leader].pausedUntil) {
        return;
    }
    Node &node = this->nodes[*leader];
    const Membership &membership = currentMembership(node.state.log);
    const auto disk = membership.disks.find(lost.id);
    if (disk != membership.disks.end() && disk->second == lost.disk.vote.disk) {
        if (node.state.commit >= membershipIndex(node.state.log)) {
            this->nodeWithLostDisk.reset();
            this->repairs += 1;
        }
        return;
    }
    if (!ok(checkMembershipChange(node.state))) {
        return;
    }
    const Result<Membership> changed = membership.voters.contains(lost.id)
        ? withoutMember(node.state, lost.id)
        : membership.learners.contains(lost.id) ? withVoter(node.state, lost.id)
                                                : withLearner(node.state, lost.id);
    if (ok(changed)) {
        LogEntry entry;
        entry.kind = EntryKind::Membership;
        entry.membership = valueOf(changed);
        node.pendingProposals.push_back(entry);
    }
}

void SimulatedCell::deliver()
{
    while (!this->network.empty() && this->network.begin()->first <= this->now) {
        auto packet = this->network.extract(this->network.begin());
        Node &node = this->nodes[packet.mapped().to];
        const auto sender
            = static_cast<std::size_t>(this->find(packet.mapped().from) - this->nodes.data());
        if (node.running && !node.cutReceives && !this->isCut(sender, packet.mapped().to)) {
            node.inbox.emplace_back(packet.mapped().from, std::move(packet.mapped().message));
        }
    }
}

void SimulatedCell::processBatch(Node &node)
{
    const SteadyTime local = this->localTime(node);
    const ReplicaState before = node.state;
    Effects effects;
    for (const auto &[from, message] : node.inbox) {
        receive(node.state, local, from, message, effects);
    }
    node.inbox.clear();
    for (LogEntry &entry : node.pendingProposals) {
        if (node.state.role == Role::Leader && !node.state.leadership.transfer
            && (entry.kind == EntryKind::Command || ok(checkMembershipChange(node.state)))) {
            appendOnLeader(node.state, std::move(entry), effects);
        }
    }
    node.pendingProposals.clear();
    if (node.transferRequested) {
        beginLeadershipTransfer(node.state, local);
        node.transferRequested = false;
    }
    tick(node.state, local, effects);
    finishBatch(node.state, local, effects);
    if (!this->persist(node, before, effects)) {
        return;
    }
    if (node.running) {
        entriesStored(node.state);
    }
    if (node.state.role == Role::Leader && node.state.commit > before.commit
        && this->chance(this->rates.crashAfterCommit)) {
        this->check(node);
        node.running = false;
        node.restartAt = this->now + milliseconds(1 + this->randomBelow(600));
        return;
    }
    for (OutgoingMessage &outgoing : effects.messages) {
        const auto *const vote = std::get_if<VoteReply>(&outgoing.message);
        if (vote != nullptr && vote->granted && this->chance(this->rates.crashAfterVote)) {
            node.running = false;
            node.restartAt = this->now + milliseconds(1);
        }
        this->send(node, outgoing);
    }
}

/**
 * Stores the results of a batch. The replica may crash before, during or after that, or after
 * sending the messages; returns whether the messages are sent.
 */
bool SimulatedCell::persist(Node &node, const ReplicaState &before, Effects &effects)
{
    const bool writes = node.state.term != before.term || node.state.votedFor != before.votedFor
        || effects.install || !effects.entries.empty();
    const std::uint64_t completedStages
        = writes && this->chance(this->rates.crash * 20) ? this->randomBelow(5) : 5;
    Disk &disk = node.disk;
    if (completedStages > 0) {
        disk.vote.term = node.state.term;
        disk.vote.votedFor = node.state.votedFor;
    }
    if (completedStages > 1 && effects.install) {
        const IncomingSnapshot &snapshot = *effects.install;
        this->installs += 1;
        disk.entries.clear();
        resetLog(disk.summary, snapshot.lastIndex, snapshot.lastTerm, snapshot.membership);
        disk.snapshot = {snapshot.lastIndex, snapshot.lastTerm, snapshot.membership};
        disk.snapshotBytes = snapshot.bytes;
        const auto expected = this->committedEntries.size() < snapshot.lastIndex.value
            ? std::string()
            : std::to_string(this->committedEntries[snapshot.lastIndex.value - 1].prefixHash);
        if (snapshot.bytes.substr(0, snapshot.bytes.find(' ')) != expected) {
            this->reportViolation("a snapshot differs from what was committed");
        }
    }
    if (completedStages > 2 && !effects.entries.empty()) {
        this->storeEntries(disk, effects.entries);
    }
    if (completedStages < 5) {
        node.running = false;
        node.restartAt
            = this->now + milliseconds(1 + this->randomBelow(this->chance(0.5) ? 20 : 200));
    }
    return completedStages >= 4;
}

void SimulatedCell::storeEntries(Disk &disk, const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        addEntry(disk.summary, entry);
        disk.entries.resize(entry.index.value - disk.summary.baseIndex.value - 1);
        disk.entries.push_back(entry);
    }
}

void SimulatedCell::takeSnapshot(Node &node)
{
    const LogIndex index = node.state.commit;
    if (index <= node.state.snapshot.lastIndex || !termAt(node.state.log, index)
        || this->committedEntries.size() < index.value) {
        return;
    }
    node.state.snapshot
        = {index, *termAt(node.state.log, index), membershipAt(node.state.log, index)};
    node.disk.snapshot = node.state.snapshot;
    node.disk.snapshotBytes = std::to_string(this->committedEntries[index.value - 1].prefixHash)
        + " " + std::string(40, 'x');
    // Compacts up to the snapshot even if followers need the entries, so that snapshots are sent
    // more often.
    const std::uint64_t removed = index.value - node.state.log.baseIndex.value;
    compactLog(node.state.log, index);
    compactLog(node.disk.summary, index);
    node.disk.entries.erase(node.disk.entries.begin(),
                            node.disk.entries.begin() + static_cast<std::ptrdiff_t>(removed));
}

bool SimulatedCell::fill(Node &node, OutgoingMessage &outgoing)
{
    if (auto *const append = std::get_if<Append>(&outgoing.message)) {
        // Sends few entries per message, so that followers are often only partly caught up.
        const std::uint64_t maxEntries = 1 + this->randomBelow(3);
        const std::uint64_t base = node.disk.summary.baseIndex.value;
        for (std::uint64_t index = append->prevIndex.value + 1; index <= outgoing.lastEntry.value;
             ++index) {
            if (append->entries.size() == maxEntries) {
                setLastSentIndex(node.state, outgoing.to, LogIndex(index - 1));
                break;
            }
            append->entries.push_back(node.disk.entries.at(index - base - 1));
        }
    } else if (auto *const part = std::get_if<InstallSnapshot>(&outgoing.message)) {
        const std::string &bytes = node.disk.snapshotBytes;
        if (part->offset > bytes.size()) {
            return false;
        }
        part->chunk = bytes.substr(part->offset, simulatedChunkSize);
        part->last = part->offset + part->chunk.size() == bytes.size();
    }
    return true;
}

void SimulatedCell::send(Node &node, OutgoingMessage &outgoing)
{
    Node *const receiver = this->find(outgoing.to);
    if (!this->fill(node, outgoing) || receiver == nullptr || node.cutSends) {
        return;
    }
    const int copies
        = (this->chance(this->rates.drop) ? 0 : 1) + (this->chance(this->rates.duplicate) ? 1 : 0);
    for (int copy = 0; copy < copies; ++copy) {
        const milliseconds delay(1 + this->randomBelow(this->chance(this->rates.slow) ? 150 : 4));
        this->network.emplace(this->now + delay,
                              Packet{.to = static_cast<std::size_t>(receiver - this->nodes.data()),
                                     .from = node.id,
                                     .message = outgoing.message});
    }
}

void SimulatedCell::check(Node &node)
{
    if (!node.running) {
        return;
    }
    const ReplicaState &state = node.state;
    if (state.term < node.checkedTerm) {
        this->reportViolation("the term of " + node.id.value + " decreased");
    }
    node.checkedTerm = state.term;
    if (state.role == Role::Leader) {
        const auto [entry, added] = this->leaders.emplace(state.term, node.id);
        this->leaderships += added ? 1 : 0;
        if (entry->second != node.id) {
            this->reportViolation("two leaders in term " + std::to_string(state.term.value));
        }
    }
    LogIndex index = std::max(state.log.baseIndex, node.checkedCommit);
    while (index < state.commit) {
        index = LogIndex(index.value + 1);
        const std::size_t position = index.value - node.disk.summary.baseIndex.value - 1;
        if (position >= node.disk.entries.size()) {
            this->reportViolation("committed entry " + std::to_string(index.value)
                                  + " is not stored");
            return;
        }
        const LogEntry &entry = node.disk.entries[position];
        const std::uint64_t prefixHash
            = this->committedEntries.empty() ? 0 : this->committedEntries.back().prefixHash;
        if (index.value == this->committedEntries.size() + 1) {
            this->committedEntries.push_back(
                {entry.term, entry.payload, extendHash(prefixHash, entry)});
        } else if (index.value > this->committedEntries.size()
                   || this->committedEntries[index.value - 1].term != entry.term
                   || this->committedEntries[index.value - 1].payload != entry.payload) {
            this->reportViolation("committed entry " + std::to_string(index.value) + " differs on "
                                  + node.id.value);
            return;
        }
    }
    node.checkedCommit = std::max(node.checkedCommit, state.commit);
}

void SimulatedCell::checkLeases()
{
    std::string holders;
    for (const Node &node : this->nodes) {
        // Includes paused replicas, which would rely on their lease after resuming.
        const auto end = leaseEnd(node.state, this->localTime(node));
        if (node.running && end && this->localTime(node) < *end) {
            holders += node.id.value;
        }
    }
    if (holders.size() > 1) {
        this->reportViolation("two leases at once: " + holders);
    }
}

void SimulatedCell::reportViolation(const std::string &what)
{
    if (!this->violation) {
        this->violation = what + " at " + std::to_string(this->now.count()) + " ms";
    }
}

void SimulatedCell::crash(std::size_t number)
{
    this->nodes[number].running = false;
    this->nodes[number].restartAt = milliseconds(0);
}

void SimulatedCell::restart(std::size_t number)
{
    this->startNode(this->nodes[number]);
}

void SimulatedCell::eraseDisk(std::size_t number)
{
    Node &node = this->nodes[number];
    node.disk = {};
    node.disk.vote.disk = DiskId(++this->diskIdsIssued);
    node.checkedTerm = Term(0);
    node.checkedCommit = LogIndex(0);
    this->nodeWithLostDisk = number;
}

void SimulatedCell::isolate(std::size_t number, bool sends, bool receives)
{
    this->nodes[number].cutSends = sends;
    this->nodes[number].cutReceives = receives;
    this->nodes[number].isolatedUntil = milliseconds(0);
}

void SimulatedCell::pause(std::size_t number, milliseconds duration)
{
    this->nodes[number].pausedUntil = this->now + duration;
}

std::optional<std::size_t> SimulatedCell::leaseHolder() const
{
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        const Node &node = this->nodes[number];
        const auto end = leaseEnd(node.state, this->localTime(node));
        if (node.running && end && this->localTime(node) < *end) {
            return number;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> SimulatedCell::latestLeader() const
{
    std::optional<std::size_t> latest;
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        const Node &node = this->nodes[number];
        if (node.running && node.state.role == Role::Leader
            && (!latest || node.state.term > this->nodes[*latest].state.term)) {
            latest = number;
        }
    }
    return latest;
}

bool SimulatedCell::propose()
{
    // Chooses any leader, including one that has been superseded but does not know it yet.
    std::vector<Node *> leading;
    for (Node &node : this->nodes) {
        if (node.running && node.state.role == Role::Leader) {
            leading.push_back(&node);
        }
    }
    if (leading.empty()) {
        return false;
    }
    LogEntry entry;
    entry.payload = "command " + std::to_string(++this->proposals);
    leading[this->randomBelow(leading.size())]->pendingProposals.push_back(entry);
    return true;
}

LogIndex SimulatedCell::committed() const
{
    return LogIndex(this->committedEntries.size());
}

LogIndex SimulatedCell::commitOf(std::size_t number) const
{
    return this->nodes[number].state.commit;
}

bool SimulatedCell::isEligibleVoter(std::size_t number) const
{
    return mayVote(this->nodes[number].state);
}

SteadyTime SimulatedCell::localTime(const Node &node) const
{
    return SteadyTime(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(this->now) * node.clockRate));
}

bool SimulatedCell::isCut(std::size_t one, std::size_t other) const
{
    const auto found = this->cutLinks.find(std::minmax(one, other));
    return found != this->cutLinks.end() && this->now < found->second;
}

bool SimulatedCell::chance(double probability)
{
    return probability > 0
        && std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

std::uint64_t SimulatedCell::randomBelow(std::uint64_t limit)
{
    return limit == 0 ? 0 : this->random() % limit;
}

SimulatedCell::Node *SimulatedCell::find(const InstanceId &id)
{
    const auto found = std::find_if(this->nodes.begin(), this->nodes.end(),
                                    [&](const Node &node) { return node.id == id; });
    return found == this->nodes.end() ? nullptr : &*found;
}

} // namespace gooseberry
