#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "configuration/configuration.h"

namespace boragedoor::config {

/// Length in bytes of the secret part of a key.
inline constexpr std::size_t key_secret_bytes = 32;

/// Prefix that marks a text as a key of this system.
inline constexpr std::string_view key_prefix = "bd_";

/// A configuration with one more key, and the key text, which is shown once and never stored.
struct issued_key {
  configuration next;
  std::string key;
  std::string key_id;
};

/// Adds a key to a workspace. `secret` is `secure_random_hex(key_secret_bytes)`. Fails with
/// `not_found` for an unknown workspace and with `invalid_argument` for a secret of another form.
result<issued_key> issue_key(const configuration& current, std::string_view workspace,
                             std::string_view secret, wall_time now);

/// Removes a key. Fails with `not_found` when no workspace has it.
result<configuration> withdraw_key(const configuration& current, std::string_view key_id);

/// Returns the id of a key text: the first 16 hexadecimal digits of its SHA-256.
std::string key_id_of(std::string_view key);

/// Whose key a caller presented.
struct key_owner {
  std::string workspace;
  std::string key_id;

  friend bool operator==(const key_owner&, const key_owner&) = default;
};

/// Finds the owner of a presented key, or nothing. Looks at every candidate and compares each in
/// constant time, so that the time tells nothing about issued keys.
std::optional<key_owner> authenticate(const configuration& current, std::string_view presented);

} // namespace boragedoor::config
