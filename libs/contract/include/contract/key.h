#pragma once

#include <string>

#include <base/base.h>

namespace gooseberry {

/**
 * A key that authenticates requests of a team. Callers send "id.secret"; the system stores only
 * the salt and the hash of salt and secret, both in lower-case hexadecimal.
 */
struct Key
{
    KeyId id;
    TeamId team;
    std::string salt;
    std::string hash;

    bool operator==(const Key &other) const = default;
};

/** A new key with its secret, which is not stored and available only at creation. */
struct NewKey
{
    Key key;
    std::string secret;
};

/** Creates a key with a random salt and a random secret of 256 bits. */
NewKey createKey(const KeyId &id, const TeamId &team);

/** Returns the hash to store for a salt and a secret. */
std::string hashSecret(const std::string &salt, const std::string &secret);

/** Returns whether the secret matches the key. Compares the hashes in constant time. */
bool matchesSecret(const Key &key, const std::string &secret);

/** The two parts of the text that a caller authenticates with. */
struct Credential
{
    KeyId id;
    std::string secret;
};

/** Splits "id.secret". Fails with Unauthenticated; the error does not contain the secret. */
Result<Credential> parseCredential(const std::string &text);

} // namespace gooseberry
