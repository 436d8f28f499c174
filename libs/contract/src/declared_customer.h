#pragma once

#include <string>

#include <contract/contract.h>

namespace gooseberry {

/**
 * Reads share, teams and queues of a customer. Notes unknown keys, names that stand twice, queues
 * of unknown teams and guarantees above their limit.
 */
Customer readCustomer(const DocumentNode &node, const CustomerId &id, Problems &problems);

} // namespace gooseberry
