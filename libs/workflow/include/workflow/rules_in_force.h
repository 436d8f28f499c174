#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <base/base.h>
#include <workflow/routing_config.h>

namespace gooseberry {

/** A queue that the active configuration no longer has, as it was last declared. */
struct RetiredQueue
{
    QueueRule rule;
    CellTime retiredAt;
};

/** A customer that the active configuration no longer has, as it was last declared. */
struct RetiredCustomer
{
    CustomerRule rule;
    CellTime retiredAt;
};

/**
 * The active configuration, and the rules of earlier ones that accepted work still depends on. New
 * requests are matched with the active configuration only.
 */
struct RulesInForce
{
    std::shared_ptr<const RoutingConfig> config;
    std::vector<RetiredQueue> retiredQueues;
    std::vector<RetiredCustomer> retiredCustomers;
};

/** The names of queues and customers that work refers to. */
struct NamesInUse
{
    std::set<std::string> queues;
    std::set<CustomerId> customers;
};

/**
 * Returns the rules after a change of the configuration at the given time. A rule that is no longer
 * declared is kept while work refers to it, and for a minute, since a proposal to accept work under
 * it may not be committed yet.
 */
RulesInForce replaceConfig(const RulesInForce &current, RoutingConfig next, const NamesInUse &used,
                           CellTime now);

/**
 * Returns the rule for work that was accepted for the named queue: the active one of that name, or
 * else the active queue with the same host, prefix and upstream, which callers reach in its place,
 * or else the last rule of that name. Returns null if there was none.
 */
const QueueRule *findQueueOfWork(const RulesInForce &rules, const std::string &name);

} // namespace gooseberry
