#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include <base/base.h>
#include <contract/contract.h>

namespace gooseberry {

/** Tells a worker to run one attempt. */
struct StartMessage
{
    AttemptId attempt;
    Term term;
    /** The worker's lease generation when sent; the worker refuses an outdated one. */
    std::uint64_t leaseGeneration = 0;
    /** The worker incarnation that the start is meant for; a later one refuses it. */
    std::string incarnation;
    std::shared_ptr<const JobSpec> spec;
};

/** Sends the coordinator's messages to workers. */
class WorkerPort
{
public:
    using Callback = std::function<void(const Status &)>;

    virtual ~WorkerPort() = default;

    /**
     * Sends a start. The callback receives Done if the worker accepted it, an error with outcome
     * NotRun if the worker refused it or nothing was sent, and with Unknown otherwise.
     */
    virtual void sendStart(const InstanceId &worker, const Address &address,
                           const StartMessage &message, Callback done)
        = 0;

    /**
     * Asks a worker to stop an attempt. Best effort: the reply to the worker's next report repeats
     * the request, so a lost message only causes a delay.
     */
    virtual void sendStop(const Address &address, const AttemptId &attempt) = 0;
};

} // namespace gooseberry
