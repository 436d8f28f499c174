#pragma once

#include <string>
#include <vector>

#include <base/base.h>
#include <contract/customer.h>

namespace gooseberry {

/** A failure domain as operators declare it. */
struct FailureDomainSpec
{
    FailureDomainId id;
    RegionId region;

    bool operator==(const FailureDomainSpec &other) const = default;
};

/** Everything that operators declare, with all templates filled in. */
struct CellConfig
{
    std::vector<FailureDomainSpec> domains;
    std::vector<Customer> customers;
    /** The declarations as text, before templates are filled in; the base of the next change. */
    std::string source;

    bool operator==(const CellConfig &other) const = default;
};

/** Returns the team or queue with the id, or null. The pointer lives as long as the config. */
const Team *findTeam(const CellConfig &config, const TeamId &id);
const Queue *findQueue(const CellConfig &config, const QueueId &id);
const Customer *findCustomer(const CellConfig &config, const CustomerId &id);
const FailureDomainSpec *findDomain(const CellConfig &config, const FailureDomainId &id);

} // namespace gooseberry
