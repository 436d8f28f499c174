#include <contract/cell_config.h>

namespace gooseberry {

namespace {

template<typename Item, typename Id>
const Item *findById(const std::vector<Item> &items, const Id &id)
{
    for (const Item &item : items) {
        if (item.id == id) {
            return &item;
        }
    }
    return nullptr;
}

} // namespace

const Team *findTeam(const CellConfig &config, const TeamId &id)
{
    for (const Customer &customer : config.customers) {
        if (const Team *team = findById(customer.teams, id)) {
            return team;
        }
    }
    return nullptr;
}

const Queue *findQueue(const CellConfig &config, const QueueId &id)
{
    for (const Customer &customer : config.customers) {
        if (const Queue *queue = findById(customer.queues, id)) {
            return queue;
        }
    }
    return nullptr;
}

const Customer *findCustomer(const CellConfig &config, const CustomerId &id)
{
    return findById(config.customers, id);
}

const FailureDomainSpec *findDomain(const CellConfig &config, const FailureDomainId &id)
{
    return findById(config.domains, id);
}

} // namespace gooseberry
