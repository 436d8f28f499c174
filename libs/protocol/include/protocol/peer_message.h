#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

#include <base/base.h>
#include <link/link.h>
#include <quorum/quorum.h>

namespace gooseberry {

/** Identifies a forwarded request on the instance that forwards it. Never reused by a process. */
using ForwardId = StrongId<struct ForwardTag, std::uint64_t>;

/** A caller's request that an instance passes on to the leader. */
struct Forward
{
    ForwardId id;
    /** The time that the caller still waits, counted from the moment of receipt. */
    std::chrono::milliseconds deadline{0};
    HttpRequest request;

    bool operator==(const Forward &other) const = default;
};

/** The reply to the Forward with the same id. The error's outcome holds for the whole request. */
struct ForwardReply
{
    ForwardId id;
    Result<HttpResponse> result;

    bool operator==(const ForwardReply &other) const = default;
};

/** Tells an instance that is no voter who leads. Without a leader id, none is known. */
struct LeaderHint
{
    std::optional<InstanceId> leader;
    Term term;

    bool operator==(const LeaderHint &other) const = default;
};

/** The content of one frame between control instances. */
using PeerMessage = std::variant<QuorumMessage, Forward, ForwardReply, LeaderHint>;

} // namespace gooseberry
