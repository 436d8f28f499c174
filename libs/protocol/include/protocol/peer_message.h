#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

#include <base/base.h>
#include <link/link.h>
#include <quorum/quorum.h>

namespace gooseberry {

/** Identifies a request on the instance that forwards it. A process never reuses an id. */
using ForwardId = StrongId<struct ForwardTag, std::uint64_t>;

/** A caller's request that an instance forwards to the leader. */
struct Forward
{
    ForwardId id;
    /** The time that remains until the caller's deadline, counted from receipt of this message. */
    std::chrono::milliseconds deadline{0};
    HttpRequest request;

    bool operator==(const Forward &other) const = default;
};

/** The reply to the Forward with the same id. An error's outcome covers the whole request. */
struct ForwardReply
{
    ForwardId id;
    Result<HttpResponse> result;

    bool operator==(const ForwardReply &other) const = default;
};

/** Tells a non-voting instance who the leader is. Without an id, no leader is known. */
struct LeaderHint
{
    std::optional<InstanceId> leader;
    Term term;

    bool operator==(const LeaderHint &other) const = default;
};

/** The content of one frame between control instances. */
using PeerMessage = std::variant<QuorumMessage, Forward, ForwardReply, LeaderHint>;

} // namespace gooseberry
