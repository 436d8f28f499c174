#include <quorum/replica.h>

#include "leadership_transfer.h"
#include "membership.h"
#include "replica_impl.h"

namespace gooseberry {

Replica::Replica(ReplicaSettings settings, StateMachine &machine, ReplicaTransport &transport,
                 const Clock &clock)
    : impl(std::make_unique<Impl>(std::move(settings), machine, transport, clock))
{
}

Replica::~Replica()
{
    this->stop();
}

Status Replica::start()
{
    return this->impl->start();
}

void Replica::stop()
{
    this->impl->stop();
}

void Replica::receive(const InstanceId &from, QuorumMessage message)
{
    this->impl->post(ReceivedMessage{.from = from, .message = std::move(message)});
}

void Replica::propose(std::string payload, std::function<void(const Error &)> failed)
{
    this->impl->post(Proposal{.payload = std::move(payload), .failed = std::move(failed)});
}

bool Replica::holdsLease() const
{
    return this->impl->holdsLease();
}

ReplicaStatus Replica::status() const
{
    return this->impl->status();
}

void Replica::addLearner(const InstanceId &id, std::function<void(const Status &)> done)
{
    this->impl->post(MembershipChange{
        .change = [id](const ReplicaState &state) { return withLearner(state, id); },
        .done = std::move(done)});
}

void Replica::promoteLearner(const InstanceId &id, std::function<void(const Status &)> done)
{
    this->impl->post(
        MembershipChange{.change = [id](const ReplicaState &state) { return withVoter(state, id); },
                         .done = std::move(done)});
}

void Replica::remove(const InstanceId &id, std::function<void(const Status &)> done)
{
    this->impl->post(MembershipChange{
        .change = [id](const ReplicaState &state) { return withoutMember(state, id); },
        .done = std::move(done)});
}

void Replica::transferLeadership(std::function<void(const Status &)> done)
{
    this->impl->post(TransferRequest{.done = std::move(done)});
}

} // namespace gooseberry
