#include <control/local_log.h>

namespace gooseberry {

LocalLog::LocalLog(CellState &initialState, const Clock &initialClock)
    : state(initialState)
    , clock(initialClock)
    , start(initialClock.steadyNow())
{
}

void LocalLog::propose(Command command, Callback done)
{
    std::unique_lock lock(this->mutex);
    this->queue.push_back(Proposal{.command = std::move(command), .done = std::move(done)});
    if (this->draining) {
        return;
    }
    this->draining = true;
    while (!this->queue.empty()) {
        Proposal next = std::move(this->queue.front());
        this->queue.pop_front();
        const CellTime at(std::chrono::duration_cast<std::chrono::milliseconds>(
            this->clock.steadyNow() - this->start));
        lock.unlock();
        next.done(this->state.apply(StampedCommand{.at = at, .command = std::move(next.command)}));
        lock.lock();
    }
    this->draining = false;
}

bool LocalLog::holdsLease() const
{
    return true;
}

Term LocalLog::term() const
{
    return Term(1);
}

} // namespace gooseberry
