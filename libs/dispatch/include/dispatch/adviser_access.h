#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <base/base.h>
#include <workflow/workflow.h>

namespace gooseberry {

/** Asks the adviser which of the listed workers may run a step. */
struct AdviceRequest
{
    WorkflowId workflow;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<InstanceId> workers;
    /** Requests with a lower number are sent first. */
    std::uint32_t priority = 0;
};
struct AdviceTicket
{
    InstanceId worker;
    std::string ticket;
};
struct AdviceReply
{
    std::vector<AdviceTicket> tickets;
    std::chrono::milliseconds validity{0};
};

/** Sends requests to the adviser, from the instance with the shortest queue of pending requests. */
class AdviserAccess
{
public:
    virtual ~AdviserAccess() = default;

    /** Cost is the time that the adviser is expected to take. */
    virtual void advise(const AdviceRequest &request, std::chrono::microseconds cost,
                        std::function<void(Result<AdviceReply>)> done)
        = 0;
    /** Returns how many instances can send requests. The adviser has a queue for each. */
    virtual std::size_t senderCount() const = 0;
};

} // namespace gooseberry
