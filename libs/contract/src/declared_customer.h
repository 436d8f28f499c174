#pragma once

#include <string>

#include <contract/contract.h>

namespace gooseberry {

/**
 * Reads share, teams and queues of a customer. Adds problems for unknown keys, duplicate names,
 * queues of unknown teams and guarantees above the limit.
 */
Customer readCustomer(const DocumentNode &node, const CustomerId &id, Problems &problems);

} // namespace gooseberry
