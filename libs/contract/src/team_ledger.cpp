#include <contract/team_ledger.h>

namespace gooseberry {

namespace {

Status overLimit(const TeamId &team, const std::string &dimension)
{
    return Error{.code = ErrorCode::LimitExceeded,
                 .step = Step::Place,
                 .peer = {},
                 .message = "team " + team.value + " is at its limit of " + dimension,
                 .outcome = Outcome::NotRun};
}

Status checkWithin(const TeamId &team, const std::optional<Resources> &total, const Limit &limit)
{
    if (!total) {
        return overLimit(team, "representable resources");
    }
    if (const auto dimension = firstShortage(*total, limit.maximum)) {
        return overLimit(team, toString(*dimension));
    }
    return Done{};
}

} // namespace

Status TeamLedger::reserve(const TeamId &team, const Resources &amount, const Limit &limit)
{
    Shard &shard = this->shardOf(team);
    const std::lock_guard lock(shard.mutex);
    Account &account = shard.accounts[team];
    const auto reserved = add(account.reserved, amount);
    Status status
        = checkWithin(team, reserved ? add(account.running, *reserved) : std::nullopt, limit);
    if (ok(status)) {
        account.reserved = *reserved;
    }
    return status;
}

void TeamLedger::releaseReservation(const TeamId &team, const Resources &amount)
{
    Shard &shard = this->shardOf(team);
    const std::lock_guard lock(shard.mutex);
    Account &account = shard.accounts[team];
    account.reserved = subtract(account.reserved, amount).value_or(Resources{});
}

Status TeamLedger::addRunning(const TeamId &team, const Resources &amount, const Limit &limit)
{
    Shard &shard = this->shardOf(team);
    const std::lock_guard lock(shard.mutex);
    Account &account = shard.accounts[team];
    const auto running = add(account.running, amount);
    Status status = checkWithin(team, running, limit);
    if (ok(status)) {
        account.running = *running;
    }
    return status;
}

void TeamLedger::removeRunning(const TeamId &team, const Resources &amount)
{
    Shard &shard = this->shardOf(team);
    const std::lock_guard lock(shard.mutex);
    Account &account = shard.accounts[team];
    account.running = subtract(account.running, amount).value_or(Resources{});
}

TeamUsage TeamLedger::usage(const TeamId &team) const
{
    const Shard &shard = this->shardOf(team);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.accounts.find(team);
    if (found == shard.accounts.end()) {
        return TeamUsage{.team = team, .running = {}, .reserved = {}};
    }
    return TeamUsage{
        .team = team, .running = found->second.running, .reserved = found->second.reserved};
}

std::vector<TeamUsage> TeamLedger::allUsage() const
{
    std::vector<TeamUsage> all;
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[team, account] : shard.accounts) {
            all.push_back(
                TeamUsage{.team = team, .running = account.running, .reserved = account.reserved});
        }
    }
    return all;
}

void TeamLedger::clear()
{
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        shard.accounts.clear();
    }
}

TeamLedger::Shard &TeamLedger::shardOf(const TeamId &team)
{
    return this->shards.at(std::hash<TeamId>{}(team) % shardCount);
}

const TeamLedger::Shard &TeamLedger::shardOf(const TeamId &team) const
{
    return this->shards.at(std::hash<TeamId>{}(team) % shardCount);
}

} // namespace gooseberry
