#pragma once

#include <cluster/requests.h>
#include <codec/codec.h>
#include <quorum/quorum.h>

// Messages between nodes, and the record encodings of requests and messages.

namespace gooseberry {

/** First byte of the frame that carries a JoinRequest. */
constexpr char joinFrame = 'j';

/** Sent periodically by the leader to every node that it has a link with. */
struct Beacon
{
    InstanceId leader;
    Term term;
    /** The voters and the ids of their disks. */
    std::map<InstanceId, DiskId> voters;
    /** All nodes with a replica of the log: voters and learners. */
    std::set<InstanceId> logReplicas;
    /** The address at which the leader accepts the heartbeats of workers. */
    std::optional<Address> reportAddress;
};

/** Sent by a node that has a data folder and wants to become a voter. */
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
    codec(value.action, value.config, value.domain, value.expectedRevision);
}

template<typename Codec>
void fields(Codec &codec, OperatorReply &value)
{
    codec(value.done, value.document, value.revision);
}

template<typename Codec>
void fields(Codec &codec, WorkerStatusReport &value)
{
    codec(value.leaving, value.worker, value.clock);
}

template<typename Codec>
void fields(Codec &codec, WorkerHeartbeat &value)
{
    codec(value.id, value.incarnation, value.clock);
}

template<typename Codec>
void fields(Codec &codec, WorkerStatusReply &value)
{
    codec(value.accepted, value.reportAddress);
}

template<typename Codec>
void fields(Codec &codec, AdviceRequest &value)
{
    codec(value.workflow, value.occurrence, value.step, value.workers, value.priority);
}

/** An adviser request that the leader sends through another node. */
struct ForwardedAdviceRequest
{
    AdviceRequest request;
    /** Expected time until the adviser's reply, including the requests ahead of this one. */
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
