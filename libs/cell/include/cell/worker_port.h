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
    /** The worker's lease generation at the time of sending; a worker refuses an outdated one. */
    std::uint64_t leaseGeneration = 0;
    /** The process that the start is meant for; one that was started since refuses it. */
    std::string incarnation;
    std::shared_ptr<const JobSpec> spec;
};

/** The way from the coordinator to workers. */
class WorkerPort
{
public:
    using Callback = std::function<void(const Status &)>;

    virtual ~WorkerPort() = default;

    /**
     * Sends a start. The callback gets Done when the worker accepted it, an error with outcome
     * NotRun when the worker refused it or nothing was written, and Unknown otherwise.
     */
    virtual void sendStart(const InstanceId &worker, const Address &address,
                           const StartMessage &message, Callback done)
        = 0;

    /**
     * Asks a worker to end an attempt. Best effort: the reply to the worker's next report repeats
     * the wish, so a lost message only costs time.
     */
    virtual void sendStop(const Address &address, const AttemptId &attempt) = 0;
};

} // namespace gooseberry
