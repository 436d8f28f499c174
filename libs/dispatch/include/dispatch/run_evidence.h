#pragma once

#include <chrono>
#include <optional>

#include <base/base.h>

namespace gooseberry {

/**
 * An order that got no answer may be carried out up to this much later, also by the next
 * incarnation of the worker.
 */
constexpr std::chrono::seconds maxOrderDelay{15};

/**
 * Returns the time until which a start that gets no answer may be carried out. Workers refuse an
 * expired ticket, so a start with a ticket is harmless once that has expired.
 */
SteadyTime latestStartArrival(SteadyTime sentAt, std::optional<SteadyTime> ticketExpiresBy);

/** What the leader knows of a run that may be lost. */
struct RunEvidence
{
    /**
     * Until then, a start of the run that got no answer may still be carried out, also by a later
     * incarnation of the worker, which knows nothing of a stop. In the past if there is no such
     * start, or if the worker refuses its fencing token.
     */
    SteadyTime startMayArriveUntil;
    /**
     * The worker's present incarnation does not execute the run, and refuses its start as long as
     * the incarnation goes on.
     */
    bool absent = false;
    /** When the last report was requested that did not list the run. */
    SteadyTime absentAsOf;
    /** Another worker answers at the address, and refuses orders to this one. */
    bool replaced = false;
    /** When every lease from orders that have arrived by now has certainly expired. */
    SteadyTime leasesExpireBy;
    /**
     * The lease that a start without an answer may bring to an incarnation that nobody has heard
     * of: its lease end is a time on another clock.
     */
    std::chrono::milliseconds lateLease{0};
};

/**
 * Returns whether the run neither executes nor can begin any more, so that its task may run
 * elsewhere. This is the only rule by which a run without a reported end is given up; see
 * "Proof that a run is over" in docs/design.md.
 */
bool isOver(const RunEvidence &evidence, SteadyTime now);

} // namespace gooseberry
