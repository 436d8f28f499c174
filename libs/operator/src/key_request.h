#pragma once

#include <string>

#include <contract/contract.h>

#include "command_line.h"

namespace gooseberry {

/**
 * Creates a key in this process and sends only its hash to the cell, never the secret.
 * Returns "id.secret". After an unknown outcome the error's message holds no secret, since the key
 * may not exist; the operator then withdraws it and grants another.
 */
Result<std::string> grantNewKey(Context &context, const KeyId &id, const TeamId &team);

} // namespace gooseberry
