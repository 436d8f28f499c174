#pragma once

#include <string>
#include <vector>

#include <base/base.h>
#include <contract/customer.h>

namespace gooseberry {

/** A declared failure domain. */
struct FailureDomainSpec
{
    FailureDomainId id;
    RegionId region;

    bool operator==(const FailureDomainSpec &other) const = default;
};

/** The complete configuration that operators declared, with all templates expanded. */
struct CellConfig
{
    std::vector<FailureDomainSpec> domains;
    std::vector<Customer> customers;
    /** The declarations as text with unexpanded templates; the next change is merged over it. */
    std::string source;

    bool operator==(const CellConfig &other) const = default;
};

// Each returns the item with the id, or null. The pointer is valid as long as the config.
const Team *findTeam(const CellConfig &config, const TeamId &id);
const Queue *findQueue(const CellConfig &config, const QueueId &id);
const Customer *findCustomer(const CellConfig &config, const CustomerId &id);
const FailureDomainSpec *findDomain(const CellConfig &config, const FailureDomainId &id);

} // namespace gooseberry
