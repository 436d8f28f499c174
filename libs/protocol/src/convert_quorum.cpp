#include <array>

#include "convert.h"

namespace gooseberry {

namespace {

// Keeps the overloads in this namespace from hiding those declared in convert.h.
using gooseberry::fromWire;
using gooseberry::toWire;

constexpr std::array<std::pair<EntryKind, wire::EntryKind::type>, 3> entryKinds{{
    {EntryKind::Command, wire::EntryKind::COMMAND},
    {EntryKind::NoOp, wire::EntryKind::NO_OP},
    {EntryKind::Membership, wire::EntryKind::MEMBERSHIP},
}};

wire::Membership toWire(const Membership &membership)
{
    wire::Membership out;
    out.voters = toWireIds(membership.voters);
    out.learners = toWireIds(membership.learners);
    for (const auto &[voter, disk] : membership.disks) {
        out.disks[voter.value] = toWire64(disk.value);
    }
    return out;
}

Membership fromWire(const wire::Membership &in)
{
    Membership membership{.voters = fromWireIds<InstanceId>(in.voters),
                          .learners = fromWireIds<InstanceId>(in.learners),
                          .disks = {}};
    for (const auto &[voter, disk] : in.disks) {
        membership.disks[InstanceId(voter)] = DiskId(fromWire64(disk));
    }
    return membership;
}

wire::LogEntry toWire(const LogEntry &entry)
{
    wire::LogEntry out;
    out.index = toWire64(entry.index.value);
    out.term = toWire64(entry.term.value);
    out.kind = enumToWire(entryKinds, entry.kind);
    out.payload = entry.payload;
    if (entry.membership != Membership{}) {
        out.__set_membership(toWire(entry.membership));
    }
    return out;
}

LogEntry fromWire(wire::LogEntry &&in)
{
    LogEntry entry;
    entry.index = LogIndex(fromWire64(in.index));
    entry.term = Term(fromWire64(in.term));
    entry.kind = enumFromWire(entryKinds, in.kind);
    entry.payload = std::move(in.payload);
    if (in.__isset.membership) {
        entry.membership = fromWire(in.membership);
    }
    return entry;
}

void setMember(wire::QuorumMessage &out, const PreVote &message)
{
    out.__isset.preVote = true;
    out.preVote.term = toWire64(message.term.value);
    out.preVote.lastIndex = toWire64(message.lastIndex.value);
    out.preVote.lastTerm = toWire64(message.lastTerm.value);
    out.preVote.disk = toWire64(message.disk.value);
}

void setMember(wire::QuorumMessage &out, const PreVoteReply &message)
{
    out.__isset.preVoteReply = true;
    out.preVoteReply.term = toWire64(message.term.value);
    out.preVoteReply.granted = message.granted;
    out.preVoteReply.disk = toWire64(message.disk.value);
}

void setMember(wire::QuorumMessage &out, const Vote &message)
{
    out.__isset.vote = true;
    out.vote.term = toWire64(message.term.value);
    out.vote.lastIndex = toWire64(message.lastIndex.value);
    out.vote.lastTerm = toWire64(message.lastTerm.value);
    out.vote.handOver = message.handOver;
    out.vote.disk = toWire64(message.disk.value);
}

void setMember(wire::QuorumMessage &out, const VoteReply &message)
{
    out.__isset.voteReply = true;
    out.voteReply.term = toWire64(message.term.value);
    out.voteReply.granted = message.granted;
}

void setMember(wire::QuorumMessage &out, const Append &message)
{
    out.__isset.append = true;
    out.append.term = toWire64(message.term.value);
    out.append.prevIndex = toWire64(message.prevIndex.value);
    out.append.prevTerm = toWire64(message.prevTerm.value);
    out.append.entries.reserve(message.entries.size());
    for (const LogEntry &entry : message.entries) {
        out.append.entries.push_back(toWire(entry));
    }
    out.append.commit = toWire64(message.commit.value);
    out.append.round = toWire64(message.round);
}

void setMember(wire::QuorumMessage &out, const AppendReply &message)
{
    out.__isset.appendReply = true;
    out.appendReply.term = toWire64(message.term.value);
    out.appendReply.success = message.success;
    out.appendReply.matchIndex = toWire64(message.matchIndex.value);
    out.appendReply.round = toWire64(message.round);
    out.appendReply.disk = toWire64(message.disk.value);
}

void setMember(wire::QuorumMessage &out, const InstallSnapshot &message)
{
    out.__isset.installSnapshot = true;
    wire::InstallSnapshot &part = out.installSnapshot;
    part.term = toWire64(message.term.value);
    part.lastIndex = toWire64(message.lastIndex.value);
    part.lastTerm = toWire64(message.lastTerm.value);
    part.membership = toWire(message.membership);
    part.offset = toWire64(message.offset);
    part.chunk = message.chunk;
    part.last = message.last;
}

void setMember(wire::QuorumMessage &out, const InstallSnapshotReply &message)
{
    out.__isset.installSnapshotReply = true;
    out.installSnapshotReply.term = toWire64(message.term.value);
    out.installSnapshotReply.lastIndex = toWire64(message.lastIndex.value);
    out.installSnapshotReply.nextOffset = toWire64(message.nextOffset);
    out.installSnapshotReply.complete = message.complete;
}

void setMember(wire::QuorumMessage &out, const TimeoutNow &message)
{
    out.__isset.timeoutNow = true;
    out.timeoutNow.term = toWire64(message.term.value);
}

QuorumMessage appendFromWire(wire::Append &&in)
{
    Append message;
    message.term = Term(fromWire64(in.term));
    message.prevIndex = LogIndex(fromWire64(in.prevIndex));
    message.prevTerm = Term(fromWire64(in.prevTerm));
    message.entries.reserve(in.entries.size());
    for (wire::LogEntry &entry : in.entries) {
        message.entries.push_back(fromWire(std::move(entry)));
    }
    message.commit = LogIndex(fromWire64(in.commit));
    message.round = fromWire64(in.round);
    return message;
}

QuorumMessage installSnapshotFromWire(wire::InstallSnapshot &&in)
{
    return InstallSnapshot{.term = Term(fromWire64(in.term)),
                           .lastIndex = LogIndex(fromWire64(in.lastIndex)),
                           .lastTerm = Term(fromWire64(in.lastTerm)),
                           .membership = fromWire(in.membership),
                           .offset = fromWire64(in.offset),
                           .chunk = std::move(in.chunk),
                           .last = in.last};
}

/** Converts the election message that is set in the union. */
QuorumMessage electionFromWire(const wire::QuorumMessage &in)
{
    if (in.__isset.preVote) {
        return PreVote{.term = Term(fromWire64(in.preVote.term)),
                       .lastIndex = LogIndex(fromWire64(in.preVote.lastIndex)),
                       .lastTerm = Term(fromWire64(in.preVote.lastTerm)),
                       .disk = DiskId(fromWire64(in.preVote.disk))};
    }
    if (in.__isset.preVoteReply) {
        return PreVoteReply{.term = Term(fromWire64(in.preVoteReply.term)),
                            .granted = in.preVoteReply.granted,
                            .disk = DiskId(fromWire64(in.preVoteReply.disk))};
    }
    if (in.__isset.vote) {
        return Vote{.term = Term(fromWire64(in.vote.term)),
                    .lastIndex = LogIndex(fromWire64(in.vote.lastIndex)),
                    .lastTerm = Term(fromWire64(in.vote.lastTerm)),
                    .handOver = in.vote.handOver,
                    .disk = DiskId(fromWire64(in.vote.disk))};
    }
    if (in.__isset.voteReply) {
        return VoteReply{.term = Term(fromWire64(in.voteReply.term)),
                         .granted = in.voteReply.granted};
    }
    return TimeoutNow{.term = Term(fromWire64(in.timeoutNow.term))};
}

} // namespace

wire::QuorumMessage toWire(const QuorumMessage &message)
{
    wire::QuorumMessage out;
    std::visit([&out](const auto &alternative) { setMember(out, alternative); }, message);
    return out;
}

QuorumMessage fromWire(wire::QuorumMessage &&in)
{
    const auto &set = in.__isset;
    requireExactlyOne("QuorumMessage",
                      {set.preVote, set.preVoteReply, set.vote, set.voteReply, set.append,
                       set.appendReply, set.installSnapshot, set.installSnapshotReply,
                       set.timeoutNow});
    if (set.append) {
        return appendFromWire(std::move(in.append));
    }
    if (set.appendReply) {
        return AppendReply{.term = Term(fromWire64(in.appendReply.term)),
                           .success = in.appendReply.success,
                           .matchIndex = LogIndex(fromWire64(in.appendReply.matchIndex)),
                           .round = fromWire64(in.appendReply.round),
                           .disk = DiskId(fromWire64(in.appendReply.disk))};
    }
    if (set.installSnapshot) {
        return installSnapshotFromWire(std::move(in.installSnapshot));
    }
    if (set.installSnapshotReply) {
        return InstallSnapshotReply{.term = Term(fromWire64(in.installSnapshotReply.term)),
                                    .lastIndex
                                    = LogIndex(fromWire64(in.installSnapshotReply.lastIndex)),
                                    .nextOffset = fromWire64(in.installSnapshotReply.nextOffset),
                                    .complete = in.installSnapshotReply.complete};
    }
    return electionFromWire(in);
}

} // namespace gooseberry
