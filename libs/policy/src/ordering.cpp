#include <policy/ordering.h>

#include <map>
#include <tuple>

namespace gooseberry {

namespace {

template<typename Holder>
void setHeld(Holder &holder, const Resources &held, const Resources &capacity)
{
    holder.held = held;
    // Declarations allow only positive weights; a zero from elsewhere must not divide.
    const double weight = holder.weight > 0.0 ? holder.weight : 1.0;
    holder.normalisedShare = dominantShare(held, capacity) / weight;
}

} // namespace

OrderStep orderStepOf(JobClass jobClass)
{
    switch (jobClass) {
    case JobClass::Urgent:
        return OrderStep::Urgent;
    case JobClass::Service:
        return OrderStep::Service;
    case JobClass::Batch:
    case JobClass::Gang:
        return OrderStep::Batch;
    }
    return OrderStep::Batch;
}

FairOrder makeFairOrder(const CellConfig &config, const std::vector<TeamUsage> &usage,
                        const Resources &capacity)
{
    std::map<TeamId, Resources> heldByTeam;
    for (const TeamUsage &entry : usage) {
        heldByTeam[entry.team] = add(entry.running, entry.reserved).value_or(entry.running);
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
            setHeld(fairTeam, heldByTeam[team.id], capacity);
            sum = add(sum, fairTeam.held).value_or(sum);
            order.teams.push_back(std::move(fairTeam));
        }
        setHeld(fairCustomer, sum, capacity);
        order.customers.push_back(std::move(fairCustomer));
    }
    return order;
}

std::optional<std::size_t> nextTeam(const FairOrder &order)
{
    std::optional<std::size_t> best;
    const auto rank = [&order](std::size_t index) {
        const FairTeam &team = order.teams[index];
        // The customer's index keeps teams of one customer together when shares are equal.
        return std::tuple(order.customers[team.customer].normalisedShare, team.normalisedShare,
                          team.oldest, team.customer, index);
    };
    for (std::size_t index = 0; index < order.teams.size(); ++index) {
        if (!order.teams[index].wants) {
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
    setHeld(entry, add(entry.held, amount).value_or(entry.held), order.capacity);
    setHeld(customer, add(customer.held, amount).value_or(customer.held), order.capacity);
}

void refund(FairOrder &order, std::size_t team, const Resources &amount)
{
    FairTeam &entry = order.teams[team];
    FairCustomer &customer = order.customers[entry.customer];
    setHeld(entry, subtract(entry.held, amount).value_or(Resources{}), order.capacity);
    setHeld(customer, subtract(customer.held, amount).value_or(Resources{}), order.capacity);
}

} // namespace gooseberry
