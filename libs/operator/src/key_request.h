#pragma once

#include <string>

#include <contract/contract.h>

#include "command_line.h"

namespace gooseberry {

/**
 * Creates a key here and grants its hash in the cell; the secret does not leave this process.
 * Returns "id.secret". After an unknown outcome the error's message holds no secret, since the key
 * may not exist; withdrawing it and granting another settles that.
 */
Result<std::string> grantNewKey(Context &context, const KeyId &id, const TeamId &team);

} // namespace gooseberry
