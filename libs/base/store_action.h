#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace boragedoor {

/// Largest value that the store takes, in bytes.
inline constexpr std::size_t max_store_value_bytes = 1'000'000;

/// Writes a key by compare-and-swap. `expect_version` 0 means that the key must not exist.
struct store_put {
  /// Names the call; the result carries the same number.
  std::uint64_t call = 0;
  std::string key;
  std::string value;
  std::uint64_t expect_version = 0;
};

/// Reads a key.
struct store_get {
  std::uint64_t call = 0;
  std::string key;
};

/// Deletes a key if it still has `expect_version`; 0 deletes any version.
struct store_delete {
  std::uint64_t call = 0;
  std::string key;
  std::uint64_t expect_version = 0;
};

/// How a write ended. After `unknown` it may have taken effect, or may still take effect later.
enum class write_outcome { ok, conflict, unknown };

/// The end of a `store_put` or `store_delete`. The daemon feeds exactly one back for each; results
/// with an unknown call number are ignored.
struct store_write_result {
  std::uint64_t call = 0;
  write_outcome outcome = write_outcome::unknown;
  /// The key's version: the new one after `ok`, the present one (0 if missing) after `conflict`.
  std::uint64_t version = 0;
};

enum class read_outcome { found, missing, unknown };

/// The end of a `store_get`.
struct store_read_result {
  std::uint64_t call = 0;
  read_outcome outcome = read_outcome::unknown;
  std::string value;
  std::uint64_t version = 0;
};

/// Store calls issued, for the store budget.
struct store_call_counts {
  std::uint64_t puts = 0;
  std::uint64_t gets = 0;
  std::uint64_t deletes = 0;
};

} // namespace boragedoor
