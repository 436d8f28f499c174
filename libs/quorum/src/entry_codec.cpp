#include "entry_codec.h"

#include <cstring>

namespace gooseberry {

namespace {

void putNumber(std::string &bytes, std::uint64_t number)
{
    bytes.append(reinterpret_cast<const char *>(&number), sizeof number);
}

void putText(std::string &bytes, const std::string &text)
{
    putNumber(bytes, text.size());
    bytes += text;
}

void putMembership(std::string &bytes, const Membership &membership)
{
    putNumber(bytes, membership.voters.size());
    for (const InstanceId &voter : membership.voters) {
        putText(bytes, voter.value);
    }
    putNumber(bytes, membership.learners.size());
    for (const InstanceId &learner : membership.learners) {
        putText(bytes, learner.value);
    }
    putNumber(bytes, membership.disks.size());
    for (const auto &[id, disk] : membership.disks) {
        putText(bytes, id.value);
        putNumber(bytes, disk.value);
    }
}

/** Reads values from the front of rest; intact becomes false when rest is too short. */
struct Decoder
{
    std::string_view rest;
    bool intact = true;

    std::uint64_t number()
    {
        std::uint64_t value = 0;
        if (this->rest.size() < sizeof value) {
            this->intact = false;
            return 0;
        }
        std::memcpy(&value, this->rest.data(), sizeof value);
        this->rest.remove_prefix(sizeof value);
        return value;
    }

    std::string text()
    {
        const std::uint64_t size = this->number();
        if (size > this->rest.size()) {
            this->intact = false;
            return {};
        }
        std::string value(this->rest.substr(0, size));
        this->rest.remove_prefix(size);
        return value;
    }

    Membership membership()
    {
        Membership result;
        for (std::uint64_t left = this->number(); left > 0 && this->intact; --left) {
            result.voters.emplace(this->text());
        }
        for (std::uint64_t left = this->number(); left > 0 && this->intact; --left) {
            result.learners.emplace(this->text());
        }
        for (std::uint64_t left = this->number(); left > 0 && this->intact; --left) {
            const InstanceId id(this->text());
            result.disks[id] = DiskId(this->number());
        }
        return result;
    }
};

Error decodeError(const std::string &what)
{
    return Error{.code = ErrorCode::Corrupt,
                 .step = Step::Recover,
                 .peer = {},
                 .message = what + " can't be decoded",
                 .outcome = Outcome::NotRun};
}

} // namespace

std::string encodeEntry(const LogEntry &entry)
{
    std::string bytes;
    putNumber(bytes, entry.term.value);
    putNumber(bytes, static_cast<std::uint64_t>(entry.kind));
    if (entry.kind == EntryKind::Membership) {
        putMembership(bytes, entry.membership);
    }
    bytes += entry.payload;
    return bytes;
}

Result<LogEntry> decodeEntry(LogIndex index, const std::string &bytes)
{
    Decoder decoder{.rest = bytes};
    LogEntry entry;
    entry.index = index;
    entry.term = Term(decoder.number());
    const std::uint64_t kind = decoder.number();
    entry.kind = static_cast<EntryKind>(kind);
    if (entry.kind == EntryKind::Membership) {
        entry.membership = decoder.membership();
    }
    if (!decoder.intact || kind > static_cast<std::uint64_t>(EntryKind::Membership)) {
        return decodeError("entry " + std::to_string(index.value));
    }
    entry.payload = decoder.rest;
    return entry;
}

std::string encodeVote(const StoredVote &vote)
{
    std::string bytes;
    putNumber(bytes, vote.term.value);
    putNumber(bytes, vote.disk.value);
    putNumber(bytes, vote.votedFor ? 1 : 0);
    putText(bytes, vote.votedFor.value_or(InstanceId()).value);
    return bytes;
}

Result<StoredVote> decodeVote(const std::string &bytes)
{
    Decoder decoder{.rest = bytes};
    StoredVote vote;
    vote.term = Term(decoder.number());
    vote.disk = DiskId(decoder.number());
    const bool voted = decoder.number() != 0;
    const InstanceId candidate(decoder.text());
    if (voted) {
        vote.votedFor = candidate;
    }
    if (!decoder.intact) {
        return decodeError("term and vote");
    }
    return vote;
}

std::string encodeSnapshot(const SnapshotInfo &info, const std::string &state)
{
    std::string bytes;
    putNumber(bytes, info.lastTerm.value);
    putMembership(bytes, info.membership);
    bytes += state;
    return bytes;
}

Result<SnapshotContent> decodeSnapshot(LogIndex lastIndex, const std::string &bytes)
{
    Decoder decoder{.rest = bytes};
    SnapshotContent content;
    content.info.lastIndex = lastIndex;
    content.info.lastTerm = Term(decoder.number());
    content.info.membership = decoder.membership();
    if (!decoder.intact) {
        return decodeError("snapshot " + std::to_string(lastIndex.value));
    }
    content.state = decoder.rest;
    return content;
}

} // namespace gooseberry
