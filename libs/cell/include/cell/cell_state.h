#pragma once

#include <atomic>

#include <base/base.h>
#include <cell/command.h>
#include <cell/config_table.h>
#include <cell/job_table.h>
#include <fleet/fleet.h>

namespace gooseberry {

/** A copy of the complete replicated state, as stored in a snapshot. */
struct CellImage
{
    CellTime time;
    JobId lastJob;
    ConfigImage config;
    std::vector<InstanceSpec> instances;
    std::set<InstanceId> departing;
    std::vector<JobRecord> jobs;
};

/**
 * The replicated state of the cell. Commands are applied by one thread at a time, in log order.
 * Queries may come from any thread and lock only the shard they access. The result of a command is
 * deterministic: it depends only on earlier commands, never on a clock or on the leader's
 * reservations.
 */
class CellState
{
public:
    /** Applies one command. A refused command changes nothing. */
    ApplyOutcome apply(const StampedCommand &stamped);

    /** Returns the time of the latest command. */
    CellTime time() const;

    const ConfigTable &config() const
    {
        return this->configTable;
    }
    JobTable &jobs()
    {
        return this->jobTable;
    }
    const RequestTable &requests() const
    {
        return this->requestTable;
    }
    Fleet &fleet()
    {
        return this->fleetTable;
    }
    TeamLedger &ledger()
    {
        return this->teamLedger;
    }
    /** Returns the total size of the answers of jobs that are not expired yet. */
    Bytes answerBytes() const;

    /** Copies the state. Must not be called while a command is being applied. */
    CellImage image() const;
    /** Replaces the state. Must not be called while a command is being applied. */
    void restore(const CellImage &image);

private:
    ApplyOutcome execute(const ApplyConfig &command, CellTime at);
    ApplyOutcome execute(const GrantKey &command, CellTime at);
    ApplyOutcome execute(const WithdrawKey &command, CellTime at);
    ApplyOutcome execute(const SetDomain &command, CellTime at);
    ApplyOutcome execute(const Submit &command, CellTime at);
    ApplyOutcome execute(const Start &command, CellTime at);
    ApplyOutcome execute(const Finish &command, CellTime at);
    ApplyOutcome execute(const Release &command, CellTime at);
    ApplyOutcome execute(const Cancel &command, CellTime at);
    ApplyOutcome execute(const Announce &command, CellTime at);
    ApplyOutcome execute(const Depart &command, CellTime at);
    ApplyOutcome execute(const Expire &command, CellTime at);

    Status startAttempt(JobRecord &job, const Placement &placement, const Limit &limit,
                        CellTime at);
    Status checkStart(const JobRecord &job, const Placement &placement) const;
    void undoStart(JobRecord &job, const Placement &placement);
    /** Frees the resources of a running attempt and moves its task to the next state. */
    void endAttempt(JobRecord &job, std::uint32_t index, TaskState next, CellTime at);
    void removeIfDeparted(const InstanceId &id);

    ConfigTable configTable;
    JobTable jobTable;
    RequestTable requestTable;
    Fleet fleetTable;
    TeamLedger teamLedger;
    JobId lastJob;
    std::atomic<CellTime> latestTime{CellTime{}};
    std::atomic<std::int64_t> retainedAnswerBytes{0};
};

} // namespace gooseberry
