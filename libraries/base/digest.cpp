#include "digest.hpp"

#include <absl/strings/escaping.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <stdexcept>

namespace daleshelf
{

std::string to_hex(std::string_view value)
{
    return absl::BytesToHexString({value.data(), value.size()});
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &length,
                   EVP_sha256(), nullptr) != 1)
    {
        throw std::runtime_error("SHA-256 is not available");
    }
    return to_hex({reinterpret_cast<const char*>(digest.data()), length});
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string random_hex(std::size_t bytes)
{
    std::string buffer(bytes, '\0');
    auto* data = reinterpret_cast<unsigned char*>(buffer.data());
    if (RAND_bytes(data, static_cast<int>(bytes)) != 1)
    {
        throw std::runtime_error("no random bytes available");
    }
    return to_hex(buffer);
}

} // namespace daleshelf
