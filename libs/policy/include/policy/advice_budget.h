#pragma once

#include <chrono>
#include <cstddef>

namespace gooseberry {

/** Requests to the adviser that are not answered yet, of one priority and all more urgent ones. */
struct AdviceBacklog
{
    std::size_t requests = 0;
    /** The time that the adviser takes for all of them. */
    std::chrono::microseconds cost{0};
};

/**
 * Returns whether another request to the adviser is useful now. The adviser answers one request of
 * each node at a time. It answers a takeover with more than a thousand waiting steps: requests
 * beyond the bound would be answered after their steps have been placed, cancelled or reordered,
 * and the tickets would expire before they are used. Steps beyond it wait in the order of their
 * urgency.
 */
bool mayRequestAdvice(const AdviceBacklog &backlog, std::size_t nodes);

} // namespace gooseberry
