#include "base/hash.h"

#include <array>
#include <cstdlib>
#include <span>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace boragedoor {

namespace {

std::string to_hex(std::span<const unsigned char> bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    text += digits[byte >> 4U];
    text += digits[byte & 0x0fU];
  }
  return text;
}

} // namespace

std::string sha256_hex(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  // Fails only when the library has no SHA-256, and then no key can be checked at all.
  if (EVP_Digest(data.data(), data.size(), digest.data(), &n, EVP_sha256(), nullptr) != 1) {
    std::abort();
  }
  return to_hex(std::span(digest).first(n));
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

bool constant_time_equal(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string secure_random_hex(std::size_t n) {
  std::vector<unsigned char> bytes(n);
  // Without randomness no key may be issued, so there is nothing to continue with.
  if (RAND_bytes(bytes.data(), static_cast<int>(n)) != 1) {
    std::abort();
  }
  return to_hex(bytes);
}

} // namespace boragedoor
