#include <contract/key.h>

#include <array>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace gooseberry {

namespace {

constexpr std::size_t saltBytes = 16;
constexpr std::size_t secretBytes = 32;

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i) {
        text.push_back(digits[bytes[i] >> 4U]);
        text.push_back(digits[bytes[i] & 0xFU]);
    }
    return text;
}

template<std::size_t Count>
std::string randomHex()
{
    std::array<unsigned char, Count> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        // There is no other source of randomness, and a predictable secret must not be issued.
        throw std::runtime_error("the system's random generator failed");
    }
    return toHex(bytes.data(), bytes.size());
}

Error badCredential()
{
    return Error{.code = ErrorCode::Unauthenticated,
                 .step = Step::Authenticate,
                 .peer = {},
                 .message = "a key has the form ID.SECRET",
                 .outcome = Outcome::NotRun};
}

} // namespace

NewKey createKey(const KeyId &id, const TeamId &team)
{
    NewKey created;
    created.key = Key{.id = id, .team = team, .salt = randomHex<saltBytes>(), .hash = {}};
    created.secret = randomHex<secretBytes>();
    created.key.hash = hashSecret(created.key.salt, created.secret);
    return created;
}

std::string hashSecret(const std::string &salt, const std::string &secret)
{
    // Secrets are random and 256 bits long, so a fast hash does not make guessing feasible.
    const std::string input = salt + secret;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(input.data(), input.size(), digest.data(), &length, EVP_sha256(), nullptr)
        != 1) {
        throw std::runtime_error("SHA-256 is not available");
    }
    return toHex(digest.data(), length);
}

bool matchesSecret(const Key &key, const std::string &secret)
{
    const std::string hash = hashSecret(key.salt, secret);
    return hash.size() == key.hash.size()
        && CRYPTO_memcmp(hash.data(), key.hash.data(), hash.size()) == 0;
}

Result<Credential> parseCredential(const std::string &text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string::npos || dot == 0 || dot + 1 == text.size()) {
        return badCredential();
    }
    return Credential{.id = KeyId(text.substr(0, dot)), .secret = text.substr(dot + 1)};
}

} // namespace gooseberry
