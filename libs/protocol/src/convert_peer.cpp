#include <array>

#include "convert.h"

namespace gooseberry {

namespace {

// Keeps the overloads in this namespace from hiding those declared in convert.h.
using gooseberry::fromWire;
using gooseberry::toWire;

constexpr std::array<std::pair<ErrorCode, wire::ErrorCode::type>, 16> errorCodes{{
    {ErrorCode::InvalidArgument, wire::ErrorCode::INVALID_ARGUMENT},
    {ErrorCode::TooLarge, wire::ErrorCode::TOO_LARGE},
    {ErrorCode::Unauthenticated, wire::ErrorCode::UNAUTHENTICATED},
    {ErrorCode::PermissionDenied, wire::ErrorCode::PERMISSION_DENIED},
    {ErrorCode::NotFound, wire::ErrorCode::NOT_FOUND},
    {ErrorCode::Conflict, wire::ErrorCode::CONFLICT},
    {ErrorCode::Impossible, wire::ErrorCode::IMPOSSIBLE},
    {ErrorCode::LimitExceeded, wire::ErrorCode::LIMIT_EXCEEDED},
    {ErrorCode::Overloaded, wire::ErrorCode::OVERLOADED},
    {ErrorCode::NotLeader, wire::ErrorCode::NOT_LEADER},
    {ErrorCode::Unavailable, wire::ErrorCode::UNAVAILABLE},
    {ErrorCode::DeadlineExceeded, wire::ErrorCode::DEADLINE_EXCEEDED},
    {ErrorCode::StorageFull, wire::ErrorCode::STORAGE_FULL},
    {ErrorCode::Corrupt, wire::ErrorCode::CORRUPT},
    {ErrorCode::Expired, wire::ErrorCode::EXPIRED},
    {ErrorCode::Internal, wire::ErrorCode::INTERNAL},
}};

constexpr std::array<std::pair<Step, wire::Step::type>, 13> steps{{
    {Step::Settings, wire::Step::SETTINGS},
    {Step::Receive, wire::Step::RECEIVE},
    {Step::Parse, wire::Step::PARSE},
    {Step::Authenticate, wire::Step::AUTHENTICATE},
    {Step::Admit, wire::Step::ADMIT},
    {Step::Forward, wire::Step::FORWARD},
    {Step::Commit, wire::Step::COMMIT},
    {Step::Place, wire::Step::PLACE},
    {Step::Send, wire::Step::SEND},
    {Step::Run, wire::Step::RUN},
    {Step::Answer, wire::Step::ANSWER},
    {Step::Store, wire::Step::STORE},
    {Step::Recover, wire::Step::RECOVER},
}};

constexpr std::array<std::pair<Outcome, wire::Outcome::type>, 2> outcomes{{
    {Outcome::NotRun, wire::Outcome::NOT_RUN},
    {Outcome::Unknown, wire::Outcome::UNKNOWN},
}};

wire::Error toWire(const Error &error)
{
    wire::Error out;
    out.code = enumToWire(errorCodes, error.code);
    out.step = enumToWire(steps, error.step);
    out.peer = error.peer;
    out.message = error.message;
    out.outcome = enumToWire(outcomes, error.outcome);
    out.reason = error.reason;
    return out;
}

Error fromWire(wire::Error &&in)
{
    return Error{.code = enumFromWire(errorCodes, in.code),
                 .step = enumFromWire(steps, in.step),
                 .peer = std::move(in.peer),
                 .message = std::move(in.message),
                 .outcome = enumFromWire(outcomes, in.outcome),
                 .reason = std::move(in.reason)};
}

wire::HttpRequest toWire(const HttpRequest &request)
{
    wire::HttpRequest out;
    out.method = request.method;
    out.target = request.target;
    out.headers = request.headers;
    out.body = request.body;
    out.peer = request.peer;
    return out;
}

HttpRequest fromWire(wire::HttpRequest &&in)
{
    return HttpRequest{.method = std::move(in.method),
                       .target = std::move(in.target),
                       .headers = std::move(in.headers),
                       .body = std::move(in.body),
                       .peer = std::move(in.peer)};
}

wire::HttpResponse toWire(const HttpResponse &response)
{
    wire::HttpResponse out;
    out.status = toWire32(response.status);
    out.headers = response.headers;
    out.body = response.body;
    return out;
}

HttpResponse fromWire(wire::HttpResponse &&in)
{
    constexpr std::int32_t lowestStatus = 100;
    constexpr std::int32_t highestStatus = 999;
    if (in.status < lowestStatus || in.status > highestStatus) {
        throw CorruptMessage("HTTP status " + std::to_string(in.status) + " is out of range");
    }
    return HttpResponse{.status = fromWire32(in.status),
                        .headers = std::move(in.headers),
                        .body = std::move(in.body)};
}

void setMember(wire::PeerMessage &out, const QuorumMessage &message)
{
    out.__isset.quorum = true;
    out.quorum = toWire(message);
}

void setMember(wire::PeerMessage &out, const Forward &message)
{
    out.__isset.forward = true;
    out.forward.id = toWire64(message.id.value);
    out.forward.deadline = message.deadline.count();
    out.forward.request = toWire(message.request);
}

void setMember(wire::PeerMessage &out, const ForwardReply &message)
{
    out.__isset.forwardReply = true;
    out.forwardReply.id = toWire64(message.id.value);
    wire::ForwardResult &result = out.forwardReply.result;
    if (ok(message.result)) {
        result.__isset.response = true;
        result.response = toWire(valueOf(message.result));
    } else {
        result.__isset.error = true;
        result.error = toWire(errorOf(message.result));
    }
}

void setMember(wire::PeerMessage &out, const LeaderHint &message)
{
    out.__isset.leaderHint = true;
    if (message.leader.has_value()) {
        out.leaderHint.__set_leader(message.leader->value);
    }
    out.leaderHint.term = toWire64(message.term.value);
}

PeerMessage forwardReplyFromWire(wire::ForwardReply &&in)
{
    requireExactlyOne("ForwardResult", {in.result.__isset.response, in.result.__isset.error});
    ForwardReply reply;
    reply.id = ForwardId(fromWire64(in.id));
    if (in.result.__isset.response) {
        reply.result = fromWire(std::move(in.result.response));
    } else {
        reply.result = fromWire(std::move(in.result.error));
    }
    return reply;
}

} // namespace

wire::PeerMessage toWire(const PeerMessage &message)
{
    wire::PeerMessage out;
    std::visit([&out](const auto &alternative) { setMember(out, alternative); }, message);
    return out;
}

PeerMessage fromWire(wire::PeerMessage &&in)
{
    const auto &set = in.__isset;
    requireExactlyOne("PeerMessage", {set.quorum, set.forward, set.forwardReply, set.leaderHint});
    if (set.quorum) {
        return fromWire(std::move(in.quorum));
    }
    if (set.forward) {
        return Forward{.id = ForwardId(fromWire64(in.forward.id)),
                       .deadline = std::chrono::milliseconds(in.forward.deadline),
                       .request = fromWire(std::move(in.forward.request))};
    }
    if (set.forwardReply) {
        return forwardReplyFromWire(std::move(in.forwardReply));
    }
    LeaderHint hint{.leader = std::nullopt, .term = Term(fromWire64(in.leaderHint.term))};
    if (in.leaderHint.__isset.leader) {
        hint.leader = InstanceId(std::move(in.leaderHint.leader));
    }
    return hint;
}

} // namespace gooseberry
