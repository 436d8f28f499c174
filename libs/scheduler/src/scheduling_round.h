#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <fleet/fleet.h>
#include <policy/policy.h>
#include <scheduler/round_types.h>

#include "fleet_view.h"
#include "running_table.h"
#include "waiting_table.h"

namespace gooseberry {

/** The data that a round works on. Everything referenced outlives the round. */
struct RoundContext
{
    Fleet &fleet;
    TeamLedger &ledger;
    WaitingTable &waiting;
    const RunningTable &running;
    FleetView &view;
    const RoundInput &input;
    const SchedulerSettings &settings;
    /** Gangs that may not get a reservation yet. */
    const std::map<JobId, SteadyTime> &gangCooldowns;
    std::uint64_t capacityVersion = 0;
    /** Total capacity of all instances. */
    Resources capacity;
    /** The gang that has a reservation; the default id if there is none. */
    JobId reservedFor;
};

/**
 * One pass over the waiting tasks. Several threads may call work() concurrently: the next tasks are
 * chosen under a lock that is held briefly, and instances are searched without it.
 */
class SchedulingRound
{
public:
    explicit SchedulingRound(const RoundContext &initialContext);

    /** Places tasks until none are schedulable. The index of the thread is less than threads. */
    void work(unsigned thread, unsigned threads);

    /** Returns the decisions grouped by job, in the order in which jobs were first chosen. */
    std::vector<StartGroup> takeGroups();
    /** Returns the first chosen gang among those that could not be placed for lack of capacity. */
    const std::optional<GangRequest> &firstUnplacedGang() const;

private:
    /** Tasks that were chosen, with the result of their placement. */
    struct Pick
    {
        std::uint64_t sequence = 0;
        std::size_t team = 0;
        TakenWork work;
        Resources total;
        std::vector<std::pair<StartDecision, ViewPlacement>> starts;
        Reason reason = Reason::BestFit;
    };
    /** Picks per acquisition of the lock. Each is charged to its team immediately. */
    static constexpr std::size_t picksPerBatch = 8;

    std::vector<Pick> pickNext();
    void finish(std::vector<Pick> picks);
    void updateTeamWork(std::size_t team);
    void addUndeclaredTeams();

    void placeWork(Pick &pick, double startFraction);
    bool placeTask(Pick &pick, std::size_t task, const PlacementRequest &request,
                   double startFraction);
    bool reserveOnFleet(const ViewPlacement &place, const Resources &amount);
    void undo(Pick &pick);
    PlacementRequest requestFor(const TakenWork &work) const;
    SpreadCounts spreadOf(const JobId &job);
    void countSpread(const JobId &job, const ViewPlacement &place);
    BlockContext blockContext(std::size_t team) const;

    RoundContext context;
    /** Guards order, tier, nextSequence, decided, failures, unplacedGang and unplacedSequence. */
    std::mutex mutex;
    FairOrder order;
    PriorityTier tier = PriorityTier::Urgent;
    std::uint64_t nextSequence = 0;
    std::vector<std::pair<std::uint64_t, StartGroup>> decided;
    std::map<Shape, Reason> failures;
    std::optional<GangRequest> unplacedGang;
    std::uint64_t unplacedSequence = 0;
    /** Serialises gang placement, so that two gangs can't each allocate half of the capacity. */
    std::mutex gangMutex;
    std::mutex spreadMutex;
    std::map<JobId, SpreadCounts> spreads;
};

} // namespace gooseberry
