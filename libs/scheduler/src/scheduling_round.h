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

/** What a round works on. All of it outlives the round. */
struct RoundContext
{
    Fleet &fleet;
    TeamLedger &ledger;
    WaitingTable &waiting;
    const RunningTable &running;
    FleetView &view;
    const RoundInput &input;
    const SchedulerSettings &settings;
    /** Gangs that get no reservation now. */
    const std::map<JobId, SteadyTime> &gangCooldowns;
    std::uint64_t capacityVersion = 0;
    /** The sum of all declared sizes. */
    Resources capacity;
    /** The gang that holds a reservation, if any. */
    JobId reservedFor;
};

/**
 * One pass over what waits. Several threads may call work() at the same time: who is next is
 * decided under one short lock, and places are searched outside of it.
 */
class SchedulingRound
{
public:
    explicit SchedulingRound(const RoundContext &initialContext);

    /** Places work until nothing is left to offer. The thread's number is below threads. */
    void work(unsigned thread, unsigned threads);

    /** Returns the decisions by job, in the order in which jobs were first chosen. */
    std::vector<StartGroup> takeGroups();
    /** Returns the gang that was first in line among those that found no room. */
    const std::optional<GangRequest> &firstUnplacedGang() const;

private:
    struct Pick
    {
        std::uint64_t sequence = 0;
        std::size_t team = 0;
        TakenWork work;
        Resources total;
        std::vector<std::pair<StartDecision, ViewPlacement>> starts;
        Reason reason = Reason::BestFit;
    };
    /** Each turn takes this many tasks under the lock; each counts for fairness at once. */
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
    /** Guards order, step, sequence, decided, failures and unplacedGang. */
    std::mutex mutex;
    FairOrder order;
    PriorityTier tier = PriorityTier::Urgent;
    std::uint64_t nextSequence = 0;
    std::vector<std::pair<std::uint64_t, StartGroup>> decided;
    std::map<Shape, Reason> failures;
    std::optional<GangRequest> unplacedGang;
    std::uint64_t unplacedSequence = 0;
    /** One gang at a time tries, so that two of them can't each take half of the room. */
    std::mutex gangMutex;
    std::mutex spreadMutex;
    std::map<JobId, SpreadCounts> spreads;
};

} // namespace gooseberry
