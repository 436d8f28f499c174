#include <policy/ordering.h>

#include <map>
#include <tuple>

namespace gooseberry {

namespace {

template<typename Account>
void setAllocated(Account &account, const Resources &allocated, const Resources &capacity)
{
    account.allocated = allocated;
    // Declared weights are positive; a zero from another source must not be divided by.
    const double weight = account.weight > 0.0 ? account.weight : 1.0;
    account.normalisedShare = dominantShare(allocated, capacity) / weight;
}

} // namespace

PriorityTier priorityTierOf(JobClass jobClass)
{
    switch (jobClass) {
    case JobClass::Urgent:
        return PriorityTier::Urgent;
    case JobClass::Service:
        return PriorityTier::Service;
    case JobClass::Batch:
    case JobClass::Gang:
        return PriorityTier::Batch;
    }
    return PriorityTier::Batch;
}

FairOrder makeFairOrder(const CellConfig &config, const std::vector<TeamUsage> &usage,
                        const Resources &capacity)
{
    std::map<TeamId, Resources> allocatedByTeam;
    for (const TeamUsage &entry : usage) {
        allocatedByTeam[entry.team] = add(entry.running, entry.reserved).value_or(entry.running);
    }
    FairOrder order;
    order.capacity = capacity;
    for (const Customer &customer : config.customers) {
        FairCustomer fairCustomer;
        fairCustomer.id = customer.id;
        fairCustomer.weight = customer.share.weight;
        Resources sum;
        for (const Team &team : customer.teams) {
            FairTeam fairTeam;
            fairTeam.id = team.id;
            fairTeam.customer = order.customers.size();
            fairTeam.weight = team.share.weight;
            fairTeam.limit = team.limit;
            setAllocated(fairTeam, allocatedByTeam[team.id], capacity);
            sum = add(sum, fairTeam.allocated).value_or(sum);
            order.teams.push_back(std::move(fairTeam));
        }
        setAllocated(fairCustomer, sum, capacity);
        order.customers.push_back(std::move(fairCustomer));
    }
    return order;
}

std::optional<std::size_t> nextTeam(const FairOrder &order)
{
    std::optional<std::size_t> best;
    const auto rank = [&order](std::size_t index) {
        const FairTeam &team = order.teams[index];
        // The customer's index keeps the teams of a customer together when shares are equal.
        return std::tuple(order.customers[team.customer].normalisedShare, team.normalisedShare,
                          team.oldestSubmission, team.customer, index);
    };
    for (std::size_t index = 0; index < order.teams.size(); ++index) {
        if (!order.teams[index].hasWork) {
            continue;
        }
        if (!best || rank(index) < rank(*best)) {
            best = index;
        }
    }
    return best;
}

void charge(FairOrder &order, std::size_t team, const Resources &amount)
{
    FairTeam &entry = order.teams[team];
    FairCustomer &customer = order.customers[entry.customer];
    setAllocated(entry, add(entry.allocated, amount).value_or(entry.allocated), order.capacity);
    setAllocated(customer, add(customer.allocated, amount).value_or(customer.allocated),
                 order.capacity);
}

void refund(FairOrder &order, std::size_t team, const Resources &amount)
{
    FairTeam &entry = order.teams[team];
    FairCustomer &customer = order.customers[entry.customer];
    setAllocated(entry, subtract(entry.allocated, amount).value_or(Resources{}), order.capacity);
    setAllocated(customer, subtract(customer.allocated, amount).value_or(Resources{}),
                 order.capacity);
}

} // namespace gooseberry
