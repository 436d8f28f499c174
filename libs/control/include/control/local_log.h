#pragma once

#include <deque>
#include <mutex>

#include <cell/cell.h>

namespace gooseberry {

/**
 * A command log of a lone instance without a disk: every command is applied at once and nothing
 * survives the process. Commands proposed while another is applied follow it in order.
 */
class LocalLog : public CommandLog
{
public:
    LocalLog(CellState &initialState, const Clock &initialClock);

    void propose(Command command, Callback done) override;
    bool holdsLease() const override;
    Term term() const override;

private:
    struct Proposal
    {
        Command command;
        Callback done;
    };

    CellState &state;
    const Clock &clock;
    SteadyTime start;
    std::mutex mutex;
    std::deque<Proposal> queue;
    bool draining = false;
};

} // namespace gooseberry
