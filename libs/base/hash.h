#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragedoor {

/// Returns the SHA-256 digest of `data` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// Returns a 64-bit xxHash (XXH3) of `data`. Stable across processes and releases.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Compares in time that depends only on the lengths, so that a caller cannot learn a prefix.
bool constant_time_equal(std::string_view left, std::string_view right);

/// Returns `n` bytes from the system's cryptographic generator as 2 * n hexadecimal digits.
std::string secure_random_hex(std::size_t n);

} // namespace boragedoor
