#pragma once

#include <cluster/requests.h>
#include <codec/codec.h>
#include <quorum/quorum.h>

// How requests and the messages between nodes are written as records.

namespace gooseberry {

/** First byte of the frame that carries a JoinRequest. */
constexpr char joinFrame = 'j';

/** What a leader tells every node that it has a link with. */
struct Beacon
{
    InstanceId leader;
    Term term;
    /** The voters with their data folders. */
    std::map<InstanceId, DiskId> voters;
    /** All nodes that keep the log, voters or not. */
    std::set<InstanceId> logReplicas;
    /** Where the leader takes the reports of workers. */
    std::optional<Address> reportAddress;
};

/** A node with a data folder that is no voter asks to become one. */
struct JoinRequest
{
    InstanceId node;
    DiskId disk;
};

template<typename Codec>
void fields(Codec &codec, Beacon &value)
{
    codec(value.leader, value.term, value.voters, value.logReplicas, value.reportAddress);
}

template<typename Codec>
void fields(Codec &codec, JoinRequest &value)
{
    codec(value.node, value.disk);
}

template<typename Codec>
void fields(Codec &codec, CallerRequest &value)
{
    codec(value.action, value.host, value.path, value.key, value.spec);
}

template<typename Codec>
void fields(Codec &codec, CallerReply &value)
{
    codec(value.outcome, value.phase, value.queued, value.retryAfter, value.message);
}

template<typename Codec>
void fields(Codec &codec, OperatorRequest &value)
{
    codec(value.action, value.config, value.domain);
}

template<typename Codec>
void fields(Codec &codec, OperatorReply &value)
{
    codec(value.done, value.document);
}

template<typename Codec>
void fields(Codec &codec, WorkerNotice &value)
{
    codec(value.leaving, value.worker, value.clock);
}

template<typename Codec>
void fields(Codec &codec, WorkerHeartbeat &value)
{
    codec(value.id, value.life, value.clock);
}

template<typename Codec>
void fields(Codec &codec, WorkerNoticeReply &value)
{
    codec(value.taken, value.nextReports);
}

template<typename Codec>
void fields(Codec &codec, AdviceRequest &value)
{
    codec(value.workflow, value.occurrence, value.step, value.workers, value.priority);
}

/** A question to the adviser that another node asks for the leader. */
struct ForwardedAdviceRequest
{
    AdviceRequest request;
    /** How long the adviser is expected to take, with the questions before this one. */
    std::chrono::microseconds expected{0};
};

template<typename Codec>
void fields(Codec &codec, ForwardedAdviceRequest &value)
{
    codec(value.request, value.expected);
}

template<typename Codec>
void fields(Codec &codec, AdviceTicket &value)
{
    codec(value.worker, value.ticket);
}

template<typename Codec>
void fields(Codec &codec, AdviceReply &value)
{
    codec(value.tickets, value.validity);
}

} // namespace gooseberry
